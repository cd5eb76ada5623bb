// A deployment's replicas in one process: virtual time, links, disks, clients, and a plan of troubles, all
// from one seed. What must hold is checked from outside, by what clients and disks see; a broken rule throws
// `Broken`.
#pragma once

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "bytes/mix.h"
#include "gateway/raft/replica.h"

namespace marldale::raft::world {

struct Broken : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Random {
    std::uint64_t state;
    std::uint64_t draw() { return bytes::mixed(state += 0x9e3779b97f4a7c15ULL); }
    std::uint64_t below(std::uint64_t n) { return draw() % n; }
    Micros between(Micros least, Micros most) {
        return least + static_cast<Micros>(below(static_cast<std::uint64_t>(most - least + 1)));
    }
    bool chance(double p) { return static_cast<double>(draw() >> 11U) * 0x1p-53 < p; }
};

inline constexpr Micros kMs = 1000, kSecond = 1000000;

struct Plan {
    std::uint64_t seed = 1;
    Faults faults;
    bool wipedKeepsNumber = false;  // a machine that lost its disk says it is the seed it was
    Micros troubles = 18 * kSecond;
    Micros calm = 9 * kSecond;
    std::size_t machines = 0;  // 0: drawn
    bool wild = false;         // losses beyond what is promised, as far as no majority's disks are gone
    bool replacements =
        false;  // machines are replaced, wiped, leave and return, each right after the one before
    std::uint64_t splits = 6;  // percent of the troubles in the wild: two leaders, see `splitLeaders`
};

struct Figures {
    std::uint64_t acknowledged = 0, refused = 0, unclear = 0, reads = 0, messages = 0, writes = 0,
                  elections = 0;
    std::uint64_t wipes = 0, kills = 0, powerLosses = 0, installs = 0, changes = 0;
    std::uint64_t steps = 0;            // of plans with replacements
    std::uint64_t changesInMinute = 0;  // of members, the most
    Micros slowestVote = 0;             // from a successor's start until it votes or isn't needed
    Micros calmToAck = 0;               // the longest from calm to the first acknowledgement
    Micros calmToAll = 0;               // and to all machines having applied it
    void add(const Figures& o) {
        acknowledged += o.acknowledged, refused += o.refused, unclear += o.unclear, reads += o.reads;
        messages += o.messages, writes += o.writes, elections += o.elections, wipes += o.wipes,
            kills += o.kills;
        powerLosses += o.powerLosses, installs += o.installs, changes += o.changes;
        steps += o.steps;
        changesInMinute = std::max(changesInMinute, o.changesInMinute);
        slowestVote = std::max(slowestVote, o.slowestVote);
        calmToAck = std::max(calmToAck, o.calmToAck);
        calmToAll = std::max(calmToAll, o.calmToAll);
    }
};

class World {
public:
    explicit World(Plan plan) : plan_(plan), random_{bytes::mixed(plan.seed)} {
        setInvariantHandler([](const char* sentence) { throw Broken(sentence); });
        static constexpr std::size_t kSizes[] = {1, 2, 3, 3, 3, 3, 3, 4, 4, 4, 4, 4, 5, 5, 5, 5, 6, 7, 7, 7};
        size_ = plan.machines != 0 ? plan.machines : kSizes[random_.below(std::size(kSizes))];
        survive_ = size_ < 3 ? 0 : size_ < 7 ? 1 : 2;
        bounded_ = (random_.chance(0.5) && !plan.wild) || plan.replacements;
        rough_ = !bounded_ && random_.chance(0.2);
        compactEvery_ = 5 + random_.below(80);
        settings_.faults = plan.faults;
        settings_.catchUp = random_.chance(0.5) ? 4 * kSecond : 6 * kSecond;
        if (plan.seed % 2 == 0) settings_.snapshotTransfer.chunkBytes = 16 + plan.seed % 64;
        if (random_.chance(0.3)) settings_.batchBytes = 1 + random_.below(400);
        thrift_ = random_.chance(0.6) ? 4 : 1;
        pace_ = random_.between(300 * kMs, 2500 * kMs);
        const bool turnovers = size_ >= 3 && random_.chance(0.25);
        const std::size_t spare = plan.replacements ? kSpares : turnovers ? 2 : 0;
        const std::size_t zones = random_.chance(0.7) ? (size_ < 3 ? 1 : size_ < 7 ? 3 : 4) : 0;
        machines_.resize(size_ + spare);
        links_.resize(machines_.size() * machines_.size());
        for (std::size_t k = 0; k < machines_.size(); ++k) {
            auto& m = machines_[k];
            m.address = "m" + std::to_string(k);
            m.zone = zones == 0 ? "" : "zone" + std::to_string(k % zones);
            m.disk.self.set_address(m.address);
            if (k < std::min<std::size_t>(3, size_)) {
                settings_.seeds.push_back(m.address);
            } else {
                m.disk.self.set_number(number());
            }
            m.syncTime = random_.chance(0.15)  ? random_.between(5 * kMs, 100 * kMs)
                         : random_.chance(0.5) ? 500
                                               : 2000;
        }
        for (std::size_t k = 0; k < size_; ++k) {
            machines_[k].there = true;
            at(random_.between(0, 500 * kMs), Kind::start, k);
        }
    }

    // One history. Throws `Broken`.
    Figures run() {
        const Micros quiet = 6 * kSecond;  // to form
        calmAt_ = quiet + plan_.troubles;
        at(kSecond, Kind::client, 0);
        at(kSecond, Kind::reader, 0);
        at(quiet, Kind::trouble, 0);
        at(calmAt_, Kind::calm, 0);
        const Micros end = calmAt_ + plan_.calm;
        while (!events_.empty() && events_.top().when <= end) {
            expect(figures_.messages < 2000000, "a storm of messages");
            const Event e = events_.top();
            events_.pop();
            now_ = e.when;
            handle(e);
        }
        now_ = end;
        finish();
        return figures_;
    }

