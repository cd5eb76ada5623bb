// marldale's decisions. The interface (settings, events, actions) is types.h; no wire is known here.
//
// Parts, in this order, each owning its state: 1 fleet view, 2 table store and push, 3 pacer,
// 4 withdrawals, 5 slow start, 6 health, 7 levels and retries, 8 joins and restart; last, sites with slices.
#include "policy/policy.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <tuple>

#include "policy/state.h"

namespace marldale {
namespace {

// ---- Tuned values, all of them ----
constexpr Micros kTick = 200 * kMs;           // how often held changes and health are looked at
constexpr Micros kMarkTimeout = 3 * kSecond;  // an unanswered mark holds later changes this long
constexpr Micros kFoldAfter = 2 * kSecond;    // a copy lives at least this long before it is folded back
constexpr double kBacklogShare = 0.5;         // of the allowed backlog we fill this much
constexpr double kSlowChannel = 8;            // the channel may run this many times slower than told
constexpr double kUrgentCap = 1.6;            // what the rules demand may fill this much more
constexpr double kColumnCost = 0.1;       // seconds of channel for all tables, from which a fleet is dealt
constexpr double kDearCost = 0.35;        // and from which lines are dear
constexpr double kColumnLeast = 8;        // servers of a zone that a column keeps at least
constexpr double kUneven = 1.15;          // load against capacity of a column that calls for a server
constexpr Micros kSlotLeast = 200 * kMs;  // least time between two rounds of messages
constexpr double kRampFrom = 0.25;        // weight of a server that has just started
constexpr Micros kRampStep = 2 * kSecond;
constexpr double kColdOpen = 0.65, kColdShut = 0.5;  // part of the calm picture that lets cold ones in
constexpr double kTipPerLoad = 2.5;     // load that a ramp may meet, as a part of the tip multiple
constexpr double kFewTries = 10;        // fewer say nothing about a fleet or a zone
constexpr double kStatHalfLifeS = 2.5;  // health sums fade with this half-life
constexpr double kEjectRatio = 0.5;     // share of failed tries at which a server is ejected
constexpr double kDeadRatio = 0.9;      // what it takes when many fail or all are slow
constexpr double kEjectTries = 4, kTrialTries = 2;  // on at least so many recent tries, of a trickle
constexpr double kLeastFailing = 0.02;              // share of tries that fails at any server
constexpr double kLinkHalfLifeS = 1;                // sums of a link fade faster: it has many tries
constexpr double kRecovered = 0.2;                  // fewer failures in a trial: it is over at once
constexpr double kLinkRatio = 0.75;                 // share of tries across zones failing that proves a cut
constexpr double kHomeFails = 0.3;                  // a zone's own servers fail less: the link is to blame
constexpr double kEjectMost = 0.3;                  // of the ready servers, at most this share is ejected
constexpr Micros kEjectFor = 4 * kSecond;           // and then a trial
constexpr double kTrialWeight = 0.1;                // trickle to a server that may have recovered
constexpr Micros kTrialFor = 4 * kSecond;
constexpr double kShiftPower = 0.7;  // how strongly a server's slowness moves its weight
constexpr double kLean = 0.05;       // how fast weight leans away from slow zones, a second
constexpr double kLeanLeast = 0.4, kLeanMost = 1.6;
constexpr double kShiftPrior = 8;     // tries at the fleet's mean, credited to each
constexpr double kPaceHalfLifeS = 6;  // answer times fade with this half-life
constexpr Micros kShiftEvery = kSecond;
constexpr double kShiftLeast = 0.25, kShiftMost = 2;
constexpr double kFailedAims = 2;    // a failed try counts as an answer after this many aims
constexpr double kOverTime = 0.6;    // the fleet's answer time that proves overload
constexpr double kEaseTime = 0.5;    // below this the limit is raised again
constexpr double kDemandGain = 0.2;  // how fast the picture of demand follows
constexpr double kCutLeast = 0.5, kCutMost = 0.9, kRaiseLeast = 1.1, kRaiseMost = 1.5;
constexpr Micros kWindowExtra = 500 * kMs;
constexpr double kCycleGain = 0.05, kIntakeFull = 0.8;   // of the intake: from here on sums come late
constexpr double kLeastSpanS = 0.1, kProvenFade = 0.98;  // least span of a rate; fade a window
constexpr double kLiftAt = 1.2;                          // of what comes: a limit above it is lifted
constexpr double kLimitFloor = 0.8;                      // of the proven rate: no limit goes below this
constexpr double kBurstS = 0.5;       // of its rate a proxy lets in at once (seen by trying rates)
constexpr double kClassLeast = 0.02;  // and this much in any case
constexpr double kClassFloor = 0.25;  // a class keeps this share while another can still give
constexpr double kCoolTime = 0.3;     // mean answer time, in tightest aims, of a zone with slack
constexpr double kHotTime = 0.45;
constexpr double kQueueing = 1.6, kCalmOfBase = 1.3;  // of the best answer time: a zone queues, is calm
constexpr double kSpillLeast = 0.2;  // a smaller share of the other zones' lines is not worth its orders
constexpr double kLostMost = 0.1;    // of a zone's weight ejected: it needs the others
constexpr double kSpillStep = 0.05, kSpillGain = 3;  // of flows, a tick
constexpr double kFlowWeight = 0.3;                  // of a line that another zone's servers lend
constexpr double kFlowBack = 0.02;  // of a step: how fast flows recede where nothing is known against them
constexpr Micros kCoolHold = 5 * kSecond;  // calm this long before a zone draws its lines in

constexpr std::size_t kShutKept = 256;  // withdrawn servers that have gone, remembered for their return
constexpr double kUnlimited = 1e6, kLevelWorth = 1e6, kUrgentWorth = 1e9;

// Factors move in steps of a quarter octave, so that noise in what they come from sends no orders.
double stepped(double factor) { return factor <= 0 ? 0 : std::exp2(std::round(std::log2(factor) * 4) / 4); }

}  // namespace

struct Planner::State {
    explicit State(Settings settings) : set(std::move(settings)) {}

    const Settings set;
    const std::vector<Group> groups = groupsOf(set.classes);
    const double aim = tightestAim(set.classes);
    Micros now = 0;
    std::vector<Action> out;

