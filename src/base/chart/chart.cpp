#include "chart/chart.h"

#include <cairo-svg.h>
#include <cairo.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <limits>
#include <memory>
#include <stdexcept>

namespace marldale::chart {
namespace {

constexpr double kWidth = 900, kHeight = 460, kLeft = 80, kRight = 20, kTop = 44, kBottom = 66;
// Colours that most people tell apart (Okabe and Ito).
constexpr std::array<std::array<double, 3>, 7> kColours = {{{0, 0.447, 0.698},
                                                            {0.835, 0.369, 0},
                                                            {0, 0.62, 0.451},
                                                            {0.8, 0.475, 0.655},
                                                            {0.902, 0.624, 0},
                                                            {0.337, 0.706, 0.914},
                                                            {0.2, 0.2, 0.2}}};

struct Free {
    void operator()(cairo_surface_t* s) const { cairo_surface_destroy(s); }
    void operator()(cairo_t* c) const { cairo_destroy(c); }
};

struct Span {
    double least = std::numeric_limits<double>::infinity(), most = -least;
    void take(double value) {
        if (!std::isfinite(value)) return;
        least = std::min(least, value);
        most = std::max(most, value);
    }
    void mend() {
        if (least > most) least = 0, most = 1;
        if (least == most) most = least + 1;
    }
};

std::string shown(double value) {
    std::array<char, 40> out{};
    std::snprintf(out.data(), out.size(), "%.6g", value);
    return out.data();
}

class Drawing {
public:
    Drawing(cairo_t* c, const Chart& chart) : c_(c), chart_(chart) {
        for (const Line& line : chart.lines) {
            for (const auto& [x, y] : line.points) {
                x_.take(x);
                y_.take(scaled(y));
            }
        }
        x_.mend();
        if (!chart.logY) y_.take(0);
        y_.mend();
    }
    void all() {
        cairo_set_source_rgb(c_, 1, 1, 1);
        cairo_paint(c_);
        cairo_select_font_face(c_, "sans-serif", CAIRO_FONT_SLANT_NORMAL, CAIRO_FONT_WEIGHT_NORMAL);
        bands();
        axes();
        for (std::size_t i = 0; i < chart_.lines.size(); ++i) line(i);
        words();
    }

private:
    [[nodiscard]] double scaled(double y) const {
        return chart_.logY ? (y > 0 ? std::log10(y) : std::numeric_limits<double>::quiet_NaN()) : y;
    }
    [[nodiscard]] double px(double x) const {
        return kLeft + (x - x_.least) / (x_.most - x_.least) * (kWidth - kLeft - kRight);
    }
    [[nodiscard]] double py(double y) const {
        return kHeight - kBottom - (y - y_.least) / (y_.most - y_.least) * (kHeight - kTop - kBottom);
    }
    void text(double x, double y, const std::string& what, double size, double anchor) {
        cairo_set_font_size(c_, size);
        cairo_text_extents_t extents;
        cairo_text_extents(c_, what.c_str(), &extents);
        cairo_move_to(c_, x - extents.width * anchor, y);
        cairo_show_text(c_, what.c_str());
    }
    void grid(double x1, double y1, double x2, double y2) {
        cairo_set_source_rgb(c_, 0.87, 0.87, 0.87);
        cairo_set_line_width(c_, 1);
        cairo_move_to(c_, x1, y1);
        cairo_line_to(c_, x2, y2);
        cairo_stroke(c_);
        cairo_set_source_rgb(c_, 0.2, 0.2, 0.2);
    }
    void bands() {
        for (std::size_t i = 0; i < chart_.bands.size(); ++i) {
            const Band& band = chart_.bands[i];
            const double from = px(std::clamp(band.from, x_.least, x_.most));
            const double to = px(std::clamp(band.to, x_.least, x_.most));
            cairo_set_source_rgba(c_, 0.45, 0.45, 0.45, 0.12);
            cairo_rectangle(c_, from, kTop, std::max(1.0, to - from), kHeight - kTop - kBottom);
            cairo_fill(c_);
            cairo_set_source_rgb(c_, 0.35, 0.35, 0.35);
            text(from + 3, kTop + 11 + 12 * static_cast<double>(i % 6), band.name, 10, 0);
        }
    }
    void axes() {
        for (const double x : ticks(x_.least, x_.most, 9)) {
            grid(px(x), kTop, px(x), kHeight - kBottom);
            text(px(x), kHeight - kBottom + 16, shown(x), 11, 0.5);
        }
        for (const double y : ticks(y_.least, y_.most, chart_.logY ? 4 : 6)) {
            grid(kLeft, py(y), kWidth - kRight, py(y));
            text(kLeft - 6, py(y) + 4, shown(chart_.logY ? std::pow(10, y) : y), 11, 1);
        }
    }
    void line(std::size_t index) {
        const Line& line = chart_.lines[index];
        const auto& colour = kColours[index % kColours.size()];
        cairo_set_source_rgb(c_, colour[0], colour[1], colour[2]);
        cairo_set_line_width(c_, 1.6);
        bool begun = false;
        double before = 0;
        for (const auto& [x, y] : line.points) {
            const double at = scaled(y);
            if (!std::isfinite(at)) {
                begun = false;
                continue;
            }
            if (begun && line.steps) cairo_line_to(c_, px(x), py(before));
            begun ? cairo_line_to(c_, px(x), py(at)) : cairo_move_to(c_, px(x), py(at));
            begun = true;
            before = at;
        }
        cairo_stroke(c_);
    }
    void words() {
        cairo_set_source_rgb(c_, 0.1, 0.1, 0.1);
        text(kLeft, 18, chart_.title, 15, 0);
        text((kLeft + kWidth - kRight) / 2, kHeight - kBottom + 34, chart_.xLabel, 12, 0.5);
        text(kLeft, kHeight - 10, chart_.note, 11, 0);
        cairo_save(c_);
        cairo_translate(c_, 16, (kTop + kHeight - kBottom) / 2);
        cairo_rotate(c_, -std::acos(-1.0) / 2);
        text(0, 0, chart_.yLabel, 12, 0.5);
        cairo_restore(c_);
        double x = kLeft;
        for (std::size_t i = 0; i < chart_.lines.size(); ++i) {
            const auto& colour = kColours[i % kColours.size()];
            cairo_set_source_rgb(c_, colour[0], colour[1], colour[2]);
            cairo_rectangle(c_, x, 27, 10, 10);
            cairo_fill(c_);
            cairo_set_source_rgb(c_, 0.1, 0.1, 0.1);
            text(x + 14, 36, chart_.lines[i].name, 11, 0);
            x += 34 + 7 * static_cast<double>(chart_.lines[i].name.size());
        }
    }

