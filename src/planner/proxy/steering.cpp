#include "proxy/steering.h"

#include <algorithm>

namespace marldale::proxy {

const char* name(Standing standing) {
    switch (standing) {
        case Standing::waiting: return "waiting for its first tables";
        case Standing::steered: return "steered";
        case Standing::stranded: return "stranded";
    }
    return "?";
}

Steering::Steering(std::vector<std::string> classes, std::uint64_t seed) : classes_(std::move(classes)) {
    for (std::size_t k = 0; k < classes_.size(); ++k) byClass_.push_back({{}, Picker(seed), Level()});
}

void Steering::obey(const Orders& orders, Micros) {
    shut_ = orders.shut;
    ++changes_;
    for (std::size_t k = 0; k < classes_.size(); ++k) {
        const auto at = orders.byClass.find(classes_[k]);
        if (at == orders.byClass.end()) continue;
        if (byClass_[k].order.lines != at->second.lines) byClass_[k].picker.hold(at->second.lines);
        byClass_[k].order = at->second;
        obeyed_ = true;
    }
}

void Steering::planner(bool there, Micros now) {
    if (there_ && !there) strandedSince_ = now;
    if (there) strandedSince_ = -1;
    there_ = there;
}

void Steering::recall(const Orders& orders, Micros now) {
    if (obeyed_) return;
    obey(orders, now);
    if (obeyed_ && !there_) strandedSince_ = now;
}

void Steering::listed(const std::map<std::string, ListedBox>& boxes, bool whole) {
    if (whole) list_.clear();
    for (const auto& [uid, box] : boxes) list_[uid] = box;
    std::erase_if(list_, [](const auto& item) { return item.second.state == ServerState::gone; });
}

bool Steering::admits(std::size_t klass, Micros now) {
    Class& k = byClass_[klass];
    return k.level.admits(k.order.limit, now);
}

bool Steering::maySendTo(const std::string& box) const {
    if (shut_.count(box) != 0) return false;
    const auto at = list_.find(box);
    return at != list_.end() && at->second.state == ServerState::ready;
}

std::optional<Steering::Pick> Steering::pick(std::size_t klass, const std::vector<std::string>& tried) {
    const auto box = byClass_[klass].picker.pick([&](const std::string& uid) {
        return maySendTo(uid) && std::find(tried.begin(), tried.end(), uid) == tried.end();
    });
    if (!box) return std::nullopt;
    return Pick{*box, list_.at(*box).endpoint};
}

unsigned Steering::retryMode(std::size_t klass) const { return byClass_[klass].order.retryMode; }

Standing Steering::standing() const {
    if (!obeyed_) return Standing::waiting;
    return there_ ? Standing::steered : Standing::stranded;
}

std::size_t Steering::lines(std::size_t klass) const {
    const auto& lines = byClass_[klass].order.lines;
    return static_cast<std::size_t>(std::count_if(
        lines.begin(), lines.end(), [this](const auto& line) { return maySendTo(line.first); }));
}

Orders Steering::inForce() const {
    Orders out;
    out.shut = shut_;
    for (std::size_t k = 0; k < classes_.size(); ++k) {
        if (!byClass_[k].order.lines.empty()) out.byClass[classes_[k]] = byClass_[k].order;
    }
    return out;
}

}  // namespace marldale::proxy
