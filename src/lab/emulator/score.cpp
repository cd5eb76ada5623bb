#include "emulator/score.h"

#include <algorithm>

namespace marldale::emulator {

double ClassFigures::quantile(double q) const {
    if (times.empty()) return 0;
    std::vector<std::uint32_t> sorted = times;
    const auto at = static_cast<std::ptrdiff_t>(q * static_cast<double>(sorted.size() - 1));
    std::nth_element(sorted.begin(), sorted.begin() + at, sorted.end());
    return sorted[static_cast<std::size_t>(at)] / 1e3;
}

Score::Score(const Scenario& scenario) : scenario_(scenario), classes_(scenario.classes.size()) {}

void Score::read(const Event& e) {
    const auto window = [&](Micros at) -> WindowFigures& { return windows_[at / scenario_.run.window]; };
    switch (e.kind) {
        case Kind::tried:
            ++tries_;
            ++window(e.at).tries;
            break;
        case Kind::refused: ++window(e.at).refused; break;
        case Kind::effect: ++effects_; break;
        case Kind::messaged:
            ++messages_;
            ++window(e.at).messages;
            window(e.at).lines += static_cast<std::uint64_t>(e.value);
            break;
        case Kind::wishDone: {
            const Micros born = e.at - e.more;
            const ScenarioClass& k = scenario_.classes[e.klass];
            const auto end = static_cast<End>(static_cast<int>(e.value));
            const double got = end == End::inTime ? k.worth : end == End::late ? k.lateWorth : 0;
            WindowFigures& w = window(born);
            ++w.wishes;
            w.worth += k.worth;
            w.got += got;
            w.failed += end == End::failed || end == End::gaveUp || end == End::unpicked ? 1 : 0;
            if (!counts(born)) break;
            ClassFigures& c = classes_[e.klass];
            ++c.wishes;
            ++c.ends[static_cast<std::size_t>(end)];
            c.worth += k.worth;
            c.got += got;
            if (end == End::inTime || end == End::late) c.times.push_back(static_cast<std::uint32_t>(e.more));
            break;
        }
        default: break;
    }
}

double Score::whole() const {
    double worth = 0, got = 0;
    for (const ClassFigures& c : classes_) {
        worth += c.worth;
        got += c.got;
    }
    return worth > 0 ? got / worth : 1;
}

double Score::worstWindow() const {
    double out = 1;
    for (const auto& [number, w] : windows_) {
        const Micros from = number * scenario_.run.window;
        // The last one is not whole: its wishes have not all ended.
        if (from < scenario_.run.scoreFrom || from + scenario_.run.window > scenario_.run.duration) continue;
        out = std::min(out, w.share());
    }
    return out;
}

double Score::worstClass() const {
    double out = 1;
    for (const ClassFigures& c : classes_) {
        if (c.wishes > 0) out = std::min(out, c.share());
    }
    return out;
}

double Score::service() const { return 0.5 * whole() + 0.25 * worstWindow() + 0.25 * worstClass(); }

}  // namespace marldale::emulator