    // ======== 1. Fleet view ========
    std::map<ServerId, Server> fleet;

    void on(const ListNews& news) {
        if (news.kind == ListNewsKind::failed) return askForList();
        std::set<ServerId> named;
        for (const ListEntry& entry : news.entries) {
            named.insert(entry.server);
            Server& s = fleet[entry.server];
            s.withdrawn = s.withdrawn || shut.erase(entry.server) > 0;
            if (entry.bootTime > s.entry.bootTime) forget(entry.server);
            s.entry = entry;
        }
        if (news.kind == ListNewsKind::delta) return;
        for (auto& [id, server] : fleet) {
            if (!named.count(id)) server.entry.state = ServerState::gone;  // not in a whole list
        }
    }
    // What has gone takes all that was known of it along: a fleet that is replaced all day must not gather.
    std::set<ServerId> shut;  // of these: should one come back under its old id, it has to be let back
    void bury() {
        std::erase_if(fleet, [this](const auto& at) {
            const auto& [id, s] = at;
            if (s.entry.state != ServerState::gone || !s.withdrawn || anyHolds(tables, id)) return false;
            forget(id);
            columns.drop(id, s);
            return shut.insert(id).second;
        });
        while (shut.size() > kShutKept) shut.erase(shut.begin());
    }
    void askForList() {
        if (set.listOnRequest) out.push_back(Subscribe{true});
    }
    [[nodiscard]] Micros age(const Server& s) const {
        return s.entry.bootTime == 0 ? set.warmUp : std::max<Micros>(0, now - s.entry.bootTime);
    }
    [[nodiscard]] bool warm(const Server& s) const { return age(s) >= set.warmUp; }

    // ======== 2. Table store and push (DESIGN steps 1 to 6) ========
    std::map<TableId, Table> tables;
    std::map<Place, TableId> mains;
    TableId lastTable = 0;
    std::uint64_t turnNumber = 0;

    std::map<ProxyId, Proxy> proxies;
    bool ordered = false;

    // No table is left without a line while anything is ready, healthy or not: warm servers, else cold ones.
    void lastResort(Content& c, const Group& g, bool onlyWarm) const {
        for (const auto& [id, s] : fleet) {
            const bool fits = s.ready() && g.opens(s.entry.zone) && (warm(s) || !onlyWarm);
            if (fits) c[id] = {static_cast<float>(s.weight()), 0};
        }
    }
    // Copies want what their main table wants: worked out once a turn.
    std::map<Place, Content> wanted;
    const Content& content(const Table& t) {
        const auto [at, fresh] = wanted.try_emplace(t.place());
        if (fresh) at->second = contentNow(t);
        return at->second;
    }
    [[nodiscard]] Content contentNow(const Table& t) const {
        Content c;
        const Group& g = groups[t.group];
        std::map<ZoneId, double> place;  // among its zone's servers of this column
        for (const ServerId id : columns.members[t.column]) {
            const Server& s = fleet.at(id);
            const double before = s.ready() ? place[s.entry.zone]++ : 0;
            if (s.base <= 0 || !g.opens(s.entry.zone)) continue;
            const bool local = s.entry.zone == t.zone;
            if (!local && g.ownZoneOnly) continue;
            const double factor = s.base * health(t.zone, id) * (local ? 1.0 : spillTo(s, t.zone, before));
            if (factor > 0) c[id] = {static_cast<float>(s.weight() * stepped(factor)), 0};
        }
        if (c.empty()) lastResort(c, g, true);
        if (c.empty()) lastResort(c, g, false);
        for (std::size_t k = 0; k < levels.size(); ++k) {
            if (g.classes == 0 || ((g.classes >> k) & 1U) != 0)
                c[kLevelKey + k] = under(levels[k], t.zone, k);
        }
        return c;
    }

    // What differs from what the proxies hold, most valuable first: cuts that the rules or failing servers
    // ask for, levels, weights by how much they shift. Lines of withdrawn servers carry nothing and go last.
    [[nodiscard]] std::vector<Change> changes(const Table& t, const Content& want) const {
        std::vector<Change> diff;
        const auto add = [&](Key key, const Entry& entry, double worth) {
            diff.push_back({urgentCut(key, t.zone) ? kUrgentWorth : worth, key, entry});
        };
        for (const auto& [key, entry] : want) {
            const Hash has = t.held(key);
            if (has == hashOf(entry)) continue;
            add(key, entry, key >= kLevelKey ? kLevelWorth : std::abs(entry.value - valueOf(has)));
        }
        for (const Key key : t.heldServers()) {
            if (want.count(key)) continue;
            const auto s = fleet.find(static_cast<ServerId>(key));
            add(key, {0, 0}, s != fleet.end() && s->second.ready() ? valueOf(t.held(key)) : 0);
        }
        std::stable_sort(diff.begin(), diff.end(),
                         [](const Change& a, const Change& b) { return a.worth > b.worth; });
        return diff;
    }
    // Sends what differs, or holds it until the open mark is answered or has run out. What does not fit the
    // channel waits and merges into the next difference.
    void push(TableId id, Table& t) {
        std::vector<Change> diff = changes(t, content(t));
        if (diff.empty()) return;
        const bool urgent = diff.front().worth >= kUrgentWorth;
        if (!t.unanswered.empty() && !urgent) return;
        if (!t.bound.empty()) {
            if (!slotOpen) return;
            const double fits = room(urgent) / static_cast<double>(t.bound.size()) - set.envelopeLines - 1;
            if (fits < 1) return;
            if (fits < static_cast<double>(diff.size())) diff.resize(static_cast<std::size_t>(fits));
        }
        for (const Change& d : diff) {
            out.push_back(d.order(id));
            t.pending[d.key] = d.removes() ? 0 : hashOf(d.entry);
        }
        t.mark(turnNumber, now, t.bound);
        for (const ProxyId p : t.bound) write(p, static_cast<double>(diff.size()));
        if (t.bound.empty()) t.settle();
    }

