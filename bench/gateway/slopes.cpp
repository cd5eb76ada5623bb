#include "gateway/slopes.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace marldale::capacity {
namespace {

// Least squares: {base, slope}.
std::pair<double, double> line(const std::vector<Point>& points) {
    const auto n = static_cast<double>(points.size());
    double x = 0, y = 0, xx = 0, xy = 0;
    for (const Point& p : points) x += p.size, y += p.cost;
    if (n == 0) return {0, 0};
    x /= n, y /= n;
    for (const Point& p : points) {
        xx += (p.size - x) * (p.size - x);
        xy += (p.size - x) * (p.cost - y);
    }
    const double slope = xx > 0 ? xy / xx : 0;
    return {y - slope * x, slope};
}

const Promise* promiseOf(const std::string& slope, const std::vector<Promise>& promises) {
    const auto at = std::find_if(promises.begin(), promises.end(),
                                 [&](const Promise& promise) { return promise.slope == slope; });
    return at == promises.end() ? nullptr : &*at;
}

}  // namespace

Fit fit(const std::vector<Point>& points) {
    const auto [base, slope] = line(points);
    std::vector<Point> logs;
    for (const Point& p : points) {
        if (p.size > 0 && p.cost > 0) logs.push_back({std::log(p.size), std::log(p.cost)});
    }
    return {base, slope, line(logs).second};
}

std::vector<std::string> broken(const std::vector<Slope>& slopes, const std::vector<Promise>& promises) {
    std::vector<std::string> out;
    for (const Promise& promise : promises) {
        const auto at = std::find_if(slopes.begin(), slopes.end(),
                                     [&](const Slope& slope) { return slope.name == promise.slope; });
        if (at == slopes.end()) {
            out.push_back(std::string(promise.slope) + ": not measured");
        } else if (at->points.size() < 3) {
            out.push_back(at->name + ": fewer than three sizes");
        } else if (!(at->line.slope <= promise.most)) {
            out.push_back(at->name + ": " + shortly(at->line.slope) + " " + at->unit + ", promised at most " +
                          shortly(promise.most));
        } else if (promise.mostAtLargest > 0 && !(at->points.back().cost <= promise.mostAtLargest)) {
            out.push_back(at->name + ": " + shortly(at->points.back().cost) + " " + at->unit +
                          " at the largest size, promised at most " + shortly(promise.mostAtLargest));
        }
    }
    return out;
}

std::string shortly(double value) {
    static constexpr std::array<std::pair<double, const char*>, 3> kSteps = {
        {{1e9, " G"}, {1e6, " M"}, {1e3, " k"}}};
    const char* step = "";
    for (const auto& [size, name] : kSteps) {
        if (std::abs(value) < size * 0.9995) continue;
        value /= size;
        step = name;
        break;
    }
    std::array<char, 40> text{};
    std::snprintf(text.data(), text.size(), "%.3g%s", value, step);
    return text.data();
}

std::string tableOf(const std::vector<Slope>& slopes, const std::vector<Promise>& promises) {
    std::string out =
        "| slope | sizes | cost at each | a unit more | grows by the power | promised at most |\n"
        "| --- | --- | --- | --- | --- | --- |\n";
    for (const Slope& slope : slopes) {
        std::string sizes, costs;
        for (const Point& p : slope.points) {
            sizes += (sizes.empty() ? "" : ", ") + shortly(p.size);
            costs += (costs.empty() ? "" : ", ") + shortly(p.cost);
        }
        const Promise* promise = promiseOf(slope.name, promises);
        out += "| " + slope.name + " | " + sizes + " " + slope.sizeName + " | " + costs + " " + slope.unit +
               " | " + shortly(slope.line.slope) + " | " + shortly(slope.line.power) + " | " +
               (promise == nullptr ? "" : shortly(promise->most)) +
               (promise == nullptr || promise->mostAtLargest <= 0
                    ? ""
                    : "; " + shortly(promise->mostAtLargest) + " at the largest") +
               " |\n";
    }
    return out;
}

std::string tableOf(const std::vector<Figure>& figures) {
    std::string out =
        "| role | mechanism | what | figure | limit | fits |\n| --- | --- | --- | --- | --- | --- |\n";
    for (const Figure& figure : figures) {
        out += "| " + figure.role + " | " + figure.mechanism + " | " + figure.what + " | " +
               shortly(figure.value) + " " + figure.unit + " | " +
               (figure.limit > 0 ? shortly(figure.limit) + " " + figure.unit : "") + " | " +
               (figure.limit <= 0 ? ""
                : figure.fits()   ? "yes"
                                  : "**no**") +
               " |\n";
    }
    return out;
}

}  // namespace marldale::capacity