    [[nodiscard]] std::string about() const {
        return "seed " + std::to_string(plan_.seed) + ", " + std::to_string(size_) + " machines, " +
               (bounded_ ? "losses as promised"
                : rough_ ? "wild, datagrams"
                         : "wild") +
               ", at " + std::to_string(now_) + " us";
    }

private:
    enum class Kind {
        start,
        tick,
        turn,
        deliver,
        diskDone,
        client,
        reader,
        trouble,
        calm,
        kill,
        thaw,
        all,
        leave,
        stop,
        flap
    };
    struct Event {
        Micros when;
        std::uint64_t order;
        Kind kind;
        std::size_t machine;
        std::uint64_t incarnation;  // of the machine, if it matters
        std::uint64_t link, epoch, slot;
        bool operator<(const Event& o) const { return when != o.when ? when > o.when : order > o.order; }
    };
    struct Link {
        Micros cutUntil = 0;
        bool holdsUp = false;  // what is sent over a cut comes later; otherwise it is lost
        Micros lastAt = 0;
        Micros slow = 0;
        Micros slowUntil = 0;
        std::uint64_t epoch = 0;
    };
    struct Proposal {
        Term term;
        std::uint64_t id;
    };
    struct Machine {
        std::string address, zone;
        bool there = false, up = false;
        std::uint64_t incarnation = 0;
        PersistentState disk;
        std::unique_ptr<Replica> replica;
        Index applied = 0;
        std::uint64_t version = 0;
        std::map<Index, Proposal> proposals;
        std::map<std::uint64_t, Index> reads;  // by ticket: what was acknowledged when it was asked
        std::vector<Write> writing;
        Micros syncTime = 500;
        Micros fullUntil = 0, stallUntil = 0, frozenUntil = 0;
        Micros tickAt = -1, turnAt = -1;
        Micros lostUntil = 0;
        Micros startedAt = 0;
        bool replaced = false;  // started with an empty disk, and not seen to vote yet
        bool wipeAtAck = false, killAtAck = false;
    };

    Plan plan_;
    Random random_;
    Settings settings_;
    std::size_t size_ = 0, survive_ = 0, turnovers_ = 0;
    bool tracing_ = std::getenv("MARLDALE_RAFT_TRACE") != nullptr;
    bool bounded_ = false, rough_ = false, isCalm_ = false;
    std::uint64_t compactEvery_ = 50;
    Micros thrift_ = 1;  // of clients
    bool closeAtAck_ = false, closeAtElection_ = false;
    enum class Split { no, armed, cut } split_ = Split::no;  // see `splitLeaders`
    std::size_t splitOld_ = 0, splitNew_ = 0;
    Micros pace_ = kSecond;
    Micros now_ = 0, calmAt_ = 0;
    std::uint64_t order_ = 0, lastId_ = 0, lastTicket_ = 0;
    std::priority_queue<Event> events_;
    std::vector<Machine> machines_;
    std::vector<Link> links_;
    std::vector<proto::RaftMessage> slots_;
    std::vector<std::size_t> freeSlots_;
    Figures figures_;

    // What is known from outside.
    struct Applied {
        std::uint64_t hash, version;
    };
    std::vector<Applied> truth_{{0, 0}};               // by index
    std::map<std::uint64_t, std::uint64_t> ackedIds_;  // by version
    std::vector<std::pair<Micros, Index>> acked_;      // times and highest indexes, both rising
    std::map<Term, proto::Member> leaders_;
    std::set<std::pair<std::string, std::uint64_t>> dead_;  // identities whose disk is gone
    Micros troubledAt_ = 0;                                 // when troubles last began or ended
    std::optional<Micros> firstCalmAck_;
    Index firstCalmIndex_ = 0;
    std::optional<Micros> allCalm_;
    std::vector<Micros> changeTimes_;  // of members, in the last minute

    static void expect(bool holds, const std::string& sentence) {
        if (!holds) throw Broken(sentence);
    }
    std::uint64_t number() {
        std::uint64_t n = 0;
        while (n == 0) n = random_.draw();
        return n;
    }
    void at(Micros when, Kind kind, std::size_t machine, std::uint64_t link = 0, std::uint64_t epoch = 0,
            std::uint64_t slot = 0) {
        events_.push({std::max(when, now_), ++order_, kind, machine, machines_[machine].incarnation, link,
                      epoch, slot});
    }
    Link& link(std::size_t from, std::size_t to) { return links_[from * machines_.size() + to]; }
    std::size_t indexOf(const std::string& address) const { return std::stoul(address.substr(1)); }

    void handle(const Event& e) {
        auto& m = machines_[e.machine];
        const bool ofProcess = e.kind == Kind::tick || e.kind == Kind::turn || e.kind == Kind::diskDone;
        if (ofProcess && (e.incarnation != m.incarnation || !m.up)) return;
        if ((ofProcess || e.kind == Kind::deliver) && m.up && now_ < m.frozenUntil) {
            Event later = e;
            later.when = m.frozenUntil;
            later.order = ++order_;
            if (e.kind == Kind::tick && m.tickAt == e.when) m.tickAt = later.when;
            if (e.kind == Kind::turn && m.turnAt == e.when) m.turnAt = later.when;
            events_.push(later);
            return;
        }
        switch (e.kind) {
            case Kind::start: return start(e.machine);
            case Kind::tick:
                if (m.tickAt != e.when) return;
                m.tickAt = -1;
                m.replica->tick(now_);
                return turn(e.machine);
            case Kind::turn: m.turnAt = -1; return turn(e.machine);
            case Kind::deliver: return deliver(e);
            case Kind::diskDone: return diskDone(e.machine, e.slot);
            case Kind::client: return client();
            case Kind::reader: return reader();
            case Kind::trouble: return trouble();
            case Kind::calm: return calm();
            case Kind::kill:
                if (e.incarnation == m.incarnation && m.up && !isCalm_) kill(e.machine, false);
                return;
            case Kind::all:
                if (!isCalm_) all();
                return;
            case Kind::thaw: troubledAt_ = now_; return;
            case Kind::leave: return leave(e.machine, e.slot != 0);
            case Kind::stop: return stop(e.machine, e.link, e.slot != 0, e.incarnation);
            case Kind::flap: return flap(e.machine, e.slot);
        }
    }