    TableId layTable(const Place& place, bool copy) {
        do {
            lastTable = static_cast<TableId>(lastTable % (kAllTables - 1) + 1);
        } while (tables.count(lastTable));
        Table& t = tables[lastTable];
        std::tie(t.zone, t.group, t.column) = place;
        t.copy = copy;
        t.madeAt = now;
        push(lastTable, t);
        return lastTable;
    }
    // At most: the bind, the lines and the levels of one table.
    [[nodiscard]] double tableLines(std::size_t servers) const {
        return 1 + static_cast<double>(servers + set.classes.size());
    }
    [[nodiscard]] double tableLines() const {
        return tableLines(columns.members.empty() ? fleet.size() : columns.members.front().size());
    }
    // Seconds of channel that it takes to send every proxy its tables anew.
    [[nodiscard]] double tableCost(double lines) const {
        const double mine = std::max(static_cast<double>(proxies.size()),
                                     static_cast<double>(set.proxies) / std::max(1U, set.planners));
        return mine * static_cast<double>(groups.size()) * (lines + set.envelopeLines) / set.pushRate;
    }
    bool dear = false;  // decided with the columns, of which there are several: it does not change under load
    void release(ProxyId id, TableId table) {
        const auto at = tables.find(table);
        if (at == tables.end()) return;
        at->second.bound.erase(id);
        at->second.answer(id);
    }
    void bind(ProxyId id, TableId table) {
        Proxy& p = proxies.at(id);
        Table& t = tables.at(table);
        p.tables.resize(groups.size(), 0);
        release(id, p.tables[t.group]);
        p.tables[t.group] = table;
        t.bound.insert(id);
        out.push_back(Bind{id, table, groups[t.group].classes});
        t.mark(turnNumber, now, {id});
        write(id, 1 + t.lines());
    }
    // A fresh marked copy of a zone's table for these proxies; it is the main table where there is none.
    // Where lines are dear, a copy for each of hundreds that join costs more than the wait it saves: they
    // share the main one.
    void bindFresh(const std::set<ProxyId>& ids, const Place& place, bool joining) {
        const auto at = mains.find(place);
        const bool alone = at == mains.end() || tables.at(at->second).bound.empty();
        if (!alone && dear && joining) {
            for (const ProxyId id : ids) bind(id, at->second);
            return;
        }
        const TableId fresh = layTable(place, !alone);
        if (alone) {
            if (at != mains.end()) {
                out.push_back(DropLines{at->second});
                tables.erase(at->second);
            }
            mains[place] = fresh;
        }
        for (const ProxyId id : ids) bind(id, fresh);
    }
    std::vector<std::set<ZoneId>> open;  // by group: zones with a warm server, worked out once a turn
    void findOpen() {
        open.assign(groups.size(), {});
        for (const auto& [id, s] : fleet) {
            for (std::size_t g = 0; g < groups.size(); ++g) {
                if (s.ready() && warm(s) && groups[g].opens(s.entry.zone)) open[g].insert(s.entry.zone);
            }
        }
    }
    // Where a group's requests go: the proxy's own zone if it has an open warm server, else another zone.
    [[nodiscard]] ZoneId homeZone(ProxyId id, ZoneId zone, std::size_t g) const {
        if (open[g].empty() || open[g].count(zone) || groups[g].ownZoneOnly) return zone;
        return *std::next(open[g].begin(), static_cast<std::ptrdiff_t>(id % open[g].size()));
    }

    void on(const Acknowledged& a) {
        const auto at = proxies.find(a.proxy);
        if (at == proxies.end()) return;
        auto& marks = at->second.marks;
        const auto hit = std::find_if(marks.begin(), marks.end(),
                                      [&](std::uint64_t t) { return (t & 0xffffU) == a.mark; });
        if (hit == marks.end()) return;
        const std::uint64_t turn = *hit;
        marks.erase(marks.begin(), hit + 1);
        channel.reached(turn);
        for (const TableId id : at->second.tables) {
            const auto t = tables.find(id);
            if (t == tables.end() || turn < t->second.markTurn) continue;
            t->second.answer(a.proxy);
            due = due || t->second.unanswered.empty();
        }
    }
    // The timeout releases the wait; silent proxies go to a copy, so that the others are not held up.
    void releaseSilent() {
        std::vector<std::pair<TableId, std::set<ProxyId>>> late;
        for (auto& [id, t] : tables) {
            if (!t.unanswered.empty() && now - t.markedAt >= kMarkTimeout)
                late.emplace_back(id, t.unanswered);
        }
        for (const auto& [id, silent] : late) {
            Table& t = tables.at(id);
            t.settle();
            if (t.copy || silent.size() == t.bound.size() || !mayWrite(silent, tableLines(), false)) continue;
            bindFresh(silent, t.place(), false);
        }
    }
    // Copies that say the same as their main table are folded back, so that tables stay few and shared.
    void foldCopies() {
        for (auto at = tables.begin(); at != tables.end();) {
            auto& [id, t] = *at;
            if (t.copy && t.bound.empty()) {
                out.push_back(DropLines{id});
                at = tables.erase(at);
                continue;
            }
            const TableId home = mains.at(t.place());
            const Table& main = tables.at(home);
            if (t.copy && t.unanswered.empty() && main.unanswered.empty() && now - t.madeAt >= kFoldAfter &&
                t.acked == main.acked && mayWrite(t.bound, 1 + t.lines(), false)) {
                const std::set<ProxyId> ids = t.bound;
                for (const ProxyId p : ids) bind(p, home);
                continue;
            }
            ++at;
        }
    }

    // ======== 3. Pacer ========
    Channel channel;
    // Messages leave in slots, so far apart that a proxy's limit holds whatever happens in between: all that
    // falls due meanwhile goes out as one message. Only a proxy's first bind does not wait for a slot.
    // (Incident i648ecb: withdrawals that came on top of a full window broke the limit.)
    Micros lastSlot = 0;
    bool slotOpen = true;
    void openSlot() {
        const Micros apart = set.messagesMost > 1 ? set.messagesOver / (set.messagesMost - 1) + 1 : 0;
        slotOpen = now - lastSlot >= std::max(apart, kSlotLeast);
    }
    [[nodiscard]] double room(bool urgent) const {
        return set.backlogLines * kBacklogShare * (urgent ? kUrgentCap : 1.0) - channel.waiting();
    }
    [[nodiscard]] bool mayWrite(const std::set<ProxyId>& ids, double lines, bool urgent) const {
        return slotOpen && static_cast<double>(ids.size()) * (lines + set.envelopeLines + 1) <= room(urgent);
    }
    void write(ProxyId id, double lines) {
        ordered = true;
        if (!channel.write(id, lines, set.envelopeLines + 1)) return;  // the head, and the mark's own line
        proxies.at(id).marks.push_back(turnNumber);
    }
    void closeTurn() {
        if (ordered) {
            out.push_back(Mark{static_cast<std::uint16_t>(turnNumber & 0xffffU), false});
            if (slotOpen) lastSlot = now;
        }
        channel.close(turnNumber++, now);
        ordered = false;
    }

