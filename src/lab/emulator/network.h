// The network between zones: delays, cuts, slow links and loss.
#pragma once

#include <cmath>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "emulator/random.h"
#include "emulator/scenario.h"

namespace marldale::emulator {

class Network {
public:
    Network(const NetworkSettings& settings, std::uint64_t seed)
        : settings_(settings), chance_(seed, "network") {}

    // How long something takes from one zone to another; nothing if it never arrives.
    [[nodiscard]] std::optional<Micros> way(std::uint32_t from, std::uint32_t to) {
        if (isCut(from, to) || chance_.chance(settings_.loss) || chance_.chance(valueOf(loss_, from, to))) {
            return std::nullopt;
        }
        const double base = (from == to ? settings_.within : settings_.between) + valueOf(slow_, from, to);
        return std::llround(base * (1 + settings_.jitter * chance_.uniform()));
    }
    [[nodiscard]] bool isCut(std::uint32_t one, std::uint32_t other) const {
        return one != other && (count(one) > 0 || count(other) > 0);
    }
    void cut(std::uint32_t zone, bool on) { cuts_[zone] += on ? 1 : -1; }
    // Of every way from or to this zone, in microseconds or as a share.
    void slow(std::uint32_t zone, double by) { slow_[zone] += by; }
    void lose(std::uint32_t zone, double share) { loss_[zone] += share; }

private:
    [[nodiscard]] int count(std::uint32_t zone) const {
        const auto at = cuts_.find(zone);
        return at == cuts_.end() ? 0 : at->second;
    }
    static double valueOf(const std::map<std::uint32_t, double>& of, std::uint32_t one, std::uint32_t other) {
        if (one == other) return 0;
        double out = 0;
        for (const std::uint32_t zone : {one, other}) {
            const auto at = of.find(zone);
            if (at != of.end()) out += at->second;
        }
        return out;
    }
    const NetworkSettings settings_;
    Stream chance_;
    std::map<std::uint32_t, int> cuts_;
    std::map<std::uint32_t, double> slow_, loss_;
};

}  // namespace marldale::emulator