    void trace(std::size_t k, const std::string& what) const {
        if (!tracing_) return;
        const auto& m = machines_[k];
        std::fprintf(stderr, "%9.4f m%zu %s", static_cast<double>(now_) * 1e-6, k, what.c_str());
        if (m.up)
            std::fprintf(stderr, "  [%s term %lu commit %lu]", m.replica->leads() ? "leads" : "",
                         m.replica->term(), m.replica->committed());
        std::fprintf(stderr, "\n");
    }
    static std::string told(const proto::RaftMessage& m) {
        static constexpr const char* kNames[] = {"PRE_VOTE", "PRE_VOTE_ANSWER", "VOTE",    "VOTE_ANSWER",
                                                 "APPEND",   "APPEND_ANSWER",   "INSTALL", "INSTALL_ANSWER",
                                                 "JOIN",     "HAND_OVER"};
        return std::string(kNames[m.kind()]) + " " + m.from().address() + "/" +
               std::to_string(m.from().number() % 1000) + ">" + m.to().address() + "/" +
               std::to_string(m.to().number() % 1000) + " term " + std::to_string(m.term()) + " last " +
               std::to_string(m.last_index()) + "/" + std::to_string(m.last_term()) + " entries " +
               std::to_string(m.entries_size()) + " commit " + std::to_string(m.commit()) +
               (m.granted() ? " yes" : "") + " match " + std::to_string(m.match()) + " round " +
               std::to_string(m.round()) +
               (m.has_chunk() ? " chunk of " + std::to_string(m.chunk().identity().index()) + " at " +
                                    std::to_string(m.chunk().offset())
                              : "");
    }

    // ---- processes ----
    void start(std::size_t k) {
        auto& m = machines_[k];
        if (m.up || !m.there) return;
        troubledAt_ = now_;
        ++m.incarnation;
        m.up = true;
        m.frozenUntil = 0;
        auto settings = settings_;
        settings.seed = random_.draw();
        auto stored = m.disk;
        stored.self.set_zone(m.zone);
        m.startedAt = now_;
        m.replica = std::make_unique<Replica>(settings, std::move(stored), now_);
        std::vector<std::string> contacts;
        for (std::size_t o = 0; o < machines_.size(); ++o)
            if (o != k && machines_[o].there) contacts.push_back(machines_[o].address);
        m.replica->contacts(contacts);
        trace(k, "starts");
        m.applied = 0;
        m.version = 0;
        m.tickAt = m.turnAt = -1;
        soon(k);
    }
    // The process ends; with power lost, what is on its way from it may be lost as well.
    void kill(std::size_t k, bool power) {
        auto& m = machines_[k];
        if (!m.up) return;
        troubledAt_ = now_;
        trace(k, power ? "loses power" : "is killed");
        ++(power ? figures_.powerLosses : figures_.kills);
        m.up = false;
        ++m.incarnation;
        m.replica.reset();
        figures_.unclear += m.proposals.size();
        m.proposals.clear();
        m.reads.clear();
        // One write is under way: all of it is there, or nothing.
        if (!m.writing.empty() && random_.chance(0.5)) put(m.disk, m.writing.front());
        m.writing.clear();
        m.stallUntil = 0;
        const bool lose = random_.chance(power ? 0.8 : 0.2);
        for (std::size_t o = 0; o < machines_.size(); ++o) {
            ++link(o, k).epoch;
            if (lose) ++link(k, o).epoch;
        }
    }
    void wipe(std::size_t k) {
        auto& m = machines_[k];
        kill(k, true);
        ++figures_.wipes;
        const bool keeps = plan_.wipedKeepsNumber && m.disk.self.number() == 0;
        if (!keeps) dead_.insert({m.address, m.disk.self.number()});
        m.disk = {};
        m.disk.self.set_address(m.address);
        m.disk.self.set_number(keeps ? 0 : number());
    }
    static void put(PersistentState& disk, const Write& w) {
        if (w.hasHardState) {
            expect(w.term >= disk.term, "a term on disk goes back");
            expect(w.term > disk.term || !disk.votedFor ||
                       (w.votedFor && w.votedFor->SerializeAsString() == disk.votedFor->SerializeAsString()),
                   "a vote on disk changes");
            disk.term = w.term;
            disk.votedFor = w.votedFor;
        }
        auto& entries = disk.entries;
        if (w.truncateFrom)
            while (!entries.empty() && entries.back().index() >= *w.truncateFrom) entries.pop_back();
        if (w.snapshot) {
            const auto keep = std::find_if(entries.begin(), entries.end(),
                                           [&](const auto& e) { return e.index() > w.snapshot->index(); });
            entries.erase(entries.begin(), keep);
            disk.snapshot = *w.snapshot;
        }
        for (const auto& e : w.entries) {
            const Index last = entries.empty() ? disk.snapshot.index() : entries.back().index();
            expect(e.index() == last + 1, "a write leaves a gap on disk");
            entries.push_back(e);
        }
        expect(entries.empty() || entries.front().index() == disk.snapshot.index() + 1,
               "a gap behind a snapshot on disk");
    }
    void soon(std::size_t k) {
        auto& m = machines_[k];
        if (m.turnAt >= 0) return;
        m.turnAt = now_ + random_.between(0, 300);
        at(m.turnAt, Kind::turn, k);
    }
    void turn(std::size_t k) {
        auto& m = machines_[k];
        Ready ready = m.replica->take();
        for (auto& message : ready.messages) send(k, std::move(message));
        for (auto& w : ready.writes) {
            ++figures_.writes;
            m.writing.push_back(std::move(w));
            if (m.writing.size() == 1) beginWrite(k);
        }
        if (ready.install) install(m, *ready.install);
        for (const auto& e : ready.committed) apply(k, e);
        if (!m.up) return;  // killed as it acknowledged
        for (const auto& r : ready.reads) {
            const auto asked = m.reads.find(r.ticket);
            expect(asked != m.reads.end(), "a read ends twice");
            if (r.confirmed) {
                ++figures_.reads;
                expect(r.index >= asked->second, "a read is older than what was acknowledged before it");
                expect(m.applied >= r.index, "a read is of what isn't applied yet");
            }
            m.reads.erase(asked);
        }
        if (m.replica->leads()) {
            const auto [where, fresh] = leaders_.try_emplace(m.replica->term(), m.replica->self());
            if (fresh) ++figures_.elections;
            if (fresh && split_ == Split::cut && k == splitNew_) splitWipe();
            if (fresh && std::exchange(closeAtElection_, false))
                at(now_ + random_.between(0, 2 * m.syncTime), Kind::all, k);
            expect(fresh || where->second.SerializeAsString() == m.replica->self().SerializeAsString(),
                   "two lead in one term");
        }
        const Micros age = m.replica->quorumContactAge(now_);
        if (age >= 0) expect(m.applied >= ackedBy(now_ - age), "a replica is sure of what it hasn't heard");
        if (m.applied >= m.disk.snapshot.index() + compactEvery_ && m.applied > 0 && random_.chance(0.3)) {
            const Index through = m.applied;
            m.replica->compact(now_, through, std::to_string(m.version));
            soon(k);
        }
        const Micros due = m.replica->nextDue();
        if (due < std::numeric_limits<Micros>::max() && (m.tickAt < 0 || due < m.tickAt)) {
            m.tickAt = std::max(due, now_ + 1) + random_.between(0, 2000);
            at(m.tickAt, Kind::tick, k);
        }
        if (isCalm_ && firstCalmAck_ && !allCalm_ &&
            std::all_of(machines_.begin(), machines_.end(),
                        [&](const Machine& o) { return !o.there || o.applied >= firstCalmIndex_; })) {
            allCalm_ = now_;
            figures_.calmToAll = now_ - calmAt_;
        }
    }

