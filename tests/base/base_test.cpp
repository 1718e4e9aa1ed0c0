#include "waxwingnotch/base/counters.hpp"
#include "waxwingnotch/base/findings.hpp"
#include "waxwingnotch/base/hash.hpp"

#include <gtest/gtest.h>

namespace waxwingnotch {

// Guards against a hash chain that other tools cannot verify. The value is the published test vector.
TEST(hash, sha256_of_abc)
{
    EXPECT_EQ(sha256_hex("abc"), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// Guards against nodes of different builds choosing different owners.
TEST(hash, stable_hash_is_fixed)
{
    EXPECT_EQ(stable_hash("", 0), 0xef46db3751d8e999ULL);
    EXPECT_NE(stable_hash("a", 0), stable_hash("a", 1));
}

// Guards against quantiles that ignore the slowest records.
TEST(histogram, quantile_is_the_upper_bound_of_its_bucket)
{
    histogram times;
    for (int i = 0; i < 99; ++i) {
        times.record(3);
    }
    times.record(1000);
    EXPECT_EQ(times.quantile(0.5), 4);
    EXPECT_EQ(times.quantile(0.99), 4);
    EXPECT_EQ(times.quantile(1.0), 1024);
}

// Guards against a second counter of the same name, which would lose counts.
TEST(metrics, same_name_returns_the_same_counter)
{
    metrics all;
    all.make_counter("waxwingnotch_tries_total", "Tries.").add(2);
    all.make_counter("waxwingnotch_tries_total", "Tries.").add(3);
    EXPECT_NE(all.render().find("waxwingnotch_tries_total 5\n"), std::string::npos);
}

// Guards against an info metric that a reader of the usual text format cannot parse.
TEST(metrics, info_has_labels_and_the_value_1)
{
    metrics all;
    all.add_info("waxwingnotch_build_info", "Build.", {{"version", "0.1.0"}, {"sources", "00ff"}});
    EXPECT_EQ(all.render(), "# HELP waxwingnotch_build_info Build.\n# TYPE waxwingnotch_build_info gauge\n"
                            "waxwingnotch_build_info{version=\"0.1.0\",sources=\"00ff\"} 1\n");
}

// Guards against a finding that does not state its location.
TEST(findings, text_contains_the_location)
{
    findings problems;
    problems.error({"a.toml", 3, 7}, "'x'", "an integer");
    EXPECT_EQ(to_string(problems.items().front()), "a.toml:3:7: error: found 'x', expected an integer");
}

}  // namespace waxwingnotch