    // ======== 4. Withdrawals (DESIGN step 7) ========
    void withdraw() {
        if (!slotOpen) return;
        for (auto& [id, s] : fleet) {
            if (s.ready() == !s.withdrawn) continue;
            s.withdrawn = !s.ready();
            out.push_back(Withdraw{id, s.withdrawn});
            for (const ProxyId p : joined) write(p, 1);
            for (const auto& [table, t] : tables) {
                if (t.held(id) == 0) continue;
                for (const ProxyId p : t.bound) write(p, 1);
            }
        }
    }

    // ======== 5. Slow start ========
    [[nodiscard]] double ramp(const Server& s) const {
        return warmth(s) * (warm(s) ? 1 : coldOpen ? answered : 0);
    }
    [[nodiscard]] double warmth(const Server& s) const {
        if (warm(s) || set.warmUp <= 0) return 1;
        const double from = std::min(kRampFrom, set.coldShare);
        const Micros steps = age(s) / kRampStep;
        const auto step = static_cast<double>(steps * kRampStep);
        return from + (1 - from) * step / static_cast<double>(set.warmUp);
    }
    // In a jam a weight says little: failed tries come again, and proxies that avoid the servers that failed
    // them bring everything to the cold ones (incident i6bbaa1: half a fleet came back at once and was pushed
    // over). So a cold server's ramp shrinks with the tries beyond what the fleet has carried and with the
    // weight that the fleet has lost, and it takes nothing far below the calm picture, nor before a planner
    // that has just started can tell.
    double answered = 0;
    bool coldOpen = false;
    double carried = 0;     // the most answered tries that the fading sums have held
    double calmWeight = 0;  // the most weight that healthy servers have had, cold ones by their warmth
    void noteAnswered() {
        Tally all;
        for (const auto& [key, h] : healths) all.add(h.seen);
        double weight = 0;
        for (const auto& [id, s] : fleet) {
            if (s.ready()) weight += s.weight() * warmth(s) * shiftOf(id) * health(s.entry.zone, id);
        }
        calmWeight = std::max(calmWeight, weight);
        if (all.tries >= kFewTries && calmWeight > 0) {
            // A fleet that tips only at a high multiple leaves room before the shrinking has to begin.
            const double room = std::max(1.0, set.tipMultiple / kTipPerLoad);
            carried = std::max(carried, all.tries - all.failed);
            answered = std::min(1.0, room * carried / all.tries * weight / calmWeight);
        }
        if (answered < kColdShut) coldOpen = false;
        if (answered > kColdOpen) coldOpen = true;
    }

    // ======== 6. Health ========
    std::map<std::pair<ZoneId, ServerId>, Health> healths;

    std::map<std::pair<ZoneId, ZoneId>, Health> links;  // from a zone's proxies to another zone's servers

    template <class Book, class Id>
    [[nodiscard]] static double factorIn(const Book& book, const Id& id) {
        const auto at = book.find(id);
        if (at == book.end() || at->second.fit == Fit::ok) return 1;
        return at->second.fit == Fit::trial ? kTrialWeight : 0;
    }
    [[nodiscard]] double linkOf(ZoneId from, ZoneId to) const { return factorIn(links, std::pair(from, to)); }
    [[nodiscard]] double health(ZoneId zone, ServerId id) const {
        return factorIn(healths, std::pair(zone, id)) * linkOf(zone, fleet.at(id).entry.zone);
    }
    [[nodiscard]] bool urgentCut(Key key, ZoneId zone) const {
        if (key >= kLevelKey) return false;
        const auto s = fleet.find(static_cast<ServerId>(key));
        if (s == fleet.end() || !s->second.ready()) return false;  // withdrawn already
        return health(zone, s->first) == 0 || age(s->second) < kRampStep || ramp(s->second) == 0;
    }
    void on(const ServerSums& r) {
        ++told;
        if (!fleet.count(r.server)) return;
        const ZoneId to = fleet.at(r.server).entry.zone;
        span += kCycleGain * (static_cast<double>(r.period) - span);
        if (linkOf(r.fromZone, to) == 1) {  // what a broken link does is no sign of the servers behind it
            notePace(r);
            noteWindow(r);
        }
        note(healths[{r.fromZone, r.server}], r, kStatHalfLifeS);
        if (to != r.fromZone) note(links[{r.fromZone, to}], r, kLinkHalfLifeS);
    }
    // Where there are more lines than the intake takes, a server's sums come far less often than told.
    double told = 0, toldRate = 0, span = 0;
    Micros cycle = set.reportEvery;
    void timeSums() {
        toldRate += kCycleGain * (told * static_cast<double>(kSecond) / kTick - toldRate);
        told = 0;
        const bool full = set.reportsPerS > 0 && toldRate > kIntakeFull * set.reportsPerS;
        cycle = full ? std::max(static_cast<Micros>(span), set.reportEvery) : set.reportEvery;
        demands.fade(now, cycle, cycle / 2, demandGain());
    }
    void note(Health& h, const ServerSums& r, double halfLifeS) const {
        if (now < h.countFrom) return;
        h.seen.fade(now, halfLifeS);
        h.seen.add(r, failedTime());
    }
    [[nodiscard]] double failedTime() const { return kFailedAims * aim; }

