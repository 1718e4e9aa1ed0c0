# Identity of the sources that the program is built from: a hash over the names and contents of all files that go
# into it. It needs no repository, and does not depend on the machine, the compiler or the build directory.
#
#     cmake -DSOURCE_DIR=. -P cmake/sources_id.cmake          # prints the identity of a source tree
#     cmake -DSOURCE_DIR=. -DVERSION=V -DTEMPLATE=T -DOUTPUT_DIR=DIR -P cmake/sources_id.cmake
#
# The second form fills in the template as DIR/build_info.cpp, which is only written if it changes. It also keeps the
# hashes in DIR/sources, and writes DIR/rebuild if a file has changed without becoming newer than the latest build, as
# after a copy that keeps times, or if DIR is not known to belong to the objects beside it. Objects depend on that file:
# otherwise they would stay as they are, and the program would name sources that it was not built from.
cmake_minimum_required(VERSION 3.22)
set(id_digits 16)
get_filename_component(SOURCE_DIR "${SOURCE_DIR}" ABSOLUTE)  # relative globs need it

file(GLOB_RECURSE files RELATIVE "${SOURCE_DIR}"
     "${SOURCE_DIR}/src/*.cpp" "${SOURCE_DIR}/src/*.hpp" "${SOURCE_DIR}/include/*.hpp"
     "${SOURCE_DIR}/platform/*.cpp" "${SOURCE_DIR}/platform/*.hpp" "${SOURCE_DIR}/cmake/*")
list(APPEND files CMakeLists.txt)
list(SORT files)
set(lines "")
foreach(file IN LISTS files)
    file(SHA256 "${SOURCE_DIR}/${file}" hash)
    string(APPEND lines "${hash}  ${file}\n")
endforeach()
string(SHA256 SOURCES_ID "${lines}")
string(SUBSTRING "${SOURCES_ID}" 0 ${id_digits} SOURCES_ID)
if(NOT OUTPUT_DIR)
    execute_process(COMMAND "${CMAKE_COMMAND}" -E echo "${SOURCES_ID}")
    return()
endif()

set(before "")
set(before_s -1)  # time of the latest build with other sources
if(EXISTS "${OUTPUT_DIR}/sources")
    file(READ "${OUTPUT_DIR}/sources" before)
    file(TIMESTAMP "${OUTPUT_DIR}/sources" before_s "%s")
endif()
if(NOT before STREQUAL lines)
    set(must_rebuild FALSE)
    if(before_s LESS 0)
        set(must_rebuild TRUE)
    endif()
    foreach(file IN LISTS files)
        file(SHA256 "${SOURCE_DIR}/${file}" hash)
        string(FIND "${before}" "${hash}  ${file}\n" unchanged)
        file(TIMESTAMP "${SOURCE_DIR}/${file}" changed_s "%s")
        if(unchanged LESS 0 AND NOT changed_s GREATER before_s)
            set(must_rebuild TRUE)
        endif()
    endforeach()
    if(must_rebuild)
        file(WRITE "${OUTPUT_DIR}/rebuild" "${SOURCES_ID}\n")
    endif()
    file(WRITE "${OUTPUT_DIR}/sources" "${lines}")
endif()
configure_file("${TEMPLATE}" "${OUTPUT_DIR}/build_info.cpp" @ONLY)
