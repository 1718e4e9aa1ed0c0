#include "fit.hpp"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <iostream>

namespace slopes {

line fit(const std::vector<point>& points)
{
    const auto count = static_cast<double>(points.size());
    double sum_x = 0;
    double sum_y = 0;
    double sum_xx = 0;
    double sum_xy = 0;
    double largest = 0;
    for (const point& at : points) {
        sum_x += at.size;
        sum_y += at.value;
        sum_xx += at.size * at.size;
        sum_xy += at.size * at.value;
        largest = std::max(largest, std::abs(at.value));
    }
    line result;
    result.slope = (count * sum_xy - sum_x * sum_y) / (count * sum_xx - sum_x * sum_x);
    result.intercept = (sum_y - result.slope * sum_x) / count;
    for (const point& at : points) {
        const double distance = std::abs(at.value - result.intercept - result.slope * at.size);
        result.largest_error = std::max(result.largest_error, largest > 0 ? distance / largest : 0);
    }
    return result;
}

void print(const std::string& name, const std::string& unit, const std::vector<point>& points)
{
    const line result = fit(points);
    std::cout << std::setprecision(4) << name << " " << unit << " ";
    for (const point& at : points) {
        std::cout << " " << at.size << ":" << at.value;
    }
    std::cout << "  slope " << result.slope << " intercept " << result.intercept << " error "
              << std::lround(result.largest_error * 100) << "%\n";
}

}  // namespace slopes