    // What a process did is no sign of its successor: one that hung and came back is only cold (i4aa4a7).
    void forget(ServerId id) {
        for (ZoneId z = 0; z < set.zones; ++z) healths.erase({z, id});
        paces.erase(id);
        shifts.erase(id);
    }
    // One step of a health machine: eject on proof, come back by a trickle. True if it ejects now.
    bool advance(Health& h, double proof, double usual, bool mayEject) {
        if (h.fit == Fit::ejected) {
            if (now < h.until) return false;
            h.fit = Fit::trial;
            h.until = now + kTrialFor + cycle + kSecond;
            return false;
        }
        const double least = h.fit == Fit::trial ? kTrialTries : kEjectTries;
        const double chance = std::max(usual, kLeastFailing) * h.seen.tries;
        const bool proven = h.seen.failed - chance >= surprise * std::sqrt(chance);
        if (mayEject && h.seen.tries >= least && h.seen.ratio() >= proof && proven) {
            h.fit = Fit::ejected;
            h.until = now + kEjectFor;
            h.seen = {};
            h.countFrom = h.until + cycle + kSecond;  // late sums of before say nothing new
            return true;
        }
        const bool recovered = h.seen.tries >= least && h.seen.ratio() < kRecovered;
        if (h.fit == Fit::trial && (recovered || now >= h.until)) h.fit = Fit::ok;
        return false;
    }
    double surprise = 0;  // how many deviations from what is usual prove that it was not chance
    void judge() {
        std::vector<double> ratios;
        std::map<ZoneId, double> ejected;
        std::map<ZoneId, Tally> home;
        Tally all;
        for (auto& [key, h] : healths) {
            h.seen.fade(now, kStatHalfLifeS);
            if (h.fit == Fit::ejected) ejected[key.first] += 1;
            if (h.fit != Fit::ejected && h.seen.tries >= 1) ratios.push_back(h.seen.ratio());
            all.add(h.seen);
            if (fleet.at(key.second).entry.zone != key.first) continue;
            home[key.first].add(h.seen);
        }
        // Among hundreds of servers chance alone fails four of four tries somewhere: proof grows with the
        // fleet.
        surprise = std::sqrt(2 * std::log(1 + static_cast<double>(healths.size())));
        std::sort(ratios.begin(), ratios.end());
        const double usual = ratios.empty() ? 0 : ratios[ratios.size() / 2];
        // A zone that answers nothing to another zone whose own servers answer it is cut off, not broken.
        for (auto& [key, h] : links) {
            h.seen.fade(now, kLinkHalfLifeS);
            advance(h, kLinkRatio, 0, home[key.first].ratio() < kHomeFails);
        }
        // Panic threshold: many failing at once, or answers slow on the whole, means load or network. Then
        // only servers that answer all but nothing are ejected, and nobody once half of them fail.
        const bool panic = usual > kEjectRatio;
        const double proof = overloaded ? kDeadRatio : std::clamp(3 * usual, kEjectRatio, kDeadRatio);
        const auto ready = static_cast<double>(readyIn(fleet));
        for (auto& [key, h] : healths) {
            if (linkOf(key.first, fleet.at(key.second).entry.zone) < 1) h.seen = {};  // the link is to blame
            ejected[key.first] +=
                advance(h, proof, all.ratio(), !panic && ejected[key.first] + 1 <= kEjectMost * ready);
        }
    }

    // Slowness: weights move slowly towards equal answer times. Failed tries count as very slow answers, so
    // that a server that fails fast does not attract load.
    std::map<ServerId, Tally> paces;
    std::map<ServerId, double> shifts;
    std::map<ZoneId, double> leans;
    [[nodiscard]] double leanOf(ZoneId zone) const { return valueIn(leans, zone, 1); }
    Micros nextShift = 0;
    [[nodiscard]] double shiftOf(ServerId id) const {
        const double most = warm(fleet.at(id)) ? kShiftMost : 1;  // a cold one looks fast while idle
        return std::min(most, valueIn(shifts, id, 1));
    }
    void notePace(const ServerSums& r) {
        Tally& d = paces[r.server];
        d.fade(now, kPaceHalfLifeS);
        d.add(r, failedTime());
    }
    void shift() {
        if (now < nextShift) return;
        nextShift = now + kShiftEvery;
        Tally all;
        for (auto& [id, t] : paces) {
            t.fade(now, kPaceHalfLifeS);
            all.add(t);
        }
        const double usual = all.mean();
        if (usual <= 0) return;
        for (const auto& [id, d] : paces) {
            const double mine = (d.time + kShiftPrior * usual) / (d.tries + kShiftPrior);
            shifts[id] = std::clamp(std::pow(usual / mine, kShiftPower), kShiftLeast, kShiftMost);
        }
        // A whole zone has tries enough to learn from: where only some zones may take a class, the others
        // take more of what may go anywhere.
        if (groups.size() < 2) return;
        std::map<ZoneId, Tally> byZone;
        for (const auto& [id, t] : paces) byZone[fleet.at(id).entry.zone].add(t);
        for (const auto& [zone, t] : byZone) {
            if (t.tries < 2 * kFewTries) continue;
            double& lean = leans.try_emplace(zone, 1.0).first->second;
            lean = std::clamp(lean * std::pow(usual / t.mean(), kLean), kLeanLeast, kLeanMost);
        }
    }