    // ---- state machine ----
    void install(Machine& m, const proto::Snapshot& s) {
        ++figures_.installs;
        expect(s.index() < truth_.size(), "a snapshot of what nobody has applied");
        m.applied = s.index();
        m.version = std::stoull(s.data());
        expect(truth_[s.index()].version == m.version, "a snapshot differs from what was applied");
    }
    void apply(std::size_t k, const proto::Entry& e) {
        auto& m = machines_[k];
        expect(e.index() == m.applied + 1, "what is applied has a gap");
        bool accepted = false;
        std::uint64_t id = 0;
        if (e.kind() == proto::Entry::CHANGE) {
            const auto comma = e.data().find(',');
            id = std::stoull(e.data());
            accepted = std::stoull(e.data().substr(comma + 1)) == m.version;
            if (accepted) ++m.version;
        }
        if (e.kind() == proto::Entry::MEMBERS) ++figures_.changes;
        if (e.index() == truth_.size() && e.kind() == proto::Entry::MEMBERS) noteChange();
        m.applied = e.index();
        const std::uint64_t hash = bytes::mixed(e.term() * 31 + id) ^ static_cast<std::uint64_t>(e.kind());
        if (e.index() == truth_.size()) truth_.push_back({hash, m.version});
        expect(truth_[e.index()].hash == hash && truth_[e.index()].version == m.version,
               "two machines have applied different entries");
        const auto mine = m.proposals.find(e.index());
        if (mine == m.proposals.end()) return;
        const Proposal p = mine->second;
        m.proposals.erase(mine);
        if (p.term != e.term()) {
            ++figures_.unclear;
            return;
        }
        if (!accepted) {
            ++figures_.refused;
            return;
        }
        ++figures_.acknowledged;
        const auto [where, fresh] = ackedIds_.try_emplace(m.version, p.id);
        expect(fresh || where->second == p.id, "two changes on one version are both acknowledged");
        acked_.emplace_back(now_, std::max(e.index(), acked_.empty() ? 0 : acked_.back().second));
        if (isCalm_ && !firstCalmAck_) {
            firstCalmAck_ = now_;
            firstCalmIndex_ = e.index();
            figures_.calmToAck = now_ - calmAt_;
        }
        if (std::exchange(closeAtAck_, false)) {
            all();
        } else if (std::exchange(m.wipeAtAck, false) && mayWipe(k)) {
            wipe(k);
            later(k, 500 * kMs, 4 * kSecond);
        } else if (std::exchange(m.killAtAck, false)) {
            kill(k, random_.chance(0.7));
            later(k, 200 * kMs, 2 * kSecond);
        }
    }
    // The highest index that was acknowledged by then.
    [[nodiscard]] Index ackedBy(Micros when) const {
        const auto after = std::upper_bound(acked_.begin(), acked_.end(), when,
                                            [](Micros w, const auto& a) { return w < a.first; });
        return after == acked_.begin() ? 0 : std::prev(after)->second;
    }

