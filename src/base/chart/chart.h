// Line charts with axes, as SVG or PNG by the file's ending (Cairo).
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace marldale::chart {

struct Line {
    std::string name;
    std::vector<std::pair<double, double>> points;
    bool steps = false;  // a value holds until the next point
};

// A span of the horizontal axis, shaded, with a word at its top.
struct Band {
    std::string name;
    double from = 0, to = 0;
};

struct Chart {
    std::string title, xLabel, yLabel;  // labels with their units
    std::string note;                   // what was measured, at which size
    std::vector<Line> lines;
    bool logY = false;
    std::vector<Band> bands = {};
};

// Throws std::runtime_error if the file can't be written, or is neither .svg nor .png.
void draw(const Chart& chart, const std::string& path);

// Round figures for an axis from `least` to `most`, about `wanted` of them.
[[nodiscard]] std::vector<double> ticks(double least, double most, int wanted);

}  // namespace marldale::chart
