#include "standin/world.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace marldale::standin {
namespace {

constexpr Micros kWindow = 10 * kSecond;
constexpr Micros kGapOfADrain = 4 * kSecond;  // between draining and gone
constexpr Micros kDiscoveryLate = 600 * kMs;
constexpr Micros kChannelLeast = 150 * kMs;  // the way of a message, more for some relays
constexpr Micros kChannelMost = 350 * kMs;
constexpr Micros kJoinSpread = 3 * kSecond;
constexpr Micros kRedialLeast = 150 * kMs, kRedialSpread = 1450 * kMs;  // after its planner is back
constexpr Micros kAway = 1500 * kMs;                                    // a relay that restarts
constexpr Micros kSpoilEvery = 3;                                       // rows, while reports are spoilt

// From 0 to 1; the distributions of the standard library differ from one library to the next.
double uniform(pcg32& random) { return (random() + 0.5) / 4294967296.0; }
double exponential(pcg32& random) { return -std::log(uniform(random)); }

std::uint64_t hashOf(const View& view, const std::set<std::string>& shut) {
    std::string text;
    for (const auto& [name, c] : view) {
        text += name + '\0';
        for (const auto& [box, weight] : c.lines) {
            if (shut.count(box) == 0) text += box + '=' + std::to_string(weight) + '\0';
        }
        text += std::to_string(c.level.limit) + '/' + std::to_string(c.level.retryMode) + '\0';
    }
    return XXH64(text.data(), text.size(), 0);
}

struct WordOrder {
    using Place = std::tuple<int, std::string, int, std::string>;
    Place operator()(const ListChange&) const { return {0, "", 0, ""}; }
    Place operator()(const RelayHello& w) const { return {1, "", w.relay, ""}; }
    Place operator()(const RelayBye& w) const { return {1, "", w.relay, ""}; }
    Place operator()(const RelayAck& w) const { return {1, "", w.relay, ""}; }
    Place operator()(const SumRow& w) const { return {2, w.site, 0, w.box}; }
    Place operator()(const DemandRow& w) const { return {3, w.site, w.relay, w.className}; }
};

}  // namespace

World::World(WorldSettings settings, std::vector<Trouble> troubles)
    : settings_(std::move(settings)), troubles_(std::move(troubles)) {
    const auto sites = static_cast<int>(settings_.sites.size());
    for (int site = 0; site < sites; ++site) {
        for (int i = 0; i < settings_.boxesPerSite; ++i) {
            Box box;
            box.uid = "box-" + std::to_string(born_++);
            box.site = site;
            boxByName_[box.uid] = boxes_.size();
            boxes_.push_back(std::move(box));
        }
    }
    const int count = sites * settings_.relaysPerSite;
    for (int number = 0; number < count; ++number) {
        Relay relay;
        relay.site = number / settings_.relaysPerSite;
        // A tenth of the relays brings half of the requests.
        const bool busy = number % 10 == 0;
        relay.rps = settings_.requestsPerS / count * (busy ? 5.0 : 5.0 / 9.0);
        const auto stream = static_cast<std::uint64_t>(number);
        relay.arrivals = pcg32(settings_.seed, 2 * stream);
        relay.picks = pcg32(settings_.seed, 2 * stream + 1);
        relay.joinsAt = kJoinSpread * number / count;
        relays_.push_back(std::move(relay));
    }
    figures_.resize(static_cast<std::size_t>(settings_.planners));
    marks_.resize(relays_.size());
    messages_.resize(relays_.size());
    messageTimes_.resize(relays_.size());
    nextReport_ = settings_.reportEvery;
}

const std::string& World::siteOf(int relay) const {
    return settings_.sites[static_cast<std::size_t>(relays_[static_cast<std::size_t>(relay)].site)];
}

std::vector<ListChange> World::list() const {
    std::vector<ListChange> out;
    for (const Box& box : boxes_) {
        if (box.state == BoxState::gone) continue;
        out.push_back({box.uid, settings_.sites[static_cast<std::size_t>(box.site)], box.state, box.boot});
    }
    return out;
}

double World::speed(const Box& box, Micros now) const {
    if (box.boot == 0) return 1;
    const double age = static_cast<double>(now - box.boot) / static_cast<double>(settings_.warmUp);
    return age >= 1 ? 1 : settings_.coldSpeed + (1 - settings_.coldSpeed) * age;
}

void World::change(Box& box, BoxState state, Micros now) {
    box.state = state;
    say(now + kDiscoveryLate, ListChange{box.uid, settings_.sites[static_cast<std::size_t>(box.site)], state,
                                         box.boot, "127.0.0.1:9"});
}