    // ---- links ----
    void send(std::size_t from, proto::RaftMessage message) {
        if (!machines_[from].up) return;
        const std::size_t to = indexOf(message.to().address());
        if (to == from || !machines_[to].there) return;
        ++figures_.messages;
        if (tracing_) trace(from, "says  " + told(message));
        if (split_ == Split::armed && message.kind() == proto::RaftMessage::HAND_OVER) splitAt(from, to);
        auto& l = link(from, to);
        if (now_ < l.cutUntil && !l.holdsUp) return;
        if (rough_ && !isCalm_ && random_.chance(0.03)) return;
        Micros when = std::max(now_, l.holdsUp ? l.cutUntil : 0) + random_.between(700, 1600);
        if (now_ < l.slowUntil) when += l.slow + random_.between(0, l.slow / 4);
        if (rough_ && !isCalm_) {
            when += random_.between(0, random_.chance(0.1) ? 300 * kMs : 5 * kMs);
        } else {
            when = l.lastAt = std::max(when, l.lastAt + 1);
        }
        if (rough_ && !isCalm_ && random_.chance(0.03))
            post(when + random_.between(0, 200 * kMs), from, to, message);
        post(when, from, to, std::move(message));
    }
    void post(Micros when, std::size_t from, std::size_t to, proto::RaftMessage message) {
        std::size_t slot = slots_.size();
        if (freeSlots_.empty()) {
            slots_.emplace_back();
        } else {
            slot = freeSlots_.back();
            freeSlots_.pop_back();
        }
        slots_[slot] = std::move(message);
        at(when, Kind::deliver, to, from * machines_.size() + to, links_[from * machines_.size() + to].epoch,
           slot);
    }
    void deliver(const Event& e) {
        auto& l = links_[e.link];
        if (e.epoch == l.epoch && now_ < l.cutUntil) {  // the cut came while it was under way
            Event later = e;
            later.when = l.cutUntil + 1;
            later.order = ++order_;
            l.lastAt = std::max(l.lastAt, later.when);
            events_.push(later);
            return;
        }
        const auto message = std::move(slots_[e.slot]);
        freeSlots_.push_back(e.slot);
        auto& m = machines_[e.machine];
        if (e.epoch != l.epoch || !m.up) return;
        if (tracing_) trace(e.machine, "hears " + told(message));
        m.replica->receive(now_, message);
        soon(e.machine);
    }
    void cut(std::size_t from, std::size_t to, Micros until, bool holdsUp) {
        auto& l = link(from, to);
        l.cutUntil = std::max(l.cutUntil, until);
        l.holdsUp = holdsUp;
        if (!holdsUp) ++l.epoch;
    }

    // ---- disks ----
    void beginWrite(std::size_t k) {
        auto& m = machines_[k];
        at(std::max(now_, m.stallUntil) + m.syncTime / 2 + random_.between(0, m.syncTime), Kind::diskDone, k,
           0, 0, m.writing.front().number);
    }
    void diskDone(std::size_t k, std::uint64_t write) {
        auto& m = machines_[k];
        if (m.writing.empty() || m.writing.front().number != write) return;
        if (now_ < m.stallUntil || now_ < m.fullUntil) {
            at(std::max(m.stallUntil, now_ + 50 * kMs), Kind::diskDone, k, 0, 0, write);
            return;
        }
        put(m.disk, m.writing.front());
        const auto done = m.writing.front().number;
        m.writing.erase(m.writing.begin());
        m.replica->persisted(now_, done);
        if (!m.writing.empty()) beginWrite(k);
        soon(k);
    }

    // ---- clients ----
    std::optional<std::size_t> aLeader() {
        std::vector<std::size_t> all;
        for (std::size_t k = 0; k < machines_.size(); ++k)
            if (machines_[k].up && now_ >= machines_[k].frozenUntil && machines_[k].replica->leads())
                all.push_back(k);
        if (all.empty()) return std::nullopt;
        return all[random_.below(all.size())];
    }
    void client() {
        at(now_ + (random_.chance(0.2) ? random_.between(0, kMs)
                                       : random_.between(30 * kMs, 150 * kMs) * thrift_),
           Kind::client, 0);
        checkProgress();
        expectSuccessorsVote();
        const auto k = aLeader();
        if (!k) return;
        auto& m = machines_[*k];
        const std::uint64_t builtOn = random_.chance(0.9) ? m.version : random_.below(m.version + 2);
        const std::uint64_t id = ++lastId_;
        const Term term = m.replica->term();
        if (const auto index = m.replica->propose(now_, std::to_string(id) + "," + std::to_string(builtOn)))
            m.proposals[*index] = {term, id};
        soon(*k);
    }
    void reader() {
        at(now_ + random_.between(20 * kMs, 200 * kMs) * thrift_, Kind::reader, 0);
        auto k = aLeader();
        if (!k || random_.chance(0.05)) k = random_.below(machines_.size());
        auto& m = machines_[*k];
        if (!m.up) return;
        m.reads[++lastTicket_] = acked_.empty() ? 0 : acked_.back().second;
        m.replica->read(now_, lastTicket_);
        soon(*k);
    }