    cairo_t* c_;
    const Chart& chart_;
    Span x_, y_;
};

}  // namespace

std::vector<double> ticks(double least, double most, int wanted) {
    const double raw = (most - least) / std::max(wanted, 1);
    if (!(raw > 0) || !std::isfinite(raw)) return {least};
    const double power = std::pow(10, std::floor(std::log10(raw)));
    double step = power;
    for (const double times : {1.0, 2.0, 5.0, 10.0}) {
        step = power * times;
        if (step >= raw) break;
    }
    std::vector<double> out;
    double at = std::ceil(least / step - 1e-9) * step;
    while (at <= most + step * 1e-9) {
        out.push_back(std::abs(at) < step * 1e-9 ? 0 : at);
        at += step;
    }
    return out;
}

void draw(const Chart& chart, const std::string& path) {
    const bool svg = path.ends_with(".svg");
    if (!svg && !path.ends_with(".png"))
        throw std::runtime_error(path + ": a chart's file ends in .svg or .png");
    const std::unique_ptr<cairo_surface_t, Free> surface(
        svg ? cairo_svg_surface_create(path.c_str(), kWidth, kHeight)
            : cairo_image_surface_create(CAIRO_FORMAT_RGB24, static_cast<int>(kWidth),
                                         static_cast<int>(kHeight)));
    const std::unique_ptr<cairo_t, Free> context(cairo_create(surface.get()));
    Drawing(context.get(), chart).all();
    cairo_surface_flush(surface.get());
    cairo_status_t status =
        svg ? CAIRO_STATUS_SUCCESS : cairo_surface_write_to_png(surface.get(), path.c_str());
    if (svg) {
        cairo_surface_finish(surface.get());
        status = cairo_surface_status(surface.get());
    }
    if (status != CAIRO_STATUS_SUCCESS) {
        throw std::runtime_error("can't write " + path + ": " + cairo_status_to_string(status));
    }
}

}  // namespace marldale::chart
