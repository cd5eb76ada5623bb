#include "emulator/relay.h"

#include <algorithm>

namespace marldale::emulator {
namespace {

constexpr float kNoLimit = 1e6F;
constexpr int kDraws = 16;  // before it looks at every line
const std::vector<BoxNumber> kNoBoxes;

}  // namespace

Relay::Relay(const RelaySettings& settings, Admission admission, std::uint32_t zone, std::uint64_t seed,
             std::uint32_t number)
    : settings_(settings), admission_(admission), zone_(zone), picks_(seed, "picks", number) {}

void Relay::hold(View view) {
    if (view.byClass.empty()) return;
    // A class that was not bound yet keeps what the relay had for it.
    for (std::size_t k = 0; k < view.byClass.size(); ++k) {
        if (!view.byClass[k] && k < view_.byClass.size()) view.byClass[k] = view_.byClass[k];
    }
    view_ = std::move(view);
    rounds_.resize(view_.byClass.size());
    for (std::size_t k = 0; k < rounds_.size(); ++k) {
        const std::vector<BoxNumber>& boxes = view_.byClass[k] ? view_.byClass[k]->boxes : kNoBoxes;
        std::erase_if(rounds_[k], [&](const auto& item) {
            return !std::binary_search(boxes.begin(), boxes.end(), item.first);
        });
    }
    fresh_ = false;
}

const Content* Relay::contentOf(std::size_t klass) const {
    return klass < view_.byClass.size() ? view_.byClass[klass].get() : nullptr;
}

std::size_t Relay::lines(std::size_t klass) const {
    std::size_t out = 0;
    eachLine(klass, [&](BoxNumber) { ++out; });
    return out;
}

bool Relay::admits(std::size_t klass, Micros now) {
    const Content* content = contentOf(klass);
    if (content == nullptr || klass >= content->levels.size()) return true;
    const float limit = content->levels[klass].limit;
    if (limit >= kNoLimit || admission_ == Admission::none) return true;
    if (admission_ == Admission::share) return picks_.uniform() < static_cast<double>(limit);
    if (tokens_.size() <= klass) tokens_.resize(klass + 1);
    Tokens& tokens = tokens_[klass];
    const double rate = static_cast<double>(limit), most = std::max(1.0, rate * settings_.burst);
    tokens.left = std::min(most, tokens.left + rate * static_cast<double>(now - tokens.at) / 1e6);
    tokens.at = now;
    if (tokens.left < 1) return false;
    tokens.left -= 1;
    return true;
}

bool Relay::open(BoxNumber box, std::optional<BoxNumber> but, Micros now) const {
    if ((but && *but == box) || isShut(box)) return false;
    const auto known = boxes_.find(box);
    return known == boxes_.end() || now >= known->second.avoidUntil;
}

std::optional<BoxNumber> Relay::draw(const Content& content, std::optional<BoxNumber> but, Micros now) {
    if (content.boxes.empty()) return std::nullopt;
    for (int i = 0; i < kDraws; ++i) {
        const double at = picks_.uniform() * content.sums.back();
        const auto found = std::upper_bound(content.sums.begin(), content.sums.end(), at);
        const auto index = std::min<std::size_t>(static_cast<std::size_t>(found - content.sums.begin()),
                                                 content.boxes.size() - 1);
        if (open(content.boxes[index], but, now)) return content.boxes[index];
    }
    // Few are open: each with its weight, and those that it keeps away from only where nothing else is left.
    for (const bool avoided : {false, true}) {
        double total = 0;
        const auto may = [&](BoxNumber box) {
            return avoided ? !(but && *but == box) && !isShut(box) : open(box, but, now);
        };
        for (std::size_t i = 0; i < content.boxes.size(); ++i) {
            if (may(content.boxes[i])) total += static_cast<double>(content.weights[i]);
        }
        double left = picks_.uniform() * total;
        for (std::size_t i = 0; i < content.boxes.size() && total > 0; ++i) {
            if (!may(content.boxes[i])) continue;
            left -= static_cast<double>(content.weights[i]);
            if (left <= 0) return content.boxes[i];
        }
    }
    return std::nullopt;
}

// Smooth weighted round robin: shares are exact in the long run, and nobody comes twice in a row. Each class
// has a round of its own.
std::optional<BoxNumber> Relay::smooth(std::size_t klass, const Content& content,
                                       std::optional<BoxNumber> but, Micros now) {
    std::map<BoxNumber, double>& round = rounds_[klass];
    double total = 0;
    std::optional<BoxNumber> best;
    for (std::size_t i = 0; i < content.boxes.size(); ++i) {
        if (!open(content.boxes[i], but, now)) continue;
        const auto weight = static_cast<double>(content.weights[i]);
        const double current = round[content.boxes[i]] += weight;
        total += weight;
        if (!best || current > round[*best]) best = content.boxes[i];
    }
    if (!best) return draw(content, but, now);
    round[*best] -= total;
    return best;
}

std::optional<BoxNumber> Relay::pick(std::size_t klass, std::optional<BoxNumber> but, Micros now) {
    const Content* content = contentOf(klass);
    if (content == nullptr) return std::nullopt;
    if (settings_.pick == Pick::smooth) return smooth(klass, *content, but, now);
    const auto one = draw(*content, but, now);
    if (settings_.pick == Pick::weighted || !one) return one;
    const auto two = draw(*content, but, now);
    const auto busy = [&](BoxNumber box) {
        const auto at = boxes_.find(box);
        return at == boxes_.end() ? 0U : at->second.open;
    };
    return two && busy(*two) < busy(*one) ? two : one;
}

std::uint8_t Relay::retryMode(std::size_t klass) const {
    const Content* content = contentOf(klass);
    return content == nullptr || klass >= content->levels.size() ? 1 : content->levels[klass].retryMode;
}

bool Relay::begins(BoxNumber box, Micros now) {
    Box& b = boxes_[box];
    ++b.open;
    if (b.idle == 0) return true;
    --b.idle;
    b.idleSince = now;
    return false;
}

void Relay::ended(BoxNumber box, bool failed, Micros now) {
    Box& b = boxes_[box];
    b.open -= b.open > 0 ? 1 : 0;
    if (!failed) {
        b.failedInARow = 0;
        ++b.idle;
        b.idleSince = now;
        return;
    }
    if (settings_.avoidAfter == 0 || ++b.failedInARow < settings_.avoidAfter) return;
    b.failedInARow = 0;
    b.avoidUntil = now + settings_.avoidFor;
}

void Relay::connectionLost(BoxNumber box) {
    const auto at = boxes_.find(box);
    if (at != boxes_.end()) at->second.idle = 0;
}

std::vector<BoxNumber> Relay::closeIdle(Micros now) {
    std::vector<BoxNumber> out;
    for (auto& [box, b] : boxes_) {
        if (b.idle == 0 || now - b.idleSince < settings_.connectionIdle) continue;
        out.insert(out.end(), b.idle, box);
        b.idle = 0;
    }
    std::sort(out.begin(), out.end());  // the order of a hash table is nobody's
    return out;
}

}  // namespace marldale::emulator
