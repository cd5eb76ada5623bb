#include "emulator/box.h"

#include <algorithm>
#include <cmath>

namespace marldale::emulator {
namespace {

constexpr double kDoneBelow = 0.5;    // microseconds of work: nothing is left
constexpr double kSpeedLeast = 0.5;   // no machine is slower, whatever the spread
constexpr double kLatencyGain = 0.1;  // of the smoothed answer time, a job

}  // namespace

Box::Box(const BoxSettings& settings, std::uint32_t zone, std::uint32_t place, Micros now, bool cold,
         std::uint64_t seed, std::uint32_t number)
    : settings_(settings),
      zone_(zone),
      place_(place),
      boot_(cold ? std::max<Micros>(now, 1) : 0),
      random_(seed, "box", number),
      at_(now),
      loadAt_(now) {
    machine_ = std::max(kSpeedLeast, 1 + settings.speedSpread * random_.normal());
    speedChanged(now);
}

double Box::warmth(Micros now) const {
    if (!cold(now)) return 1;
    const double age = static_cast<double>(now - boot_) / static_cast<double>(settings_.warmUp);
    return settings_.coldSpeed + (1 - settings_.coldSpeed) * age;
}

double Box::rate(Micros now) const {
    if (troubles.silent > 0 || troubles.paused > 0 || troubles.vanished > 0 || !answers()) return 0;
    const double speed = machine_ * warmth(now) * troubles.speed * (1 - std::min(troubles.stolen, 0.99));
    if (settings_.discipline != Discipline::sharing) return speed;
    const auto n = static_cast<double>(running_.size());
    return n <= settings_.cores ? speed : speed * settings_.cores / n;
}

double Box::capacity(Micros now) const {
    const double speed = machine_ * warmth(now) * troubles.speed * (1 - std::min(troubles.stolen, 0.99));
    return speed * settings_.cores;
}

void Box::advance(Micros now) {
    const auto span = static_cast<double>(now - at_);
    for (Job& job : running_) job.left -= rate_ * span;
    busy_ += span * std::min<double>(static_cast<double>(running_.size()), settings_.cores) / settings_.cores;
    at_ = now;
}

// What has room runs; the speed of each is worked out anew, and what was said of the next end is void.
void Box::fill() {
    while (!waiting_.empty() && (settings_.discipline == Discipline::sharing ||
                                 running_.size() < static_cast<std::size_t>(settings_.cores))) {
        if (settings_.discipline == Discipline::lifo) {
            running_.push_back(waiting_.back());
            waiting_.pop_back();
        } else {
            running_.push_back(waiting_.front());
            waiting_.pop_front();
        }
    }
    rate_ = rate(at_);
    ++generation_;
}

void Box::speedChanged(Micros now) {
    advance(now);
    fill();
}

// A cold box that is sent too much for too long falls over.
void Box::noteOffered(double work, Micros now) {
    if (!cold(now) || settings_.tipMultiple <= 0) return;
    offered_.push_back({now, work});
    offeredWork_ += work;
    while (offered_.front().at <= now - settings_.fallWithin) {
        offeredWork_ -= offered_.front().work;
        offered_.pop_front();
    }
    if (now - boot_ < settings_.fallWithin) return;
    const double most = settings_.tipMultiple * capacity(now) * static_cast<double>(settings_.fallWithin);
    if (offeredWork_ > most) state_ = BoxState::fallen;
}

std::optional<TurnedAway> Box::offer(const Job& job, bool newConnection, Micros now) {
    if (!answers()) return TurnedAway::notThere;
    if (newConnection && connections_ >= settings_.connectionsMost) return TurnedAway::connections;
    noteOffered(job.left, now);
    advance(now);
    if (state_ == BoxState::fallen) {
        fill();  // nothing goes on
        return TurnedAway::notThere;
    }
    if (state_ == BoxState::draining) return TurnedAway::drains;
    if (waiting_.size() >= settings_.queueMost ||
        (settings_.discipline == Discipline::sharing &&
         running_.size() >= settings_.queueMost + static_cast<std::size_t>(settings_.cores))) {
        return TurnedAway::full;
    }
    Job mine = job;
    if (newConnection) {
        ++connections_;
        mine.left += settings_.connectWork;
    }
    waiting_.push_back(mine);
    fill();
    return std::nullopt;
}

bool Box::cancel(std::uint32_t attempt, Micros now) {
    advance(now);
    const auto gone = std::erase_if(waiting_, [&](const Job& job) { return job.attempt == attempt; });
    fill();
    return gone > 0;
}

std::vector<Box::Job> Box::done(Micros now) {
    advance(now);
    std::vector<Job> out;
    for (const Job& job : running_) {
        if (job.left > kDoneBelow) continue;
        out.push_back(job);
        latency_ += kLatencyGain * (static_cast<double>(now - job.came) / 1000 - latency_);
    }
    std::erase_if(running_, [](const Job& job) { return job.left <= kDoneBelow; });
    fill();
    return out;
}

std::optional<Micros> Box::nextDone(Micros now) const {
    if (running_.empty() || rate_ <= 0) return std::nullopt;
    double least = running_.front().left;
    for (const Job& job : running_) least = std::min(least, job.left);
    return std::max(now, at_ + static_cast<Micros>(std::ceil(std::max(0.0, least) / rate_)));
}

void Box::set(BoxState state, Micros now) {
    advance(now);
    state_ = state;
    fill();
}

std::vector<Box::Job> Box::stop(Micros now) {
    advance(now);
    std::vector<Job> out = std::move(running_);
    running_.clear();
    out.insert(out.end(), waiting_.begin(), waiting_.end());
    waiting_.clear();
    connections_ = 0;
    fill();
    return out;
}

double Box::workLeft() const {
    double out = 0;
    for (const Job& job : running_) out += job.left;
    for (const Job& job : waiting_) out += job.left;
    return out;
}

void Box::refreshLoad(Micros now) {
    advance(now);
    const auto noisy = [&](double value) {
        return std::max(0.0, value * (1 + settings_.loadNoise * random_.normal()));
    };
    const double span = std::max(1.0, static_cast<double>(now - loadAt_));
    load_ = {noisy(static_cast<double>(jobs())), noisy(static_cast<double>(waiting_.size())),
             std::min(1.0, noisy(busy_ / span)), noisy(latency_)};
    busy_ = 0;
    loadAt_ = now;
}

}  // namespace marldale::emulator
