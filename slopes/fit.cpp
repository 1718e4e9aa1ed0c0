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
    double largest_value = 0;
    for (const point& item : points) {
        sum_x += item.size;
        sum_y += item.value;
        sum_xx += item.size * item.size;
        sum_xy += item.size * item.value;
        largest_value = std::max(largest_value, std::abs(item.value));
    }
    line result;
    result.slope = (count * sum_xy - sum_x * sum_y) / (count * sum_xx - sum_x * sum_x);
    result.intercept = (sum_y - result.slope * sum_x) / count;
    for (const point& item : points) {
        const double distance = std::abs(item.value - result.intercept - result.slope * item.size);
        result.largest_error =
            std::max(result.largest_error, largest_value > 0 ? distance / largest_value : 0);
    }
    return result;
}

void print(const std::string& name, const std::string& unit, const std::vector<point>& points)
{
    const line result = fit(points);
    std::cout << std::setprecision(4) << name << " " << unit << " ";
    for (const point& item : points) {
        std::cout << " " << item.size << ":" << item.value;
    }
    std::cout << "  slope " << result.slope << " intercept " << result.intercept << " error "
              << std::lround(result.largest_error * 100) << "%\n";
}

}  // namespace slopes
