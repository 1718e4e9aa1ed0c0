/// @file
/// Measurements of the decision functions, each beside its naive baseline, with fixed seeds.
#pragma once

#include <string>
#include <vector>

namespace bench {

/// One measured value.
struct figure {
    std::string name;
    double value = 0;
    std::string unit;
    double baseline = 0;  // of the naive version, in the same unit; 0: there is none
};

using figures = std::vector<figure>;

/// Measures one family of decisions and appends its figures.
using bench_function = void (*)(figures& out);

void bench_gaps(figures& out);
void bench_routing(figures& out);
void bench_worker_health(figures& out);
void bench_retry(figures& out);
void bench_limits(figures& out);
void bench_never_runnable(figures& out);
void bench_queueing(figures& out);
void bench_entry_nodes(figures& out);
void bench_placement(figures& out);

}  // namespace bench