    // ---- troubles ----
    [[nodiscard]] std::size_t lost(std::size_t but) const {
        std::size_t n = 0;
        for (std::size_t k = 0; k < machines_.size(); ++k)
            n += k != but && machines_[k].lostUntil > now_ ? 1 : 0;
        return n;
    }
    void lose(std::size_t k, Micros until) {
        machines_[k].lostUntil = std::max(machines_[k].lostUntil, until + settings_.catchUp);
        troubledAt_ = now_;
        at(until, Kind::thaw, k);
    }
    void later(std::size_t k, Micros least, Micros most) {
        const Micros back = now_ + random_.between(least, most);
        lose(k, back);
        at(back, Kind::start, k);
    }
    // With losses as promised, the plan of losses tells. In the wild, a disk may go as long as every set of
    // members that anyone knows keeps a majority of disks.
    [[nodiscard]] bool mayWipe(std::size_t k) const {
        const auto& m = machines_[k];
        if (survive_ == 0) return false;
        if (bounded_) return lost(k) < survive_;
        const auto fits = [&](const proto::Members& all) {
            int gone = 0;
            for (const auto& v : all.voters())
                gone += dead_.count({v.address(), v.number()}) != 0 ||
                                (v.address() == m.address && v.number() == m.disk.self.number())
                            ? 1
                            : 0;
            return gone <= (all.voters_size() - 1) / 2;
        };
        const auto all = [&](const std::vector<proto::Entry>& entries) {
            const proto::Entry* newest = nullptr;
            for (const auto& e : entries)
                if (e.has_members()) newest = &e;
            return newest == nullptr || (fits(newest->members()) && fits(newest->outgoing()));
        };
        return std::all_of(machines_.begin(), machines_.end(), [&](const Machine& o) {
            return fits(o.disk.snapshot.members()) && all(o.disk.entries) &&
                   (!o.up || fits(o.replica->members())) &&
                   std::all_of(o.writing.begin(), o.writing.end(),
                               [&](const Write& w) { return all(w.entries); });
        });
    }
    void trouble() {
        if (isCalm_) return;
        if (plan_.replacements) return replacementStep();
        at(now_ + random_.between(pace_ / 4, pace_ * 2), Kind::trouble, 0);
        std::vector<std::size_t> there;
        for (std::size_t k = 0; k < machines_.size(); ++k)
            if (machines_[k].there) there.push_back(k);
        const auto whole = random_.below(100);
        if (whole < 4) return all();
        if (whole < 7) {
            closeAtAck_ = true;
            return;
        }
        if (whole < 10) {
            closeAtElection_ = true;
            if (const auto l = aLeader(); l && random_.chance(0.5))
                machines_[*l].replica->transferLeadership(now_), soon(*l);
            return;
        }
        if (!bounded_ && whole < 10 + plan_.splits) return splitLeaders();
        if (!bounded_ && whole < 18 + plan_.splits) {  // cut in two
            const Micros until = now_ + random_.between(300 * kMs, 5 * kSecond);
            const bool holdsUp = random_.chance(0.3);
            std::vector<bool> side(machines_.size());
            for (std::size_t k = 0; k < side.size(); ++k) side[k] = random_.chance(0.5);
            for (const auto a : there)
                for (const auto b : there)
                    if (side[a] != side[b]) cut(a, b, until, holdsUp);
            return;
        }
        const std::size_t k = there[random_.below(there.size())];
        // Leaders are the more interesting ones.
        const auto leading = aLeader();
        const std::size_t target = leading && random_.chance(0.35) ? *leading : k;
        if (bounded_ && lost(target) >= survive_) return;
        one(target);
    }
    // All at once; their disks stay, but for as many as may be lost.
    void all() {
        std::vector<std::size_t> order;
        for (std::size_t k = 0; k < machines_.size(); ++k)
            if (machines_[k].there) order.push_back(k);
        const bool power = random_.chance(0.6);
        std::size_t wipes = random_.chance(0.5) && (!bounded_ || lost(machines_.size()) == 0) ? survive_ : 0;
        for (std::size_t k = order.size(); k > 1; --k) std::swap(order[k - 1], order[random_.below(k)]);
        for (const auto k : order) {
            if (wipes > 0 && (bounded_ || mayWipe(k))) {
                --wipes;
                wipe(k);
            } else {
                kill(k, power);
            }
        }
        for (const auto k : order) later(k, 300 * kMs, bounded_ ? kSecond : 2 * kSecond);
    }
    // The leader hands over, the new one can't tell the old one, and a voter loses its disk right after its
    // vote: its new self may come to the old leader first.
    void splitLeaders() {
        const auto l = aLeader();
        if (!l) return;
        split_ = Split::armed;
        machines_[*l].replica->transferLeadership(now_);
        soon(*l);
    }
    void splitAt(std::size_t from, std::size_t to) {
        split_ = Split::cut;
        splitOld_ = from;
        splitNew_ = to;
        cut(to, from, now_ + random_.between(500 * kMs, 1500 * kMs), false);
    }
    void splitWipe() {
        split_ = Split::no;
        for (std::size_t k = 0; k < machines_.size(); ++k) {
            if (k == splitOld_ || k == splitNew_ || !machines_[k].up || !mayWipe(k)) continue;
            wipe(k);
            later(k, 20 * kMs, 200 * kMs);
            const Micros until = now_ + random_.between(300 * kMs, 1500 * kMs);
            cut(splitNew_, k, until, false);
            cut(k, splitNew_, until, false);
            return;
        }
    }
    void one(std::size_t k) {
        auto& m = machines_[k];
        const Micros span = random_.chance(0.3) ? random_.between(10 * kMs, 300 * kMs)
                                                : random_.between(300 * kMs, 5 * kSecond);
        const Micros until = now_ + span;
        const auto what = random_.below(16);
        trace(k, "trouble " + std::to_string(what) + " for " + std::to_string(span));
        switch (what) {
            case 0: kill(k, false); return later(k, 100 * kMs, 3 * kSecond);
            case 1: kill(k, true); return later(k, 300 * kMs, 4 * kSecond);
            case 2:
            case 3:
                if (!mayWipe(k)) return;
                wipe(k);
                return later(k, 200 * kMs, 5 * kSecond);
            case 4: m.wipeAtAck = true; return;
            case 5: m.killAtAck = true; return;
            case 6: m.frozenUntil = until; return lose(k, until);
            case 7: m.stallUntil = until; return lose(k, until);
            case 8: m.fullUntil = until; return lose(k, until);
            case 9: {  // cut off
                const bool holdsUp = random_.chance(0.4);
                for (std::size_t o = 0; o < machines_.size(); ++o) {
                    cut(k, o, until, holdsUp);
                    cut(o, k, until, holdsUp);
                }
                return lose(k, until);
            }
            case 10:
            case 11: {  // one way only
                const bool out = random_.chance(0.5);
                const bool holdsUp = random_.chance(0.4);
                for (std::size_t o = 0; o < machines_.size(); ++o)
                    out ? cut(k, o, until, holdsUp) : cut(o, k, until, holdsUp);
                return lose(k, until);
            }
            case 12: {  // from some only
                const bool holdsUp = random_.chance(0.4);
                for (std::size_t o = 0; o < machines_.size(); ++o) {
                    if (random_.chance(0.5)) continue;
                    cut(k, o, until, holdsUp);
                    cut(o, k, until, holdsUp);
                }
                return lose(k, until);
            }
            case 13: {
                const Micros slow = random_.between(5 * kMs, 250 * kMs);
                for (std::size_t o = 0; o < machines_.size(); ++o) {
                    link(k, o).slow = link(o, k).slow = slow;
                    link(k, o).slowUntil = link(o, k).slowUntil = until;
                }
                return lose(k, until);
            }
            case 14: {  // a planned end
                if (!m.up) return;
                m.replica->transferLeadership(now_);
                soon(k);
                at(now_ + random_.between(0, 600 * kMs), Kind::kill, k);
                lose(k, now_ + 2 * kSecond);
                at(now_ + random_.between(700 * kMs, 2 * kSecond), Kind::start, k);
                return;
            }
            default: return turnover(k);
        }
    }
    // A spare machine comes, this one goes for good: at once, or once the new one votes.
    void turnover(std::size_t k) {
        const auto spare = std::find_if(machines_.begin(), machines_.end(),
                                        [](const Machine& o) { return !o.there && o.incarnation == 0; });
        if (spare == machines_.end() || lost(machines_.size()) != 0) return;
        if (!mayWipe(k)) return;
        spare->there = true;
        const auto s = static_cast<std::size_t>(spare - machines_.begin());
        const Micros start = now_ + random_.between(0, kSecond);
        spare->replaced = true;
        spare->zone = machines_[k].zone;
        at(start, Kind::start, s);
        ++turnovers_;
        if (random_.chance(0.4)) {  // planned
            const Micros leaves = start + settings_.catchUp;
            lose(k, leaves + kGrace);
            at(leaves, Kind::leave, k, 0, 0, 1);
            return;
        }
        wipe(k);
        machines_[k].there = false;
        lose(k, start);
    }

