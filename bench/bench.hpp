/// @file
/// Benchmarks of the decision functions, with fixed seeds and, for most figures, a naive baseline.
#pragma once

#include <string>
#include <vector>

namespace bench {

/// One measured value.
struct figure {
    std::string name;
    double value = 0;
    std::string unit;
    double baseline = 0;  // value of the naive version, in the same unit; 0: no baseline
};

using figures = std::vector<figure>;

/// Measures one family of decisions and appends its figures to @p out.
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
