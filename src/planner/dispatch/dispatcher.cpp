#include "dispatch/dispatcher.h"

#include <algorithm>
#include <utility>

namespace marldale::dispatch {
namespace {

// Nonces of lanes that follow one another are so far apart that a relay's last one names one lane's batch
// only.
constexpr std::uint64_t kNoncesOfALane = std::uint64_t{1} << 32U;

}  // namespace

Dispatcher::Dispatcher(DispatchRules rules, Tell tell)
    : rules_(std::move(rules)),
      tell_(std::move(tell)),
      book_(rules_.classes),
      messages_(rules_.messagesMost, rules_.messagesOver, rules_.arrivalJitter) {
    lanes_.emplace(kPlatform, Open{Lane(rules_.platform, 0), {}});
}

void Dispatcher::open(LaneId id, const Returning& returning, Micros now) {
    forgetOld(now);
    nonces_ += kNoncesOfALane;
    Open open{Lane(rules_.stream, nonces_), returning.node};
    Welcome welcome{id, false, {}};
    const auto memory = parted_.find(returning.node);
    if (memory != parted_.end()) {
        const Parted& parted = memory->second.parted;
        if (returning.epoch == rules_.epoch && returning.lastTaken != 0) {
            const bool withOut = returning.lastTaken == parted.out;
            welcome.kept = withOut || returning.lastTaken == parted.answered;
            if (welcome.kept) open.lane.begin(withOut ? parted.withOut : parted.held, 0);
        }
        parted_.erase(memory);
    }
    for (const auto& [server, shut] : book_.shuts()) {
        if (shut.out) welcome.shut.push_back(server);
    }
    open.lane.begin(open.lane.held(), book_.version());
    commands_.emplace_back(std::move(welcome));
    lanes_.insert_or_assign(id, std::move(open));
}

void Dispatcher::close(LaneId id, Micros now) {
    const auto at = lanes_.find(id);
    if (at == lanes_.end() || id == kPlatform) return;
    forgetOld(now);
    if (const auto parted = at->second.lane.part();
        parted && !at->second.node.empty() && !at->second.forget) {
        parted_.insert_or_assign(at->second.node, Memory{*parted, now});
        while (parted_.size() > rules_.rememberedMost) {
            parted_.erase(std::min_element(parted_.begin(), parted_.end(), [](const auto& a, const auto& b) {
                return a.second.at < b.second.at;
            }));
        }
    }
    for (const auto& [proxy, told] : at->second.lane.proxies()) {
        book_.forget(proxy);
        owners_.erase(proxy);
    }
    lanes_.erase(at);
}

void Dispatcher::forgetOld(Micros now) {
    std::erase_if(parted_, [&](const auto& p) { return now - p.second.at > rules_.remember; });
}

void Dispatcher::own(ProxyId proxy, LaneId id) {
    disown(proxy);
    const auto at = lanes_.find(id);
    if (at == lanes_.end()) return;
    at->second.lane.own(proxy);
    owners_[proxy] = id;
}

void Dispatcher::disown(ProxyId proxy) {
    book_.forget(proxy);
    const auto owner = owners_.find(proxy);
    if (owner == owners_.end()) return;
    if (const auto at = lanes_.find(owner->second); at != lanes_.end()) at->second.lane.disown(proxy);
    owners_.erase(owner);
}

void Dispatcher::turn(const std::vector<protocol::Order>& orders, Micros now) {
    std::optional<protocol::MarkOrder> mark;
    for (const protocol::Order& order : orders) {
        book_.apply(order);
        if (const auto* m = std::get_if<protocol::MarkOrder>(&order)) mark = *m;
    }
    for (auto& [id, open] : lanes_) {
        open.lane.turned(mark);
        send(id, open, now);
    }
}

void Dispatcher::send(LaneId id, Open& open, Micros now) {
    if (open.ends) return;
    auto batch = open.lane.next(book_, id == kPlatform ? unlimited_ : messages_, now);
    if (!batch) return;
    linesSaved_ += open.lane.takeLinesSaved();
    if (id == kPlatform) heldUntil_ = now + rules_.platformHold;
    commands_.emplace_back(SendBatch{id, std::move(*batch)});
}

void Dispatcher::apply(LaneId id, Open& open, const Lane::Verdict& verdict) {
    for (const std::string& text : verdict.told) {
        tell_((open.node.empty() ? "lane " + std::to_string(id) : open.node) + ": " + text);
    }
    open.forget = open.forget || verdict.forget;
    if (!verdict.ends || open.ends) return;
    open.ends = true;
    commands_.emplace_back(EndLane{id, verdict.told.empty() ? "" : verdict.told.back()});
}

void Dispatcher::answered(LaneId id, std::uint64_t nonce, std::size_t taken, const std::string& reason,
                          Micros now) {
    const auto at = lanes_.find(id);
    if (at == lanes_.end()) return;
    apply(id, at->second, at->second.lane.answered(nonce, taken, reason, rules_.classes));
    send(id, at->second, now);
}

void Dispatcher::platformSettled(Micros now) {
    heldUntil_.reset();
    Open& open = lanes_.at(kPlatform);
    open.lane.settled();
    send(kPlatform, open, now);
}

void Dispatcher::due(Micros now) {
    if (heldUntil_ && now >= *heldUntil_) heldUntil_.reset();
    for (auto& [id, open] : lanes_) {
        if (open.ends) continue;
        apply(id, open, open.lane.due(now));
        if (!open.lane.clear()) send(id, open, now);
    }
}

std::optional<Micros> Dispatcher::nextDue() const {
    std::optional<Micros> out = heldUntil_;
    for (const auto& [id, open] : lanes_) {
        if (open.ends) continue;
        const auto due = open.lane.nextDue();
        if (due && (!out || *due < *out)) out = due;
    }
    return out;
}

void Dispatcher::startOver() {
    book_.apply(protocol::ClearOrder{kAllTables});
    for (const auto& [proxy, lane] : std::exchange(owners_, {})) {
        book_.forget(proxy);
        if (const auto at = lanes_.find(lane); at != lanes_.end()) at->second.lane.disown(proxy);
    }
}

std::size_t Dispatcher::proxies(LaneId id) const {
    const auto at = lanes_.find(id);
    return at == lanes_.end() ? 0 : at->second.lane.proxies().size();
}

std::vector<std::uint16_t> Dispatcher::marksOf(LaneId id, std::uint16_t mark) const {
    const auto at = lanes_.find(id);
    return at == lanes_.end() ? std::vector<std::uint16_t>{mark} : at->second.lane.marksOf(mark);
}

}  // namespace marldale::dispatch