    // ---- plans with replacements ----
    static constexpr std::size_t kSpares = 8;
    static constexpr Micros kGrace = 2 * kSecond;
    static constexpr Micros kMinute = 60 * kSecond;

    // One loss, or as many as are survived, as soon as the ones before no more count as lost.
    void replacementStep() {
        Micros free = now_;
        for (const auto& m : machines_) free = std::max(free, m.lostUntil);
        if (free > now_) return at(free + random_.between(0, 300 * kMs), Kind::trouble, 0);
        at(now_ + random_.between(50 * kMs, 500 * kMs), Kind::trouble, 0);
        expectSurvivable();
        ++figures_.steps;
        const auto what = random_.below(12);
        if (what == 0) return all();
        if (what == 1) return loseZone();
        std::size_t losses = 1 + random_.below(std::max<std::size_t>(1, survive_));
        for (std::size_t tries = 0; losses > 0 && tries < 20; ++tries) {
            const auto k = random_.chance(0.35) ? aLeader().value_or(0) : random_.below(machines_.size());
            if (!machines_[k].there || machines_[k].lostUntil > now_) continue;
            if (lost(k) >= survive_) return;
            --losses;
            replacementOne(k);
        }
    }
    void replacementOne(std::size_t k) {
        auto& m = machines_[k];
        const auto what = random_.below(10);
        trace(k, "step " + std::to_string(what));
        switch (what) {
            case 0:
            case 1:
            case 2: return turnover(k);
            case 3:
                wipe(k);
                m.replaced = true;
                return later(k, 200 * kMs, 3 * kSecond);
            case 4: m.wipeAtAck = true; return lose(k, now_ + 4 * kSecond);
            case 5: return leave(k, false);  // a restart
            case 6:
                m.frozenUntil = now_ + random_.between(kSecond, 20 * kSecond);
                return lose(k, m.frozenUntil);
            case 7: lose(k, now_ + 15 * kSecond); return flap(k, 8);
            case 8: kill(k, random_.chance(0.5)); return later(k, 500 * kMs, 10 * kSecond);
            default: {  // one way only
                const Micros until = now_ + random_.between(kSecond, 10 * kSecond);
                const bool out = random_.chance(0.5);
                for (std::size_t o = 0; o < machines_.size(); ++o)
                    out ? cut(k, o, until, false) : cut(o, k, until, false);
                return lose(k, until);
            }
        }
    }
    void loseZone() {
        const auto& zone = machines_[random_.below(size_)].zone;
        if (zone.empty() || survive_ == 0) return;
        const bool power = random_.chance(0.5);
        for (std::size_t k = 0; k < machines_.size(); ++k) {
            if (!machines_[k].there || machines_[k].zone != zone) continue;
            kill(k, power);
            later(k, kSecond, 5 * kSecond);
        }
    }
    // SIGTERM: it ends when it is released, at the latest after the time allowed.
    void leave(std::size_t k, bool forGood) {
        auto& m = machines_[k];
        if (!m.up) return;
        lose(k, now_ + kGrace);
        trace(k, "leaves");
        m.replica->leave(now_);
        soon(k);
        at(now_ + 20 * kMs, Kind::stop, k, static_cast<std::uint64_t>(now_ + kGrace), 0, forGood ? 1 : 0);
    }
    void stop(std::size_t k, std::uint64_t latest, bool forGood, std::uint64_t incarnation) {
        auto& m = machines_[k];
        if (incarnation != m.incarnation || !m.up) return;
        if (!m.replica->released() && now_ < static_cast<Micros>(latest))
            return at(now_ + 20 * kMs, Kind::stop, k, latest, 0, forGood ? 1 : 0);
        if (!forGood) {
            kill(k, false);
            return later(k, 300 * kMs, 6 * kSecond);
        }
        wipe(k);
        m.there = false;
        m.lostUntil = std::min(m.lostUntil, now_ + settings_.catchUp);
    }
    // Its links go down and come up again.
    void flap(std::size_t k, std::uint64_t times) {
        if (times == 0 || isCalm_) return;
        const Micros until = now_ + random_.between(500 * kMs, 3 * kSecond);
        for (std::size_t o = 0; o < machines_.size(); ++o) {
            cut(k, o, until, false);
            cut(o, k, until, false);
        }
        lose(k, until);
        at(until + random_.between(300 * kMs, 1500 * kMs), Kind::flap, k, 0, 0, times - 1);
    }
    // No machine counts as lost: whatever may be lost next leaves a majority.
    void expectSurvivable() {
        const auto leader = aLeader();
        if (survive_ == 0) return;
        expect(leader.has_value(), "nobody leads though no machine counts as lost");
        const auto& voters = machines_[*leader].replica->members().voters();
        std::size_t alive = 0;
        std::map<std::string, std::size_t> inZone;
        for (const auto& v : voters) {
            const auto& m = machines_[indexOf(v.address())];
            if (!m.up || m.disk.self.number() != v.number()) continue;
            ++alive;
            if (!m.zone.empty()) ++inZone[m.zone];
        }
        const std::size_t majority = static_cast<std::size_t>(voters.size()) / 2 + 1;
        const std::string counted =
            std::to_string(alive) + " of " + std::to_string(voters.size()) + " voters";
        expect(alive >= majority + survive_,
               "as many machines as may be lost can't be: there are " + counted);
        for (const auto& [zone, count] : inZone)
            expect(alive >= majority + count, "the loss of one zone would take the majority: " + counted);
    }
    // Within `catch_up` of its start an empty machine votes, or all that vote are there.
    void expectSuccessorsVote() {
        if (!plan_.replacements || isCalm_) return;
        const auto leader = aLeader();
        if (!leader) return;
        const auto& members = machines_[*leader].replica->members();
        const auto votes = [&](const Machine& m) {
            return std::any_of(members.voters().begin(), members.voters().end(), [&](const auto& v) {
                return v.address() == m.address && v.number() == m.disk.self.number();
            });
        };
        const bool allThere =
            std::all_of(members.voters().begin(), members.voters().end(), [&](const auto& v) {
                const auto& m = machines_[indexOf(v.address())];
                return m.there && m.disk.self.number() == v.number();
            });
        for (auto& m : machines_) {
            if (!m.replaced || !m.up) continue;
            if (allThere || votes(m)) {
                m.replaced = false;
                figures_.slowestVote = std::max(figures_.slowestVote, now_ - m.startedAt);
            } else {
                expect(troubledAt_ > m.startedAt || now_ - m.startedAt <= settings_.catchUp,
                       "a successor doesn't vote within its time");
            }
        }
    }
    void noteChange() {
        changeTimes_.push_back(now_);
        while (now_ - changeTimes_.front() > kMinute) changeTimes_.erase(changeTimes_.begin());
        figures_.changesInMinute = std::max<std::uint64_t>(figures_.changesInMinute, changeTimes_.size());
        const auto most = static_cast<std::uint64_t>(2 * kMinute / settings_.catchUp);
        expect(changeTimes_.size() <= most, "members change more often than they may");
    }

