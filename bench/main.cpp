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
    for (const bench::figure& row : all) {
        std::cout << std::left << std::setw(44) << row.name << std::right << std::setw(14) << row.value
                  << std::setw(10) << row.unit << std::setw(14) << row.baseline << std::setw(12)
                  << (row.baseline > 0 ? row.value / row.baseline : 0) << "\n";
    }
}

/// Prints one line per figure: name value unit baseline_value ratio.
void print_lines(const bench::figures& all)
{
    for (const bench::figure& row : all) {
        std::cout << row.name << " " << row.value << " " << row.unit << " " << row.baseline << " "
                  << (row.baseline > 0 ? row.value / row.baseline : 0) << "\n";
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
