/// @file
/// Fits straight lines to measured points.
#pragma once

#include <string>
#include <vector>

namespace slopes {

/// A measured value at a size.
struct point {
    double size = 0;
    double value = 0;
};

/// A line fitted by least squares.
struct line {
    double slope = 0;
    double intercept = 0;
    double largest_error = 0;  // largest distance of a point from the line, as a share of the largest value
};

/// @param points with at least two different sizes
line fit(const std::vector<point>& points);

/// Prints one line of text: name, unit, the points, and the fit.
void print(const std::string& name, const std::string& unit, const std::vector<point>& points);

}  // namespace slopes
