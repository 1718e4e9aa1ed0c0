#include "bench.hpp"

#include <iomanip>
#include <iostream>

namespace {

constexpr bench::bench_function families[] = {
    bench::bench_gaps,     bench::bench_routing,     bench::bench_worker_health,
    bench::bench_retry,    bench::bench_limits,      bench::bench_never_runnable,
    bench::bench_queueing, bench::bench_entry_nodes, bench::bench_placement,
};

void print_table(const bench::figures& all)
{
    std::cout << std::left << std::setw(44) << "figure" << std::right << std::setw(14) << "value"
              << std::setw(10) << "unit" << std::setw(14) << "baseline" << std::setw(12) << "ratio"
              << "\n";
    for (const bench::figure& one : all) {
        std::cout << std::left << std::setw(44) << one.name << std::right << std::setw(14) << one.value
                  << std::setw(10) << one.unit << std::setw(14) << one.baseline << std::setw(12)
                  << (one.baseline > 0 ? one.value / one.baseline : 0) << "\n";
    }
}

/// One line per figure: name value unit baseline_value ratio.
void print_lines(const bench::figures& all)
{
    for (const bench::figure& one : all) {
        std::cout << one.name << " " << one.value << " " << one.unit << " " << one.baseline << " "
                  << (one.baseline > 0 ? one.value / one.baseline : 0) << "\n";
    }
}

}  // namespace

int main()
{
    bench::figures all;
    for (const bench::bench_function family : families) {
        family(all);
    }
    std::cout << std::setprecision(5);
    print_table(all);
    std::cout << "\n";
    print_lines(all);
    return 0;
}
