# Identity of the sources that the program is built from: a hash over the names and contents of all files that go
# into it. It needs no repository, and does not depend on the machine, the compiler or the build directory.
#
#     cmake -DSOURCE_DIR=. -P cmake/sources_id.cmake          # prints the identity of a source tree
#     cmake -DSOURCE_DIR=. -DVERSION=V -DTEMPLATE=T -DOUTPUT=FILE -P cmake/sources_id.cmake
#                                                             # fills in the template; FILE is only written if it changes
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
if(OUTPUT)
    configure_file("${TEMPLATE}" "${OUTPUT}" @ONLY)
else()
    execute_process(COMMAND "${CMAKE_COMMAND}" -E echo "${SOURCES_ID}")
endif()
