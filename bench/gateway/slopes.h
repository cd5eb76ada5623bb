// Slopes from measured points, what they come to at another size, and the promises they are held against.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace marldale::capacity {

struct Point {
    double size = 0, cost = 0;
};

// cost = base + slope x size (least squares); `power`: the exponent of the growth, by logarithms. 1: in step.
struct Fit {
    double base = 0, slope = 0, power = 0;
    [[nodiscard]] double at(double size) const { return base + slope * size; }
};
[[nodiscard]] Fit fit(const std::vector<Point>& points);

struct Slope {
    std::string name;      // unique
    std::string sizeName;  // what was varied
    std::string unit;      // of the cost
    std::vector<Point> points;
    Fit line = {};
};

// A slope may not be steeper than this, nor may the largest size that was run cost more than `mostAtLargest`
// (0: no bound).
struct Promise {
    std::string_view slope;
    double most = 0;
    double mostAtLargest = 0;
};
// Those that break, in words; also a promise about a slope that was not measured.
[[nodiscard]] std::vector<std::string> broken(const std::vector<Slope>& slopes,
                                              const std::vector<Promise>& promises);

// A figure at the operators' size. `limit` 0: none is set.
struct Figure {
    std::string role, mechanism, what;
    double value = 0;
    std::string unit;
    double limit = 0;
    [[nodiscard]] bool fits() const { return limit <= 0 || value <= limit; }
};

// "1.23 M", "45.6 k", "0.0789".
[[nodiscard]] std::string shortly(double value);
// Tables as in a page of Markdown.
[[nodiscard]] std::string tableOf(const std::vector<Slope>& slopes, const std::vector<Promise>& promises);
[[nodiscard]] std::string tableOf(const std::vector<Figure>& figures);

}  // namespace marldale::capacity
