// Faults of a run: whom they are about, what they begin and end.
#include <algorithm>
#include <cmath>

#include "emulator/emulation.h"

namespace marldale::emulator {
namespace {

// What makes a drawn fault one that can be lived through.
struct Usual {
    const char* subject;
    double leastStrength, mostStrength;
    double leastS, mostS;
};
Usual usualOf(FaultKind kind) {
    switch (kind) {
        case FaultKind::crash: return {"boxes 10%", 1, 1, 3, 12};
        case FaultKind::silence: return {"boxes 15%", 1, 1, 5, 25};
        case FaultKind::vanish: return {"boxes 15%", 1, 1, 10, 30};
        case FaultKind::errors: return {"boxes 15%", 0.35, 0.9, 8, 25};
        case FaultKind::slow: return {"boxes 20%", 0.3, 0.7, 8, 25};
        case FaultKind::neighbour: return {"boxes 50%", 0.38, 0.75, 10, 30};
        case FaultKind::pause: return {"boxes 30%", 300, 1500, 10, 20};
        case FaultKind::deploy: return {"boxes 50%", 1, 1, 20, 40};
        case FaultKind::cut: return {"zone", 1, 1, 10, 20};
        case FaultKind::slowLink: return {"zone", 20, 150, 10, 25};
        case FaultKind::loss: return {"zone", 0.05, 0.3, 10, 25};
        case FaultKind::plannerLoss: return {"planner", 1, 1, 1, 15};
        case FaultKind::slowChannel: return {"", 2, 5, 6, 19};
        case FaultKind::lateReports: return {"", 1000, 4000, 10, 25};
        case FaultKind::lostReports: return {"", 0.2, 0.7, 10, 25};
        case FaultKind::spoiltReports: return {"", 0.1, 0.5, 10, 25};
        case FaultKind::listOutage: return {"", 1, 1, 5, 20};
        case FaultKind::listLie: return {"boxes 10%", 1, 1, 5, 15};
        case FaultKind::clockSkew: return {"planner", -3000, 3000, 1, 1};
        case FaultKind::hotClient: return {"relay", 5, 20, 10, 25};
        case FaultKind::shift: return {"zone", 1.5, 2.5, 10, 30};
        case FaultKind::surge: return {"", 1.3, 2, 10, 25};
        case FaultKind::halfway: return {"boxes 10%", 1, 1, 10, 20};
        case FaultKind::lostAnswers: return {"boxes 15%", 0.1, 0.5, 8, 25};
        case FaultKind::count_: break;
    }
    return {"", 1, 1, 5, 10};
}

}  // namespace

void Emulation::drawFaults() {
    Stream draw(scenario_.run.seed, "faults");
    const DrawnFaults& d = scenario_.drawn;
    const Micros until = d.until > 0 ? d.until : scenario_.run.duration;
    for (std::uint32_t i = 0; i < d.count; ++i) {
        Fault f;
        f.name = "drawn-" + std::to_string(i);
        f.kind = d.kinds.empty()
                     ? static_cast<FaultKind>(draw.below(static_cast<std::uint32_t>(FaultKind::count_)))
                     : d.kinds[draw.below(static_cast<std::uint32_t>(d.kinds.size()))];
        const Usual usual = usualOf(f.kind);
        f.at = std::llround(
            draw.uniform(static_cast<double>(d.from), static_cast<double>(std::max(until, d.from + 1))));
        f.lasts = std::llround(draw.uniform(usual.leastS, usual.mostS) * 1e6);
        f.strength = draw.uniform(usual.leastStrength, usual.mostStrength);
        const std::string subject = usual.subject;
        const auto& zones = scenario_.fleet.zones;
        if (subject == "zone") {
            f.subject = {Subject::What::zone, zones[draw.below(static_cast<std::uint32_t>(zones.size()))], -1,
                         1};
        } else if (subject == "planner") {
            f.subject = {Subject::What::planners, "", static_cast<int>(draw.below(scenario_.fleet.planners)),
                         1};
        } else if (subject == "relay") {
            f.subject = {Subject::What::relays, "", static_cast<int>(draw.below(scenario_.fleet.relays)), 1};
        } else if (!subject.empty()) {
            f.subject = parseSubject(subject);
        }
        scenario_.faults.push_back(std::move(f));
    }
}

// Places of boxes, relays, planners or zones that a fault is about.
std::vector<std::uint32_t> Emulation::choose(const Fault& fault) const {
    const Subject& s = fault.subject;
    const auto zones = static_cast<std::uint32_t>(scenario_.fleet.zones.size());
    if (s.what == Subject::What::zone) return {scenario_.zoneOf(s.zone)};
    std::uint32_t count = 0;
    if (s.what == Subject::What::boxes) count = scenario_.fleet.boxes;
    if (s.what == Subject::What::relays) count = scenario_.fleet.relays;
    if (s.what == Subject::What::planners) count = scenario_.fleet.planners;
    if (s.number >= 0) {
        const auto one = static_cast<std::uint32_t>(s.number);
        return one < count ? std::vector<std::uint32_t>{one} : std::vector<std::uint32_t>{};
    }
    std::vector<std::uint32_t> all;
    for (std::uint32_t i = 0; i < count; ++i) {
        if (s.zone.empty() || i % zones == scenario_.zoneOf(s.zone)) all.push_back(i);
    }
    Stream draw(scenario_.run.seed, "chosen " + fault.name);
    for (std::size_t i = all.size(); i > 1; --i)
        std::swap(all[i - 1], all[draw.below(static_cast<std::uint32_t>(i))]);
    const auto wanted = static_cast<std::size_t>(std::ceil(s.share * static_cast<double>(all.size()) - 1e-9));
    all.resize(std::min(all.size(), wanted));
    std::sort(all.begin(), all.end());
    return all;
}

void Emulation::faultBegins(std::uint32_t number) {
    const Fault& f = scenario_.faults[number];
    Ongoing& o = ongoing_[number];
    o.chosen = choose(f);
    o.on = true;
    log(Kind::fault, number, static_cast<std::uint32_t>(f.kind), 0, 1);
    if (f.kind == FaultKind::deploy || f.kind == FaultKind::pause || f.kind == FaultKind::neighbour) {
        faultGoesOn(number, 0);
    } else {
        apply(f, o, true);
    }
    calendar_.enter(now_ + f.lasts, Happening::faultEnds, number);
}

void Emulation::faultEnds(std::uint32_t number) {
    const Fault& f = scenario_.faults[number];
    Ongoing& o = ongoing_[number];
    o.over = true;
    log(Kind::fault, number, static_cast<std::uint32_t>(f.kind), 0, 0);
    if (f.kind == FaultKind::deploy) return;
    if (f.kind == FaultKind::pause || f.kind == FaultKind::neighbour) {
        if (o.on) apply(f, o, false);
        o.on = false;
        return;
    }
    apply(f, o, false);
}

// Deploys go from box to box; pauses and neighbours come and go.
void Emulation::faultGoesOn(std::uint32_t number, std::uint32_t times) {
    const Fault& f = scenario_.faults[number];
    Ongoing& o = ongoing_[number];
    if (o.over) return;
    if (f.kind == FaultKind::deploy) {
        if (times >= o.chosen.size()) return;
        const BoxNumber box = places_[o.chosen[times]];
        if (boxes_[box].state() == BoxState::ready) {
            changeState(box, BoxState::draining);
            list(box, ServerState::draining);
            calendar_.enter(now_ + scenario_.box.drainFor, Happening::drained, o.chosen[times]);
        }
        calendar_.enter(now_ + f.every, Happening::faultGoesOn, number, times + 1);
        return;
    }
    o.on = times % 2 == 0;
    apply(f, o, o.on);
    // A pause lasts `strength` ms of each `every`; a neighbour takes half of the time.
    const Micros on = f.kind == FaultKind::pause ? std::llround(f.strength * 1000) : f.every / 2;
    const Micros off = std::max<Micros>(1000, f.every - on);
    calendar_.enter(now_ + (o.on ? on : off), Happening::faultGoesOn, number, times + 1);
}

void Emulation::apply(const Fault& f, Ongoing& o, bool on) {
    const int step = on ? 1 : -1;
    const auto eachBox = [&](const auto& change) {
        for (const std::uint32_t place : o.chosen) {
            const BoxNumber box = places_[place];
            change(boxes_[box], box, place);
            boxes_[box].speedChanged(now_);
            reschedule(box);
        }
    };
    const auto zone = [&] { return o.chosen.empty() ? 0 : o.chosen.front(); };
    switch (f.kind) {
        case FaultKind::crash:
            for (const std::uint32_t place : o.chosen) {
                if (on && boxes_[places_[place]].answers()) stopBox(places_[place], true);
                if (!on && !boxes_[places_[place]].answers()) start(place, true);
            }
            break;
        case FaultKind::vanish:
            for (const std::uint32_t place : o.chosen) {
                const BoxNumber box = places_[place];
                if (on && boxes_[box].answers()) {
                    boxes_[box].troubles.vanished = 1;
                    stopBox(box, false);
                } else if (!on && !boxes_[box].answers()) {
                    start(place, true);
                }
            }
            break;
        case FaultKind::silence:
            eachBox([&](Box& b, BoxNumber, std::uint32_t) {
                b.troubles.silent = std::max(0, b.troubles.silent + step);
            });
            break;
        case FaultKind::errors:
            eachBox([&](Box& b, BoxNumber, std::uint32_t) { b.troubles.errors = on ? f.strength : 0; });
            break;
        case FaultKind::slow:
            eachBox([&](Box& b, BoxNumber, std::uint32_t) {
                b.troubles.speed = on ? std::max(0.01, f.strength) : 1;
            });
            break;
        case FaultKind::neighbour:
            eachBox([&](Box& b, BoxNumber, std::uint32_t) { b.troubles.stolen = on ? f.strength : 0; });
            break;
        case FaultKind::pause: {
            const Micros until = now_ + std::llround(f.strength * 1000);
            if (f.subject.what == Subject::What::relays) {
                for (const std::uint32_t r : o.chosen) {
                    if (on) relays_[r].relay.busyUntil = std::max(relays_[r].relay.busyUntil, until);
                }
            } else if (f.subject.what == Subject::What::planners) {
                for (const std::uint32_t p : o.chosen) {
                    if (on) planners_[p].pausedUntil = std::max(planners_[p].pausedUntil, until);
                }
            } else {
                eachBox([&](Box& b, BoxNumber, std::uint32_t) {
                    b.troubles.paused = std::max(0, b.troubles.paused + step);
                });
            }
            break;
        }
        case FaultKind::cut:
            network_.cut(zone(), on);
            if (!on) break;
            for (std::uint32_t r = 0; r < relays_.size(); ++r) {
                if (relays_[r].instance < 0) continue;
                const auto wait = std::llround(static_cast<double>(scenario_.planner.noticeAfter) *
                                               relays_[r].chance.uniform(0.5, 1.5));
                calendar_.enter(now_ + wait, Happening::relayNotices, r);
            }
            break;
        case FaultKind::slowLink: network_.slow(zone(), step * f.strength * 1000); break;
        case FaultKind::loss: network_.lose(zone(), step * f.strength); break;
        case FaultKind::plannerLoss:
            for (const std::uint32_t p : o.chosen) {
                if (on) stopPlanner(p);
                if (!on && !planners_[p].instance) startPlanner(p);
            }
            if (!on && scenario_.planner.goesBack) {
                for (std::uint32_t r = 0; r < relays_.size(); ++r) {
                    const bool strays = relays_[r].instance >= 0 &&
                                        relays_[r].instance != static_cast<std::int32_t>(relays_[r].home);
                    if (strays && planners_[relays_[r].home].instance) loseStream(r, true);
                }
            }
            break;
        case FaultKind::slowChannel:
            slowChannel_ = on ? std::max(1.0, f.strength) : 1;
            for (Planner& p : planners_) {
                if (p.instance) p.instance->channel().setPace(scenario_.planner.linesPerS / slowChannel_);
            }
            break;
        case FaultKind::lateReports: lateReports_ += step * f.strength; break;
        case FaultKind::lostReports: lostReports_ += step * f.strength; break;
        case FaultKind::spoiltReports: spoiltReports_ += step * f.strength; break;
        case FaultKind::listOutage:
            listOutages_ += step;
            if (listOutages_ == 0) {
                for (std::uint32_t n = 0; n < planners_.size(); ++n) tellList(n);
            }
            break;
        case FaultKind::listLie:
            for (const std::uint32_t place : o.chosen) {
                const BoxNumber box = places_[place];
                if (boxes_[box].state() == BoxState::ready)
                    list(box, on ? ServerState::gone : ServerState::ready);
            }
            break;
        case FaultKind::hotClient:
            for (const std::uint32_t r : o.chosen) arrivals_.scale(r, on ? f.strength : 1 / f.strength);
            break;
        case FaultKind::shift: {
            // The zone's demand grows by this factor, and that of the others shrinks by as many requests.
            double mine = 0, others = 0;
            for (std::uint32_t r = 0; r < relays_.size(); ++r) {
                (relays_[r].relay.zone() == zone() ? mine : others) += arrivals_.usual(r);
            }
            const double factor = others > 0 ? std::min(f.strength, 1 + others / mine) : 1;
            const double rest = others > 0 ? std::max(1e-6, (others - (factor - 1) * mine) / others) : 1;
            for (std::uint32_t r = 0; r < relays_.size(); ++r) {
                const double by = relays_[r].relay.zone() == zone() ? factor : rest;
                arrivals_.scale(r, on ? by : 1 / by);
            }
            break;
        }
        case FaultKind::surge: arrivals_.scaleAll(on ? f.strength : 1 / f.strength); break;
        case FaultKind::halfway:
            eachBox([&](Box& b, BoxNumber, std::uint32_t) { b.troubles.halfway = on ? 1 : 0; });
            if (on) break;
            for (const std::uint32_t place : o.chosen) {
                if (!boxes_[places_[place]].answers()) start(place, true);
            }
            break;
        case FaultKind::lostAnswers:
            eachBox([&](Box& b, BoxNumber, std::uint32_t) { b.troubles.lost = on ? f.strength : 0; });
            break;
        case FaultKind::clockSkew:  // from the start
        case FaultKind::deploy:
        case FaultKind::count_: break;
    }
}

}  // namespace marldale::emulator
