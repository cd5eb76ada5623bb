#include <catch2/catch.hpp>
#include <limits>

#include "gateway/configuration/configuration.h"
#include "gateway/figures.h"
#include "gateway/gauge.h"

namespace marldale::capacity {
namespace {

Slope slopeOf(const std::string& name, std::vector<Point> points) {
    Slope out{name, "things", "B", std::move(points)};
    out.line = fit(out.points);
    return out;
}

// Every slope that figures ask for, each with the same cost for one more.
std::vector<Slope> allOf(double each) {
    std::vector<Slope> out;
    for (;;) {
        try {
            (void)figuresOf(out);
            return out;
        } catch (const std::out_of_range& missing) {
            const std::string text = missing.what();
            out.push_back(slopeOf(text.substr(text.find(": ") + 2),
                                  {{10, 10 * each}, {20, 20 * each}, {40, 40 * each}}));
        }
    }
}

}  // namespace

TEST_CASE("A line through points, and the power that they grow by", "[capacity]") {
    const Fit straight = fit({{10, 35}, {20, 65}, {40, 125}});
    CHECK(straight.base == Approx(5));
    CHECK(straight.slope == Approx(3));
    CHECK(straight.at(1000) == Approx(3005));
    CHECK(fit({{10, 100}, {20, 400}, {40, 1600}}).power == Approx(2));
    CHECK(fit({{10, 7}, {20, 7}, {40, 7}}).slope == Approx(0).margin(1e-9));
    // Nothing to go by: no slope rather than none that is a number.
    CHECK(fit({}).slope == 0);
    CHECK(fit({{10, 7}}).slope == 0);
    CHECK(fit({{10, 0}, {20, 0}}).power == 0);
}

TEST_CASE("A promise breaks by a steeper slope, a dearer largest size, or a measurement that isn't there",
          "[capacity]") {
    const std::vector<Slope> slopes = {
        slopeOf("a", {{10, 30}, {20, 60}, {40, 120}}), slopeOf("short", {{10, 30}, {20, 60}}),
        slopeOf("odd", {{10, 1}, {20, std::numeric_limits<double>::quiet_NaN()}, {40, 2}})};
    CHECK(broken(slopes, {{"a", 3.1}}).empty());
    CHECK(broken(slopes, {{"a", 3.1, 120}}).empty());
    CHECK(broken(slopes, {{"a", 2.9}}).size() == 1);
    CHECK(broken(slopes, {{"a", 3.1, 119}}).size() == 1);
    CHECK(broken(slopes, {{"b", 100}}).size() == 1);
    CHECK(broken(slopes, {{"short", 100}}).size() == 1);
    CHECK(broken(slopes, {{"odd", 100}}).size() == 1);
}

TEST_CASE("Figures grow with the deployment, and say what doesn't fit", "[capacity]") {
    const std::vector<Slope> slopes = allOf(0.001);
    const std::vector<Figure> small = figuresOf(
        slopes, {.proxies = 420, .servers = 20000, .services = 1100, .requestsPerS = 1.4e5, .routes = 14000});
    const std::vector<Figure> large = figuresOf(slopes);
    REQUIRE(small.size() == large.size());
    for (std::size_t k = 0; k < large.size(); ++k) {
        INFO(large[k].role + ", " + large[k].mechanism + ", " + large[k].what);
        CHECK(small[k].value <= large[k].value * 1.0001);
    }
    const Figure fits{"a", "b", "c", 10, "B", 10}, over{"a", "b", "c", 11, "B", 10},
        open{"a", "b", "c", 11, "B", 0};
    CHECK(fits.fits());
    CHECK_FALSE(over.fits());
    CHECK(open.fits());
    CHECK(tableOf(std::vector<Figure>{over}).find("| 11 B | 10 B | **no** |") != std::string::npos);
    CHECK(tableOf(std::vector<Figure>{open}).find("| 11 B |  |  |") != std::string::npos);
}

TEST_CASE("Each promise names a slope once, with a bound", "[capacity]") {
    std::set<std::string_view> names;
    for (const Promise& promise : promises()) {
        INFO(std::string(promise.slope));
        CHECK(names.insert(promise.slope).second);
        CHECK(promise.most > 0);
    }
    CHECK(names.size() > 20);
}

TEST_CASE("Figures are written short", "[capacity]") {
    CHECK(shortly(0) == "0");
    CHECK(shortly(0.0789) == "0.0789");
    CHECK(shortly(999) == "999");
    CHECK(shortly(999.9) == "1 k");
    CHECK(shortly(45600) == "45.6 k");
    CHECK(shortly(-1.5e6) == "-1.5 M");
    CHECK(shortly(2.04e10) == "20.4 G");
}

TEST_CASE("The configurations that are measured with are ones that operators could send", "[capacity]") {
    for (const std::size_t routes : {0U, 1U, 10U, 25U}) {
        const auto read = configuration::parseConfigurationCached(configurationText(routes, 3, 5, 4, 2100));
        INFO(routes);
        REQUIRE(read.ok());
        CHECK(read->version == 5);
        CHECK(read->builtOn == 4);
        CHECK(read->routes.size() == routes);
        CHECK(read->services.size() == 3);
        if (routes > 1) {
            CHECK(read->routes[0].give_up() == 2100000);
            CHECK(read->routes[1].give_up() == 2000000);
            CHECK(read->routes[1].host_name() == routeLine(1, 3).host_name());
            CHECK(read->routes[1].path_start() == routeLine(1, 3).path_start());
        }
    }
}

}  // namespace marldale::capacity
