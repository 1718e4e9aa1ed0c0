/// Tests of what a node takes over when its settings file is read again.
#include "node/settings_file.hpp"

#include <gtest/gtest.h>

namespace waxwingnotch {
namespace {

node_settings settings_of_a_start()
{
    node_settings settings;
    settings.name = "n1";
    settings.internal_address = "127.0.0.1:3";
    settings.store_address = "127.0.0.1:4";
    settings.policy_address = "127.0.0.1:5";
    settings.host_service_address = "127.0.0.1:6";
    settings.seeds = {"127.0.0.2:3"};
    return settings;
}

using names = std::vector<std::string>;

TEST(reload, the_same_settings_change_nothing)
{
    node_settings settings = settings_of_a_start();
    const settings_changes changes = take_over(settings, settings_of_a_start());
    EXPECT_EQ(changes.taken, names());
    EXPECT_EQ(changes.kept, names());
    EXPECT_EQ(changes.needs_restart, names());
}

// The addresses of the policy and host services stayed those of the start of the process, without a word.
TEST(reload, addresses_and_limits_that_are_read_at_each_use_are_taken_over)
{
    node_settings settings = settings_of_a_start();
    node_settings read = settings;
    read.seeds = {"127.0.0.9:3"};
    read.store_address = "127.0.0.9:4";
    read.policy_address = "127.0.0.9:5";
    read.host_service_address = "127.0.0.9:6";
    read.host_orders_per_s = 7;
    read.max_descriptors = 500;
    read.drain_grace_ms = 2'000;
    read.takeover_pause_ms = 1'000;
    read.maintenance_ms = 4'000;
    const settings_changes changes = take_over(settings, read);
    EXPECT_EQ(changes.taken,
              (names{"seeds", "platform.address", "advice", "cloudApi.address", "cloudApi.dutyPerS",
                     "limits.maxFds", "bounds.graceS", "bounds.leaseMs", "bounds.maintenanceS"}));
    EXPECT_EQ(changes.needs_restart, names());
    EXPECT_EQ(settings.seeds, read.seeds);
    EXPECT_EQ(settings.store_address, read.store_address);
    EXPECT_EQ(settings.policy_address, read.policy_address);
    EXPECT_EQ(settings.host_service_address, read.host_service_address);
    EXPECT_EQ(settings.host_orders_per_s, read.host_orders_per_s);
    EXPECT_EQ(settings.max_descriptors, read.max_descriptors);
    EXPECT_EQ(settings.drain_grace_ms, read.drain_grace_ms);
    EXPECT_EQ(settings.takeover_pause_ms, read.takeover_pause_ms);
    EXPECT_EQ(settings.maintenance_ms, read.maintenance_ms);
}

// A field that a running node does not follow was left out without a line that names it.
TEST(reload, fields_that_need_a_restart_are_named_and_keep_their_values)
{
    node_settings settings = settings_of_a_start();
    node_settings read = settings;
    read.name = "n2";
    read.data_centre = "z2";
    read.ip = "127.0.0.2";
    read.caller_address = "127.0.0.2:1";
    read.ready_address = "127.0.0.2:2";
    read.internal_address = "127.0.0.2:3";
    read.processor_milli = 10;
    read.link_kbps = 10;
    read.partitions = 10;
    read.max_record_bytes = 10;
    read.min_ttl_ms = 10;
    read.max_lease_ms = 10;
    read.worker_drain_ms = 10;
    read.cancel_ms = 10;
    read.status_retention_ms = 10;
    const settings_changes changes = take_over(settings, read);
    EXPECT_EQ(changes.needs_restart,
              (names{"nodeName", "zone", "ip", "listenAddrs.front", "listenAddrs.ready",
                     "listenAddrs.control", "limits.cpuShare, limits.cores", "limits.linkMbps",
                     "platform.parts", "platform.recordBytes", "platform.ttlMinMs", "bounds.holdMaxMs",
                     "bounds.drainMs", "bounds.cancel_ms", "bounds.status_s"}));
    EXPECT_EQ(changes.taken, names());
    EXPECT_EQ(settings.internal_address, "127.0.0.1:3");
    EXPECT_EQ(settings.partitions, node_settings().partitions);
    EXPECT_EQ(settings.max_lease_ms, node_settings().max_lease_ms);
}

// Without an address the node would stop calling a service that its jobs need.
TEST(reload, an_address_that_the_file_does_not_name_any_more_is_kept)
{
    node_settings settings = settings_of_a_start();
    node_settings read = settings;
    read.policy_address.clear();
    read.host_service_address.clear();
    const settings_changes changes = take_over(settings, read);
    EXPECT_EQ(changes.kept, (names{"advice", "cloudApi.address"}));
    EXPECT_EQ(settings.policy_address, "127.0.0.1:5");
    EXPECT_EQ(settings.host_service_address, "127.0.0.1:6");
}

TEST(reload, services_that_the_start_did_not_name_are_taken_over)
{
    node_settings settings = settings_of_a_start();
    settings.policy_address.clear();
    settings.host_service_address.clear();
    const settings_changes changes = take_over(settings, settings_of_a_start());
    EXPECT_EQ(changes.taken, (names{"advice", "cloudApi.address"}));
    EXPECT_EQ(settings.policy_address, "127.0.0.1:5");
    EXPECT_EQ(settings.host_service_address, "127.0.0.1:6");
}

}  // namespace
}  // namespace waxwingnotch