    // ---- ends ----
    void checkProgress() {
        const bool may = bounded_ && now_ - troubledAt_ >= 4 * kSecond && now_ > 8 * kSecond && !isCalm_;
        if (may && (survive_ > 0 || lost(machines_.size()) == 0))
            expect(!acked_.empty() && now_ - acked_.back().first < 4 * kSecond,
                   "no progress for 4 s, though losses are as promised");
        if (isCalm_ && now_ - calmAt_ > 3 * kSecond)
            expect(firstCalmAck_.has_value(), "no progress within 3 s of calm");
    }
    void calm() {
        isCalm_ = true;
        closeAtAck_ = closeAtElection_ = false;
        split_ = Split::no;
        trace(0, "calm");
        for (auto& l : links_) {
            l.cutUntil = std::min(l.cutUntil, now_);
            l.slowUntil = 0;
            if (l.lastAt > now_ + 10 * kMs) {  // what was held up that long is lost
                ++l.epoch;
                l.lastAt = now_;
            }
        }
        for (std::size_t k = 0; k < machines_.size(); ++k) {
            auto& m = machines_[k];
            m.fullUntil = 0;
            m.stallUntil = std::min(m.stallUntil, now_);
            m.frozenUntil = 0;
            m.wipeAtAck = m.killAtAck = false;
            if (m.there && !m.up) start(k);
            if (!m.up) continue;
            m.tickAt = m.turnAt = -1;
            soon(k);
            if (!m.writing.empty()) beginWrite(k);
        }
    }
    void finish() {
        expect(firstCalmAck_.has_value(), "no progress after calm");
        proto::Members members;
        std::size_t there = 0;
        for (const auto& m : machines_) {
            if (!m.there) continue;
            ++there;
            expect(m.applied >= firstCalmIndex_, "a machine hasn't applied what the others have");
            const Micros age = m.replica->quorumContactAge(now_);
            expect(age >= 0 && age < kSecond, "a machine isn't sure, though all is calm");
            if (m.replica->leads()) members = m.replica->members();
        }
        expect(!members.voters().empty(), "nobody leads at the end");
        const auto voters = static_cast<std::size_t>(members.voters_size());
        std::size_t alive = 0;
        for (const auto& v : members.voters()) {
            const auto& m = machines_[indexOf(v.address())];
            const bool current = m.disk.self.number() == v.number();
            alive += m.there && current ? 1 : 0;
            expect(current || !m.there, "a voter at the end is one whose disk is gone");
        }
        if (turnovers_ == 0) {
            const std::size_t wanted = there < 3 ? there : there % 2 == 1 ? there : there - 1;
            expect(voters == std::min<std::size_t>(wanted, settings_.maxVoters),
                   "there are " + std::to_string(voters) + " voters, not " + std::to_string(wanted));
        } else {
            expect(alive >= voters / 2 + 1 + survive_, "as many as may be lost can't be lost: of " +
                                                           std::to_string(voters) + " voters " +
                                                           std::to_string(alive) + " are there");
        }
    }
};

}  // namespace marldale::raft::world