    // A zone's own servers carry its requests while they have slack. The exception: where they are proven
    // hot, or nothing is proven yet, the zone's table also holds the other zones' lines.
    std::map<ZoneId, Spill> spills;
    std::map<std::pair<ZoneId, ZoneId>, double> flows;  // where lines are dear: by zones, from and to
    [[nodiscard]] double spillOf(ZoneId zone) const {
        const auto at = spills.find(zone);
        return at == spills.end() ? 1 : at->second.share;
    }
    // A share of the other zones' lines. Where lines are dear, some of the lines, as many as the excess
    // needs, so that connections stay few too; each at a part of its weight, for a server that carries a line
    // of its own zone and a whole one of another is asked for twice its share, and is the next to be hot.
    [[nodiscard]] double spillTo(const Server& s, ZoneId from, double before) const {
        if (!dear) return spillOf(from);
        const double mean = static_cast<double>(fleet.size()) / set.zones / columns.members.size();
        const double offset = std::floor(mean * from / set.zones);  // zones begin at different servers
        const double lines = mean * valueIn(flows, std::pair(from, s.entry.zone), 0) / kFlowWeight;
        const double place = std::fmod(before + offset, std::max(1.0, std::ceil(mean)));
        return kFlowWeight * std::clamp(lines - place, 0.0, 1.0);
    }
    void spread() {
        std::map<ZoneId, Tally> own;           // a zone's servers, whoever met them
        std::map<ZoneId, double> whole, lost;  // weight of its ready servers, of those not fit
        std::map<std::pair<ZoneId, ZoneId>, Tally> way;
        for (const auto& [id, s] : fleet) whole[s.entry.zone] += s.ready() ? s.weight() : 0;
        for (const auto& [key, h] : healths) {
            const Server& s = fleet.at(key.second);
            own[s.entry.zone].add(h.seen);
            way[{key.first, s.entry.zone}].add(h.seen);
            if (s.entry.zone == key.first && s.ready() && h.fit != Fit::ok) lost[key.first] += s.weight();
        }
        for (ZoneId z = 0; z < set.zones; ++z) {
            const bool troubled = lost[z] > kLostMost * whole[z];
            dear ? flow(z, way, troubled) : spill(z, own[z], troubled);
        }
    }
    void spill(ZoneId z, const Tally& own, bool troubled) {
        Spill& s = spills[z];
        const double time = own.mean();
        if (own.tries >= kFewTries && time > 0) s.base = s.base > 0 ? std::min(s.base, time) : time;
        const bool queueing = time > kQueueing * s.base;
        const bool hot = troubled || queueing || time > kHotTime * aim;
        const bool calm =
            !hot && own.tries >= kFewTries && time < kCoolTime * aim && time < kCalmOfBase * s.base;
        if (hot) s.share = 1;
        if (!calm || s.calmSince == 0) s.calmSince = now;
        if (now - s.calmSince < kCoolHold) return;
        s.share = s.share > kSpillLeast ? s.share / 2 : 0;
        s.calmSince = now;
    }
    // From a hot zone more goes to each other zone as far as it answers faster there; a slow or lossy way, or
    // a zone that is as hot, gets less again.
    void flow(ZoneId z, const std::map<std::pair<ZoneId, ZoneId>, Tally>& way, bool troubled) {
        const auto home = way.find({z, z});
        if (home == way.end() || home->second.tries < kFewTries) return;
        const double time = home->second.mean();
        const bool hot = troubled || time > kOverTime * aim;
        for (ZoneId to = 0; to < set.zones; ++to) {
            if (to == z) continue;
            const auto there = way.find({z, to});
            const bool known = there != way.end() && there->second.tries >= kFewTries;
            const double better = known ? kSpillGain * (time / there->second.mean() - 1) : 1;
            double& share = flows[{z, to}];
            const double gain = std::clamp(better, -1.0, hot ? 1.0 : 0.0);
            share = std::clamp(share + kSpillStep * (hot || gain < 0 ? gain : -kFlowBack), 0.0, 1.0);
        }
    }

    // ======== 7. Levels and retries ========
    // Levels are set only under proven overload: answers are slow on the whole and on half the servers.
    // Without them clients' repeats keep a fleet full of work that nobody waits for any more.
    Demands demands;
    double limit = 0;  // admitted tries a second over all our proxies; 0: no limit
    bool overloaded = false;

    void on(const ProxyDemand& d) {
        ++told;
        if (!proxies.count(d.proxy) || d.klass >= set.classes.size() || d.period <= 0) return;
        auto& mine = demands.rates[{d.proxy, d.klass}];
        const double rate = d.came * static_cast<double>(kSecond) / static_cast<double>(d.period);
        mine.rate += (mine.rate > 0 ? demandGain() : 1) * (rate - mine.rate);
        mine.at = now;
    }
    [[nodiscard]] double demandGain() const {  // a late sum speaks for all the periods that it covers
        return std::min(1.0, kDemandGain * static_cast<double>(cycle) / static_cast<double>(set.reportEvery));
    }
    // The limit is judged on windows of sums; after a change, sums of tries from before it are left out, lest
    // the same jam be answered over and over.
    std::map<std::pair<ZoneId, ServerId>, Tally> window;
    Micros windowFrom = 0;
    double proven = 0;  // good answers a second that the fleet has given us

