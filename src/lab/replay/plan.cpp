#include "replay/plan.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "bytes/mix.h"

namespace marldale::replay {
namespace {

using attempts::Effect;
using attempts::SendVerdict;
using bytes::mixed;

constexpr double kBurst = 0.05;  // seconds of the rate that may go at once
constexpr int kRefused = 429, kUnavailable = 503;

// One wish of one copy in one loop.
attempts::Intent intentOf(std::uint64_t chain, unsigned loop, unsigned copy) {
    return mixed(chain + mixed((static_cast<std::uint64_t>(loop) << 32U) + copy + 1));
}

NotSent whyOf(SendVerdict word) {
    switch (word) {
        case SendVerdict::leaveOutOpen: return NotSent::open;
        case SendVerdict::leaveOutDone: return NotSent::done;
        case SendVerdict::leaveOutUncertain: return NotSent::maybe;
        case SendVerdict::leaveOutUnrecorded: return NotSent::unrecorded;
        case SendVerdict::leaveOutPossibleRepeat: return NotSent::kin;
        case SendVerdict::send: break;
    }
    return NotSent::count_;
}

}  // namespace

const char* name(NotSent why) {
    switch (why) {
        case NotSent::notChosen: return "not chosen by its class's share";
        case NotSent::furtherTry: return "a recorded further try";
        case NotSent::open: return attempts::name(SendVerdict::leaveOutOpen);
        case NotSent::done: return attempts::name(SendVerdict::leaveOutDone);
        case NotSent::maybe: return attempts::name(SendVerdict::leaveOutUncertain);
        case NotSent::unrecorded: return attempts::name(SendVerdict::leaveOutUnrecorded);
        case NotSent::kin: return attempts::name(SendVerdict::leaveOutPossibleRepeat);
        case NotSent::boxRefuses: return "its box refuses";
        case NotSent::tooLate: return "it has waited too long";
        case NotSent::noRoom: return "too many wait";
        case NotSent::budget: return "no further try is left";
        case NotSent::stopped: return "the replay was stopped first";
        case NotSent::count_: break;
    }
    return "?";
}

Plan::Plan(PlanSettings settings, std::vector<trace::TraceClass> classes, Next next,
           std::function<void()> again)
    : settings_(std::move(settings)),
      classes_(std::move(classes)),
      next_(std::move(next)),
      again_(std::move(again)),
      window_(settings_.schedule),
      schedule_(settings_.schedule),
      ledger_(settings_.effects),
      gates_(std::max<std::size_t>(settings_.targets, 1), attempts::CircuitBreaker(settings_.gate)),
      budget_(settings_.retryRatio, settings_.retriesKept),
      figures_(classes_.size()) {}

void Plan::begin(Micros now, std::uint64_t skip) {
    start_ = refilled_ = now;
    skip_ = skip;
    tokens_ = std::max(1.0, settings_.ratePerS * kBurst);
}

// Whether there is an entry to come; in the window, and not settled by an earlier run.
bool Plan::peek() {
    trace::Entry entry;
    while (!upcoming_ && !ended_) {
        if (!next_(entry)) {
            const bool more = hasFirst_ && loop_ + 1 < settings_.schedule.loops;
            if (!more) {
                ended_ = true;
                return false;
            }
            ++loop_;
            again_();
            continue;
        }
        if (!window_.inWindow(entry.at)) continue;
        if (loop_ == 0) {
            if (!hasFirst_) firstAt_ = entry.at;
            lastAt_ = entry.at;
            hasFirst_ = true;
        }
        const std::uint64_t index = index_++;
        if (index < skip_) continue;
        if (index == skip_) {  // time begins with the first one that is played
            auto schedule = settings_.schedule;
            schedule.from = entry.at;
            const Micros loops = static_cast<Micros>(loop_) * (lastAt_ - firstAt_ + schedule.loopGap);
            schedule.from += loops;
            schedule_ = attempts::Schedule(schedule);
        }
        upcoming_ = std::move(entry);
    }
    return upcoming_.has_value();
}

void Plan::pull(Micros now) {
    while (!stopped_ && peek()) {
        const Micros intended = start_ + schedule_.intended(upcoming_->at, loop_, lastAt_ - firstAt_);
        if (intended > now) return;
        recordedNow_ = upcoming_->at;
        const trace::Entry entry = std::move(*upcoming_);
        upcoming_.reset();
        admit(entry, intended);
    }
}

void Plan::admit(const trace::Entry& entry, Micros intended) {
    const std::uint64_t index = index_ - 1;
    const unsigned copies = schedule_.copies(entry.chain, entry.classIndex);
    auto& figures = figuresOf(entry);
    if (copies == 0) {
        ++figures.entries;
        ++figures.notSent[static_cast<std::size_t>(NotSent::notChosen)];
    }
    for (unsigned copy = 0; copy < copies; ++copy) {
        ++figures.entries;
        Item item;
        item.index = index;
        item.send.intent = intentOf(entry.chain, loop_, copy);
        item.send.kin = entry.requestId != 0 ? 0 : mixed(entry.client + mixed(entry.target + copy));
        item.send.target =
            static_cast<std::size_t>(mixed(entry.client != 0 ? entry.client : entry.chain) % gates_.size());
        item.send.hasEffect = classes_[entry.classIndex].hasEffect;
        item.send.intended = intended;
        item.send.entry = entry;
        ++unsettled_[index];
        if (settings_.tries == Tries::first && entry.number > 0) {
            leave(item, NotSent::furtherTry);
        } else if (ready_.size() >= settings_.waitingMost) {
            leave(item, NotSent::noRoom);
        } else {
            budget_.firstTry();
            ready_.push_back(std::move(item));
        }
    }
}

void Plan::leave(const Item& item, NotSent why) {
    ++figuresOf(item.send.entry).notSent[static_cast<std::size_t>(why)];
    settle(item.index);
}

void Plan::settle(std::uint64_t index) {
    const auto at = unsettled_.find(index);
    if (at != unsettled_.end() && --at->second == 0) unsettled_.erase(at);
}

void Plan::refill(Micros now) {
    const double seconds = static_cast<double>(now - refilled_) / 1e6;
    const double most = std::max(1.0, settings_.ratePerS * kBurst);
    tokens_ = std::min(most, tokens_ + std::max(0.0, seconds) * settings_.ratePerS);
    refilled_ = std::max(refilled_, now);
}

// Whether it goes; if not, it is counted.
bool Plan::judge(Item& item, Micros now) {
    const Send& send = item.send;
    if (now - send.intended > settings_.waitMost && send.number == 0)
        return leave(item, NotSent::tooLate), false;
    if (!gates_[send.target].allows(now)) return leave(item, NotSent::boxRefuses), false;
    if (!send.hasEffect) return true;
    const attempts::SendRequest wish{send.intent, attempts::effectOf(send.entry.answer, true), send.kin,
                                     send.entry.at};
    // A further try of the plan's own follows proof that the one before was nothing, whatever was recorded.
    const SendVerdict word = ledger_.decide(
        send.number > 0 ? attempts::SendRequest{wish.intent, Effect::notDone, 0, wish.at} : wish);
    if (!attempts::sends(word)) return leave(item, whyOf(word)), false;
    ledger_.begun(wish);
    return true;
}

std::vector<Send> Plan::due(Micros now) {
    refill(now);
    pull(now);
    while (!later_.empty() && later_.begin()->first <= now) {
        ready_.push_front(std::move(later_.extract(later_.begin()).mapped()));
    }
    std::vector<Send> out;
    while (!ready_.empty() && inFlight_ < settings_.inFlightMost && tokens_ >= 1) {
        Item item = std::move(ready_.front());
        ready_.pop_front();
        if (!judge(item, now)) continue;
        tokens_ -= 1;
        ++inFlight_;
        item.send.id = ++lastId_;
        auto& figures = figuresOf(item.send.entry);
        ++figures.sent;
        if (item.send.number > 0) ++figures.retries;
        gates_[item.send.target].sent();
        out.push_back(item.send);
        out_.emplace(item.send.id, std::move(item));
    }
    return out;
}

void Plan::answered(const Send& send, const attempts::Answer& answer, std::optional<Micros> retryAfter,
                    Micros now) {
    const auto at = out_.find(send.id);
    if (at == out_.end()) return;
    const Item item = std::move(at->second);
    out_.erase(at);
    --inFlight_;
    auto& figures = figuresOf(send.entry);
    const bool served = answer.ended == attempts::Ended::answered && answer.status < 400;
    ++(served ? figures.answered : figures.failed);
    if (send.hasEffect) ledger_.ended(send.intent, attempts::effectOf(answer, true));
    attempts::CircuitBreaker& gate = gates_[send.target];
    const bool refused = answer.ended == attempts::Ended::neverSent || answer.status == kRefused ||
                         answer.status == kUnavailable;
    if (refused) {
        gate.refused(now, retryAfter);
    } else if (answer.ended == attempts::Ended::answered) {
        gate.answered();
    } else {
        gate.inconclusive();
    }
    if (settings_.tries == Tries::first) retryLater(item.send, item.index, answer, retryAfter, now);
    settle(item.index);
}

// A further try as a client makes it: if the answer invites one, it can do no harm, and there is something
// left.
void Plan::retryLater(const Send& send, std::uint64_t index, const attempts::Answer& answer,
                      std::optional<Micros> retryAfter, Micros now) {
    if (stopped_ || !attempts::clientsRetryAfter(answer) || send.number + 1 >= settings_.triesMost) return;
    if (send.hasEffect && attempts::effectOf(answer, true) != Effect::notDone) return;
    if (!budget_.take()) {
        ++figuresOf(send.entry).notSent[static_cast<std::size_t>(NotSent::budget)];
        return;
    }
    Item item;
    item.send = send;
    ++item.send.number;
    item.index = index;
    ++unsettled_[item.index];
    const Micros whole = settings_.backOff << std::min(send.number, 16U);
    const double chance = attempts::uniformDraw(settings_.schedule.seed, send.id);
    const Micros wait = whole / 2 + std::llround(static_cast<double>(whole / 2) * chance);
    const Micros at = now + std::max(wait, retryAfter.value_or(0));
    // Its latency counts from when it was meant to go.
    item.send.intended = at;
    later_.emplace(at, std::move(item));
}

void Plan::stop() {
    stopped_ = true;
    // None of it is settled: a run that goes on begins with it.
    for (const Item& item : std::exchange(ready_, {})) {
        ++figuresOf(item.send.entry).notSent[static_cast<std::size_t>(NotSent::stopped)];
    }
    later_.clear();
}

std::optional<Micros> Plan::wakeAt(Micros now) const {
    std::optional<Micros> out;
    const auto sooner = [&](Micros at) { out = out ? std::min(*out, at) : at; };
    if (upcoming_ && !stopped_) sooner(start_ + schedule_.intended(upcoming_->at, loop_, lastAt_ - firstAt_));
    if (!later_.empty()) sooner(later_.begin()->first);
    if (!ready_.empty() && inFlight_ < settings_.inFlightMost) {
        const double missing = std::max(0.0, 1 - tokens_);
        sooner(now + std::llround(missing / settings_.ratePerS * 1e6));
    }
    return out;
}

bool Plan::done() const {
    return (ended_ || stopped_) && !(upcoming_ && !stopped_) && ready_.empty() && later_.empty() &&
           out_.empty();
}

std::uint64_t Plan::settledBefore() const {
    if (!unsettled_.empty()) return unsettled_.begin()->first;
    return std::max(skip_, upcoming_ ? index_ - 1 : index_);
}

}  // namespace marldale::replay