void World::begin(const Trouble& trouble, Micros now) {
    switch (trouble.kind) {
        case Trouble::Kind::replaceBox:
            change(boxes_[static_cast<std::size_t>(trouble.subject)], BoxState::draining, now);
            break;
        case Trouble::Kind::restartRelays:
            for (int i = 0; i < trouble.subject; ++i) {
                const int number = (i * 37 + 11) % relays();
                Relay& relay = relays_[static_cast<std::size_t>(number)];
                if (!relay.joined) continue;
                relay.joined = false;
                relay.arriving.clear();
                relay.joinsAt = now + kAway + i * 20 * kMs;
                say(now, RelayBye{number});
            }
            break;
        case Trouble::Kind::cutSite:
            cutSites_.insert(trouble.subject);
            for (int number = 0; number < relays(); ++number) {
                Relay& relay = relays_[static_cast<std::size_t>(number)];
                if (relay.site != trouble.subject || !relay.joined) continue;
                relay.joined = false;
                relay.fresh = false;
                relay.arriving.clear();
                relay.joinsAt = trouble.at + trouble.lasts + (number % 50) * 20 * kMs;
                say(now, RelayBye{number});
            }
            break;
        case Trouble::Kind::losePlanner:
            // What they hold stays; they dial again until it is back.
            for (int number = trouble.subject; number < relays(); number += settings_.planners) {
                Relay& relay = relays_[static_cast<std::size_t>(number)];
                relay.joined = false;
                relay.fresh = false;
                relay.arriving.clear();
                relay.joinsAt = trouble.at + trouble.lasts + kRedialLeast + number % 50 * kRedialSpread / 50;
            }
            break;
        case Trouble::Kind::spoilReports: spoils_ = true; break;
        case Trouble::Kind::failFast:
            boxes_[static_cast<std::size_t>(trouble.subject)].failsFast = true;
            break;
        case Trouble::Kind::silentBox: boxes_[static_cast<std::size_t>(trouble.subject)].silent = true; break;
    }
    static const char* const kNames[] = {"box replaced",   "relays restarted", "site cut off",
                                         "reports spoilt", "box fails fast",   "box silent",
                                         "planner lost"};
    said_.push_back(std::to_string(now / kSecond) + " s: " + kNames[static_cast<int>(trouble.kind)]);
}

void World::end(const Trouble& trouble, Micros now) {
    Box& box =
        boxes_[static_cast<std::size_t>(std::min<int>(trouble.subject, static_cast<int>(boxes_.size()) - 1))];
    switch (trouble.kind) {
        case Trouble::Kind::replaceBox: {
            change(box, BoxState::gone, now);
            boxByName_.erase(box.uid);
            // A new one under a new name stands in the same place, cold.
            box.uid = "box-" + std::to_string(born_++);
            box.boot = now;
            box.busyUntil = now;
            boxByName_[box.uid] = static_cast<std::size_t>(&box - boxes_.data());
            change(box, BoxState::ready, now);
            break;
        }
        case Trouble::Kind::cutSite: cutSites_.erase(trouble.subject); break;
        case Trouble::Kind::spoilReports: spoils_ = false; break;
        case Trouble::Kind::failFast: box.failsFast = false; break;
        case Trouble::Kind::silentBox: box.silent = false; break;
        case Trouble::Kind::restartRelays:
        case Trouble::Kind::losePlanner: break;
    }
}

std::vector<Word> World::advance(Micros now) {
    now_ = now;
    for (std::size_t i = 0; i < troubles_.size(); ++i) {
        const Trouble& t = troubles_[i];
        const Micros lasts = t.kind == Trouble::Kind::replaceBox ? kGapOfADrain : t.lasts;
        if (now >= t.at && begun_.insert(i).second) begin(t, now);
        if (now >= t.at + lasts && ended_.insert(i).second) end(t, now);
    }
    for (std::size_t i = 0; i < relays_.size(); ++i) {
        Relay& relay = relays_[i];
        const auto number = static_cast<int>(i);
        arrive(relay, number, now);
        if (relay.joinsAt >= 0 && now >= relay.joinsAt) {
            relay.joinsAt = -1;
            relay.joined = true;
            say(now, RelayHello{number, siteOf(number), relay.rps, relay.fresh});
        }
        requests(relay, number, now);
    }
    if (now >= nextReport_) report(now);
    std::vector<Word> out;
    std::erase_if(due_, [&](Due& due) {
        if (due.at > now) return false;
        out.push_back(std::move(due.word));
        return true;
    });
    std::stable_sort(out.begin(), out.end(), [](const Word& a, const Word& b) {
        return std::visit(WordOrder{}, a) < std::visit(WordOrder{}, b);
    });
    return out;
}