    void noteWindow(const ServerSums& r) {
        if (now >= windowFrom) window[{r.fromZone, r.server}].add(r, failedTime());
    }
    void setLimit() {
        if (now < windowFrom + set.reportEvery + kWindowExtra) return;
        Tally all;
        std::vector<double> times;
        // Each sum covers a span of its own; where they come late, a window holds those of a part of the
        // servers.
        const double parts =
            std::max(1.0, static_cast<double>(cycle) / static_cast<double>(now - windowFrom));
        double admitted = 0, good = 0;  // a second
        for (const auto& [key, t] : window) {
            all.add(t);
            times.push_back(t.mean() / aim);
            admitted += parts * t.tries / std::max(t.seconds, kLeastSpanS);
            good += parts * (t.tries - t.failed) / std::max(t.seconds, kLeastSpanS);
        }
        window.clear();
        windowFrom = now;
        if (all.tries < kFewTries) return;
        // The median server counts beside the mean: a few that fail or hang are no overload.
        std::nth_element(times.begin(), times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2),
                         times.end());
        const double slow = all.mean() / aim, middle = times[times.size() / 2];
        proven = std::max(proven * kProvenFade, good);
        if (slow > kOverTime && middle > kOverTime) {
            overloaded = true;
            const double cut = std::clamp(kOverTime / slow, kCutLeast, kCutMost);
            limit = std::max(cut * (limit > 0 ? std::min(limit, admitted) : admitted), kLimitFloor * proven);
            windowFrom = now + cycle + kSecond;
        } else if (overloaded && slow < kEaseTime) {
            limit *= std::clamp(std::sqrt(kEaseTime / slow), kRaiseLeast, kRaiseMost);
            if (limit <= 0 || limit > kLiftAt * demands.total()) {
                overloaded = false;
                limit = 0;
            }
        }
    }
    // The share of each class let in: the least worth for its work (which grows with its aim) gives first.
    [[nodiscard]] std::vector<double> shares() const {
        const std::size_t n = set.classes.size();
        std::vector<double> load(n, 0), keep(n, 1);
        for (const auto& [key, d] : demands.rates) {
            load[key.second] += d.rate * static_cast<double>(set.classes[key.second].aim);
        }
        const double total = std::accumulate(load.begin(), load.end(), 0.0);
        const double came = demands.total();
        if (limit <= 0 || came <= 0) return keep;
        double excess = total * std::max(0.0, 1 - limit / came);
        std::vector<std::size_t> order(n);
        for (std::size_t c = 0; c < n; ++c) order[c] = c;
        std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
            return set.classes[a].worth / static_cast<double>(set.classes[a].aim) <
                   set.classes[b].worth / static_cast<double>(set.classes[b].aim);
        });
        for (const double floor : {kClassFloor, kClassLeast}) {
            for (const std::size_t c : order) {
                const double give = std::min(excess, load[c] * (keep[c] - floor));
                if (load[c] <= 0 || give <= 0) continue;
                keep[c] -= give / load[c];
                excess -= give;
            }
        }
        return keep;
    }
    // By class; the same in every table, so worked out once a turn.
    std::vector<Entry> levels;
    [[nodiscard]] std::vector<Entry> levelsNow() const {
        std::vector<Entry> out;
        const std::vector<double> keep = shares();
        for (std::size_t k = 0; k < set.classes.size(); ++k) {
            double level = kUnlimited;
            if (keep[k] < 1 && set.admission == Admission::share) level = stepped(keep[k]);
            if (keep[k] < 1 && set.admission == Admission::rate)
                level = std::min(kUnlimited, stepped(evenRate(demands.of(k), keep[k], kBurstS)));
            const auto mode = static_cast<std::uint8_t>(overloaded ? 0 : set.defaultRetry);
            out.push_back({static_cast<float>(level), mode});
        }
        return out;
    }

    // What is held back from outside, by zone and class: it lowers a level, and never raises one.
    std::map<std::pair<ZoneId, std::size_t>, double> ceilings;
    void on(const Ceiling& c) {
        if (c.klass >= set.classes.size() || !(c.share >= 0)) return;
        ceilings[{c.zone, c.klass}] = c.share;
        if (c.share >= 1) ceilings.erase({c.zone, c.klass});
    }
    [[nodiscard]] Entry under(Entry level, ZoneId zone, std::size_t k) const {
        const auto at = ceilings.find({zone, k});
        if (at == ceilings.end() || set.admission == Admission::none) return level;
        double most = at->second;
        if (set.admission == Admission::rate) {
            std::vector<double> rates;  // of this zone's proxies
            for (const auto& [id, p] : proxies) {
                const auto d = demands.rates.find({id, k});
                if (p.zone == zone && d != demands.rates.end()) rates.push_back(d->second.rate);
            }
            if (rates.empty()) return level;  // nothing comes
            most = evenRate(rates, at->second, kBurstS);
        }
        level.value = std::min(level.value, static_cast<float>(stepped(most)));
        return level;
    }

    // ======== 8. Joins and restart ========
    void on(const ProxyJoined& j) {
        on(ProxyLeft{j.proxy});
        rescale(j.usualRate);
        Proxy& p = proxies[j.proxy];
        p.zone = j.zone;
        p.rate = j.usualRate;
        joined.insert(j.proxy);
    }
    // A limit belongs to the proxies that it was judged on: those that come from a dead planner bring their
    // part of the load and of what the fleet has proven, those that leave take theirs along.
    void rescale(double rate) {
        double before = 0;
        for (const auto& [id, p] : proxies) before += p.rate;
        if (before <= 0) return;
        const double factor = std::max(0.0, before + rate) / before;
        limit *= factor;
        proven *= factor;
    }
    void on(const ProxyLeft& l) {
        const auto at = proxies.find(l.proxy);
        if (at == proxies.end()) return;
        for (const TableId t : at->second.tables) release(l.proxy, t);
        rescale(-at->second.rate);
        proxies.erase(at);
        joined.erase(l.proxy);
        demands.drop(l.proxy);
    }
    std::set<ProxyId> joined;  // and not bound yet
    // As many as the channel takes, the busiest first: until then they have their standing tables.
    void bindJoined() {
        if (joined.empty() || readyIn(fleet) == 0) return;  // what they hold is better than nothing
        std::vector<ProxyId> order(joined.begin(), joined.end());
        std::stable_sort(order.begin(), order.end(),
                         [&](ProxyId a, ProxyId b) { return proxies.at(a).rate > proxies.at(b).rate; });
        std::map<Place, std::set<ProxyId>> fresh;
        const double each = static_cast<double>(groups.size()) * tableLines() + set.envelopeLines + 1;
        double left = room(false);
        for (const ProxyId id : order) {
            if (left < each && (channel.waiting() > 0 || left < room(false))) break;
            left -= each;
            Proxy& p = proxies.at(id);
            p.column = columns.leastStrained(p.zone);
            columns.loads[{p.zone, p.column}] += p.rate;
            for (std::size_t g = 0; g < groups.size(); ++g) {
                fresh[{homeZone(id, p.zone, g), g, p.column}].insert(id);
            }
            joined.erase(id);
        }
        for (const auto& [place, ids] : fresh) bindFresh(ids, place, true);
    }
    void rebind() {
        for (auto& [id, p] : proxies) {
            for (std::size_t g = 0; g < p.tables.size(); ++g) {
                const Place home = {homeZone(id, p.zone, g), g, p.column};
                if (tables.at(p.tables[g]).zone == std::get<0>(home) || !mayWrite({id}, tableLines(), true))
                    continue;
                mains.count(home) ? bind(id, mains.at(home)) : bindFresh({id}, home, true);
            }
        }
    }

    // A large fleet is run as several small ones. Where sending all proxies their zone's table would take the
    // channel too long, each zone's servers are dealt into columns, and a proxy's table holds those of its
    // column: bounded tables, few connections a server, and changes that concern few proxies.
    Columns columns;
    [[nodiscard]] std::size_t columnsWanted() const {
        const double zone = static_cast<double>(fleet.size()) / std::max(1U, set.zones);
        const double most = std::max(1.0, zone / kColumnLeast);
        return static_cast<std::size_t>(std::clamp(std::round(tableCost(zone) / kColumnCost), 1.0, most));
    }
    // New servers go where least is; then at most one server a zone moves, from the column with most to spare
    // to the one most strained: a moved line costs far less than a moved proxy.
    void deal() {
        if (columns.members.empty() && !fleet.empty()) {
            columns.members.resize(columnsWanted());
            dear = columns.members.size() > 1 &&
                   tableCost(tableLines(fleet.size() / columns.members.size())) > kDearCost;
        }
        columns.powers.clear();
        for (auto& [id, s] : fleet) {
            s.base = s.ready() ? ramp(s) * shiftOf(id) * leanOf(s.entry.zone) : 0;
            const double power = s.weight() * s.base * health(s.entry.zone, id);
            if (s.column != kNoColumn) columns.powers[{s.entry.zone, s.column}] += power;
        }
        for (auto& [id, s] : fleet) {
            if (s.column != kNoColumn || !s.ready()) continue;
            columns.put(id, s, columns.weakest(s.entry.zone));
            columns.powers[{s.entry.zone, s.column}] += s.weight() * s.base;
        }
    }
    void even() {
        columns.loads.clear();
        for (const auto& [at, d] : demands.rates) {
            const Proxy& p = proxies.at(at.first);
            if (!p.tables.empty()) columns.loads[{p.zone, p.column}] += d.rate;
        }
        for (ZoneId z = 0; z < set.zones; ++z) {
            const std::size_t most = columns.mostStrained(z), least = columns.leastStrained(z);
            if (most == least || columns.strain(z, most) < kUneven * columns.strain(z)) continue;
            auto& from = columns.members[least];
            const auto gives = std::find_if(from.begin(), from.end(), [&](ServerId id) {
                const Server& s = fleet.at(id);
                return s.entry.zone == z && s.base > 0 && warm(s) && health(z, id) == 1;
            });
            if (gives == from.end()) continue;
            const ServerId moved = *gives;
            from.erase(gives);
            columns.put(moved, fleet.at(moved), most);
        }
    }

    // ======== Sites with slices ========
    // Slices stay where the store has them. One moves only when none of its servers is ready; where a slice
    // has one owner, the new one waits until a proxy that has lost us has stopped writing to the old one (the
    // lease) and what it had taken in is over (the settle time).
    std::map<TableId, Slice> slices;  // those in our charge

    void on(const SliceGiven& g) {
        slices.erase(g.slice);
        if (g.given) slices[g.slice].freeAt = ownerWait();
    }
    void on(const SliceLine& l) {
        const auto at = slices.find(l.slice);
        if (at != slices.end() && l.weight > 0) at->second.lines.insert(l.server);
    }
    [[nodiscard]] Micros ownerWait() const { return set.oneOwner ? now + set.writeLease + set.settle : now; }
    // The ready server with the fewest slices for its weight; cold ones only where no warm one is ready.
    [[nodiscard]] const ServerId* leastUsed() const {
        std::map<ServerId, double> used = usesOf(slices);
        const ServerId* best = nullptr;
        const auto cost = [&](ServerId id) {
            const Server& s = fleet.at(id);
            return std::pair(!warm(s), (used[id] + 1) / s.weight());
        };
        for (const auto& [id, s] : fleet) {
            if (s.ready() && (best == nullptr || cost(id) < cost(*best))) best = &id;
        }
        return best;
    }
    void runSlices() {
        std::set<ProxyId> all;
        for (const auto& [id, p] : proxies) all.insert(id);
        const auto tell = [&](TableId slice, ServerId server, float weight) {
            out.push_back(SetLine{slice, server, weight});
            for (const ProxyId p : all) write(p, 1);
            ordered = true;
        };
        for (auto& [id, slice] : slices) {
            if (!mayWrite(all, 2, true)) return;
            const bool served = std::any_of(slice.lines.begin(), slice.lines.end(), [&](ServerId s) {
                const auto at = fleet.find(s);
                return at != fleet.end() && at->second.ready();
            });
            if (served || fleet.empty()) continue;
            if (!slice.lines.empty()) {
                for (const ServerId s : slice.lines) tell(id, s, 0);
                slice.lines.clear();
                slice.freeAt = ownerWait();
            }
            const ServerId* next = now >= slice.freeAt ? leastUsed() : nullptr;
            if (next == nullptr) continue;
            tell(id, *next, 1);
            slice.lines.insert(*next);
        }
    }

    // ======== The turn ========
    Micros nextTick = 0;

    bool due = true;  // something came that may call for orders; else they wait for the tick
    void runTables() {
        levels = levelsNow();
        findOpen();
        deal();
        wanted.clear();
        bindJoined();
        rebind();
        for (auto& [id, t] : tables) push(id, t);
        releaseSilent();
        foldCopies();
    }
    void on(const auto& /*event*/) {}  // our timers only wake us; no decision needs the other events yet
    void turn(const std::vector<Event>& events) {
        if (turnNumber == 0) askForList();
        for (const Event& event : events) {
            due =
                due || std::holds_alternative<ListNews>(event) || std::holds_alternative<ProxyJoined>(event);
            std::visit([this](const auto& e) { on(e); }, event);
        }
        channel.drain(now, set.pushRate / kSlowChannel);
        openSlot();
        if (now >= nextTick) {
            timeSums();
            judge();
            noteAnswered();
            shift();
            setLimit();
            spread();
            if (columns.members.size() > 1) even();
            bury();
            due = true;
            nextTick = now + kTick;
            out.push_back(ArmTimer{kTick, 0});
        }
        if (due) {
            withdraw();
            set.shards > 0 ? runSlices() : runTables();
            due = false;
        }
        closeTurn();
    }
};

Planner::Planner(Settings settings) : state_(std::make_unique<State>(std::move(settings))) {}
Planner::~Planner() = default;
Planner::Planner(Planner&&) noexcept = default;
Planner& Planner::operator=(Planner&&) noexcept = default;

std::vector<Action> Planner::turn(Micros now, const std::vector<Event>& events) {
    state_->now = now;
    state_->out.clear();
    state_->turn(events);
    return std::move(state_->out);
}

}  // namespace marldale
