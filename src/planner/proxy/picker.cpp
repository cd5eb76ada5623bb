#include "proxy/picker.h"

#include <algorithm>

#include "bytes/mix.h"

namespace marldale::proxy {
namespace {

constexpr float kNoLimit = 1e6F;

// From 0 to 1, by the seed and the line's name.
double place(std::uint64_t seed, const std::string& name) {
    std::uint64_t mix = seed;
    for (const char c : name) mix = bytes::mixed(mix ^ static_cast<unsigned char>(c));
    return static_cast<double>(mix >> 11U) / 9007199254740992.0;
}

}  // namespace

void Picker::hold(const std::map<std::string, float>& lines) {
    std::erase_if(lines_, [&](const auto& held) { return lines.count(held.first) == 0; });
    double total = 0;
    for (const auto& [name, weight] : lines) total += static_cast<double>(weight);
    for (const auto& [name, weight] : lines) {
        const auto [at, fresh] = lines_.try_emplace(name);
        at->second.weight = static_cast<double>(weight);
        if (fresh && seed_ != 0) at->second.current = total * (place(seed_, name) - 0.5);
    }
}

std::optional<std::string> Picker::pick(const std::function<bool(const std::string&)>& may) {
    double total = 0;
    auto best = lines_.end();
    for (auto at = lines_.begin(); at != lines_.end(); ++at) {
        if (at->second.weight <= 0 || !may(at->first)) continue;
        at->second.current += at->second.weight;
        total += at->second.weight;
        if (best == lines_.end() || at->second.current > best->second.current) best = at;
    }
    if (best == lines_.end()) return std::nullopt;
    best->second.current -= total;
    return best->first;
}

bool Level::admits(float limit, Micros now) {
    if (limit >= kNoLimit) return true;
    const double rate = static_cast<double>(limit), most = std::max(1.0, rate * burstS_);
    left_ = std::min(most, left_ + rate * static_cast<double>(std::max<Micros>(0, now - at_)) / 1e6);
    at_ = std::max(at_, now);
    if (left_ < 1) return false;
    left_ -= 1;
    return true;
}

}  // namespace marldale::proxy
