/// @file
/// Counts the bytes that a process sends and receives, by what they are for.
///
/// The bytes are those of HTTP as this process writes and reads them; headers of TCP and IP are not counted.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace waxwingnotch {

/// What a call is for. Where several calls wait for the link, those of an earlier class go first.
enum class traffic_class {
    ownership,      // joins and lists of owners, claims
    orders,         // starts, stops and paces of runs
    polls,          // lists of runs of the workers
    journal,        // appends and loads of progress
    jobs,           // records of accepted jobs and cancels
    configuration,  // the operator's records
    registrations,  // of the workers
    relays,         // calls to the store for another node, or through one
    peers,          // other calls between entry nodes
    callers,        // client accounts
    hosts,          // lists and orders of the host service
    other,
};
inline constexpr std::size_t traffic_class_count = 12;
const char* to_string(traffic_class what);
/// @return the class with this name; `other` if there is none
traffic_class traffic_class_named(std::string_view name);

/// Bytes since the start of the process.
struct traffic_bytes {
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
};

/// Sums of the bytes of each class. It must outlive the clients and servers that it is given to.
class traffic_meter {
public:
    void add(traffic_class what, const traffic_bytes& bytes);
    const traffic_bytes& bytes(traffic_class what) const { return bytes_[static_cast<std::size_t>(what)]; }
    /// Sum over all classes.
    traffic_bytes total() const;

private:
    std::array<traffic_bytes, traffic_class_count> bytes_{};
};

/// Share of a link that was in use between two readings of a meter.
class link_usage {
public:
    /// @param link_kbps of the link, in each direction; 0: not known
    explicit link_usage(std::int64_t link_kbps) : link_kbps_(link_kbps) {}
    /// Takes a reading. Later calls within a second of the latest one have no effect.
    void update(const traffic_bytes& total, std::int64_t now_ms);
    /// @return of the fuller direction between the latest two readings, in percent; 0: not known
    std::int64_t percent() const { return percent_; }

private:
    std::int64_t link_kbps_;
    traffic_bytes latest_;
    std::int64_t latest_ms_ = 0;
    std::int64_t percent_ = 0;
};

}  // namespace waxwingnotch