void World::message(int number, View view, std::set<std::string> shut, std::optional<unsigned> mark,
                    Micros now) {
    Relay& relay = relays_[static_cast<std::size_t>(number)];
    if (!relay.joined) return;
    const Micros late = kChannelLeast + (kChannelMost - kChannelLeast) * (number * 7 % 10) / 10;
    const Micros before = relay.arriving.empty() ? 0 : relay.arriving.back().at;
    relay.arriving.push_back({std::max(before, now + late), std::move(view), std::move(shut), mark});
    ++messages_[static_cast<std::size_t>(number)][now / kWindow];
    messageTimes_[static_cast<std::size_t>(number)].push_back(now);
}

void World::arrive(Relay& relay, int number, Micros now) {
    while (!relay.arriving.empty() && relay.arriving.front().at <= now) {
        Arriving message = std::move(relay.arriving.front());
        relay.arriving.pop_front();
        relay.view = std::move(message.view);
        relay.shut = std::move(message.shut);
        relay.fresh = false;
        if (!message.mark) continue;
        marks_[static_cast<std::size_t>(number)].push_back({*message.mark, hashOf(relay.view, relay.shut)});
        say(now, RelayAck{number, *message.mark, kChannelLeast});
    }
}

void World::requests(Relay& relay, int number, Micros now) {
    const double gap = static_cast<double>(kSecond) / relay.rps;
    if (relay.next == 0) relay.next = std::llround(exponential(relay.arrivals) * gap) + 1;
    while (relay.next <= now) {
        serve(relay, relay.next);
        relay.next += std::llround(exponential(relay.arrivals) * gap) + 1;
    }
    (void)number;
}

bool World::admitted(Relay& relay, const std::string& className, const Level& level, Micros at) {
    if (level.limit >= 1e6F) return true;
    // A relay lets in at once what its rate gives in half a second, and one request in any case.
    const double most = std::max(1.0, 0.5 * static_cast<double>(level.limit));
    double& tokens = relay.tokens[className];
    Micros& refilled = relay.refilled[className];
    tokens = std::min(
        most, tokens + static_cast<double>(level.limit) * static_cast<double>(at - refilled) / kSecond);
    refilled = at;
    if (tokens < 1) return false;
    tokens -= 1;
    return true;
}

WorldFigures& World::figuresFor(const Relay& relay) {
    return figures_[static_cast<std::size_t>(plannerOf(static_cast<int>(&relay - relays_.data())))];
}

WorldFigures World::figures() const {
    WorldFigures out;
    for (const WorldFigures& f : figures_) {
        out.requests += f.requests;
        out.served += f.served;
        out.late += f.late;
        out.failed += f.failed;
        out.refused += f.refused;
        out.unpicked += f.unpicked;
        out.tries += f.tries;
        out.retries += f.retries;
        out.effects += f.effects;
        out.secondEffects += f.secondEffects;
    }
    return out;
}

World::Box* World::pick(Relay& relay, const ClassView& view, const std::string* but, double chance) {
    double total = 0;
    const auto open = [&](const std::string& box) {
        return relay.shut.count(box) == 0 && (but == nullptr || box != *but);
    };
    for (const auto& [box, weight] : view.lines) total += open(box) ? static_cast<double>(weight) : 0;
    double at = chance * total;
    for (const auto& [box, weight] : view.lines) {
        if (!open(box)) continue;
        at -= static_cast<double>(weight);
        if (at > 0) continue;
        const auto known = boxByName_.find(box);
        if (known != boxByName_.end()) return &boxes_[known->second];
        static Box gone;
        gone = Box{};
        gone.uid = box;
        gone.state = BoxState::gone;
        return &gone;
    }
    return nullptr;
}

World::Outcome World::attempt(Relay& relay, Box& box, const WorldClass& k, double work, Micros at,
                              Micros& took) {
    WorldFigures& figures = figuresFor(relay);
    ++figures.tries;
    const bool apart = box.site != relay.site && (cut(box.site) || cut(relay.site));
    if (box.state == BoxState::gone) {
        took = kMs;
        return Outcome::refusedUnrun;  // nothing listens there: proof that it never ran
    }
    if (apart || box.silent) {
        took = settings_.giveUp;
        return Outcome::failedUnknown;
    }
    if (box.failsFast) {
        took = 5 * kMs;
        return Outcome::failed;
    }
    const double each = work / speed(box, at) / settings_.coresPerBox;
    const Micros wait = std::max<Micros>(0, box.busyUntil - at);
    took = wait + std::llround(work / speed(box, at));
    if (took > settings_.giveUp) {
        took = settings_.giveUp;
        return Outcome::failedUnknown;
    }
    box.busyUntil = std::max(box.busyUntil, at) + std::llround(each);
    if (k.mustNotRepeat) ++figures.effects;
    return Outcome::served;
}

void World::serve(Relay& relay, Micros at) {
    const auto number = static_cast<int>(&relay - relays_.data());
    WorldFigures& figures = figuresFor(relay);
    // All of a request's chance is drawn first, whatever becomes of it.
    const double kind = uniform(relay.picks), size = exponential(relay.picks);
    const double chance[2] = {uniform(relay.picks), uniform(relay.picks)};
    double below = 0;
    const WorldClass* k = &settings_.classes.back();
    for (const WorldClass& c : settings_.classes) {
        below += c.share;
        if (kind < below) {
            k = &c;
            break;
        }
    }
    const double work = static_cast<double>(k->work) * (0.5 + 0.5 * size);
    ++figures.requests;
    Came& came = came_[{number, k->name}];
    ++came.came;
    const auto view = relay.view.find(k->name);
    // Before it is bound a relay has its standing table: the boxes of its site, by the list at the start.
    ClassView standing;
    if (view == relay.view.end()) {
        for (int i = 0; i < settings_.boxesPerSite; ++i) {
            standing.lines["box-" + std::to_string(relay.site * settings_.boxesPerSite + i)] = 1;
        }
    }
    const ClassView& mine = view == relay.view.end() ? standing : view->second;
    if (!admitted(relay, k->name, mine.level, at)) {
        ++figures.refused;
        return;
    }
    Box* box = pick(relay, mine, nullptr, chance[0]);
    if (box == nullptr) {
        ++figures.unpicked;
        ++came.failed;
        return;
    }
    const std::uint64_t before = figures.effects;
    std::string tried;
    for (int n = 0; n < 2 && box != nullptr; ++n) {
        Micros took = 0;
        const Outcome outcome = attempt(relay, *box, *k, work, at, took);
        Sum& sum = sums_[{plannerOf(number), relay.site, box->uid}];
        ++sum.tries;
        if (outcome == Outcome::served) {
            sum.time += took;
            took <= settings_.giveUp / 3 ? ++figures.served : ++figures.late;
            break;
        }
        ++sum.failed;
        // Another box only after proof, where the planner has said so.
        const bool again = n == 0 && outcome == Outcome::refusedUnrun && mine.level.retryMode >= 1;
        if (!again) {
            ++figures.failed;
            ++came.failed;
            break;
        }
        ++figures.retries;
        tried = box->uid;
        box = pick(relay, mine, &tried, chance[1]);
    }
    if (figures.effects > before + 1) ++figures.secondEffects;
}

void World::report(Micros now) {
    const Micros over = settings_.reportEvery;
    const auto spoilt = [&, row = 0]() mutable {
        return spoils_ && ++row % kSpoilEvery == 0 ? 1 + row % 4 : 0;
    };
    auto spoil = spoilt;
    for (const auto& [key, sum] : sums_) {
        const auto& [planner, site, box] = key;
        if (cut(site)) continue;  // its collector is cut off as well
        const Micros mean = sum.tries > sum.failed ? sum.time / (sum.tries - sum.failed) : 0;
        say(now + settings_.reportLate, SumRow{settings_.sites[static_cast<std::size_t>(site)], box,
                                               sum.tries, sum.failed, mean, over, spoil(), planner});
    }
    for (const auto& [key, came] : came_) {
        const Relay& relay = relays_[static_cast<std::size_t>(key.first)];
        if (cut(relay.site) || !relay.joined) continue;
        say(now + settings_.reportLate,
            DemandRow{siteOf(key.first), key.first, key.second, came.came, came.failed, over, spoil()});
    }
    sums_.clear();
    came_.clear();
    nextReport_ = now + settings_.reportEvery;
}

int World::mostMessagesWithin(Micros span) const {
    int most = 0;
    for (const auto& times : messageTimes_) {
        std::size_t from = 0;
        for (std::size_t to = 0; to < times.size(); ++to) {
            while (times[to] - times[from] >= span) ++from;
            most = std::max(most, static_cast<int>(to - from + 1));
        }
    }
    return most;
}

std::string World::said() const {
    std::string out;
    for (const std::string& line : said_) out += line + '\n';
    return out;
}

std::vector<Trouble> twoMinutes() {
    using Kind = Trouble::Kind;
    std::vector<Trouble> out;
    for (int i = 0; i < 8; ++i) {  // one box after the other, through all sites
        out.push_back({Kind::replaceBox, 15 * kSecond + i * 2500 * kMs, 0, (i * 4 + 1) % 30});
    }
    out.push_back({Kind::restartRelays, 42 * kSecond, 0, 20});
    out.push_back({Kind::cutSite, 55 * kSecond, 14 * kSecond, 1});
    out.push_back({Kind::spoilReports, 78 * kSecond, 8 * kSecond, 0});
    out.push_back({Kind::failFast, 90 * kSecond, 10 * kSecond, 22});
    out.push_back({Kind::silentBox, 102 * kSecond, 9 * kSecond, 4});
    out.push_back({Kind::restartRelays, 108 * kSecond, 0, 40});
    return out;
}

}  // namespace marldale::standin
