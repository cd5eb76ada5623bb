// A small fleet in a script's own time: sites with boxes and relays, requests, troubles. Relays obey the
// tables that they are told and judge nothing; boxes have queues, warm up, and count the effects of what they
// run. It knows no protocol and no clock: whoever drives it says what time it is, carries what it says to a
// planner, and hands it what comes back.
//
// All chance comes from PCG streams of one seed, one stream for each relay, and is drawn in an order that
// does not hang on tables: the same tables at the same times give the same requests, tries and reports, to
// the last count.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace marldale::standin {

using Micros = std::int64_t;
inline constexpr Micros kMs = 1000, kSecond = 1000 * kMs;

struct WorldClass {
    std::string name;
    double share = 1;  // of the requests
    Micros work = 0;   // mean, at a core of usual speed
    bool mustNotRepeat = false;
};

struct WorldSettings {
    std::uint64_t seed = 1;
    std::vector<std::string> sites = {"regina", "moose-jaw", "swift-current"};
    int boxesPerSite = 10, relaysPerSite = 50;
    int coresPerBox = 2;
    int planners = 1;           // relays are theirs in turn
    double requestsPerS = 200;  // of all relays; a tenth of them brings half
    std::vector<WorldClass> classes = {{"image-fetch", 0.6, 110 * kMs, false},
                                       {"cutout", 0.25, 190 * kMs, false},
                                       {"reserve", 0.15, 110 * kMs, true}};
    Micros giveUp = 2 * kSecond;
    Micros reportEvery = 2 * kSecond, reportLate = 700 * kMs;
    Micros warmUp = 16 * kSecond;
    double coldSpeed = 0.35;
};

// ---- What it says to a planner ----

enum class BoxState { ready, draining, gone };
struct ListChange {
    std::string box, site;
    BoxState state = BoxState::ready;
    Micros boot = 0;
    std::string endpoint = "127.0.0.1:9";
};
struct RelayHello {
    int relay = 0;
    std::string site;
    double rps = 0;
    bool fresh = true;
};
struct RelayBye {
    int relay = 0;
};
struct RelayAck {
    int relay = 0;
    unsigned mark = 0;
    Micros took = 0;
};
struct SumRow {
    std::string site, box;
    std::uint32_t tries = 0, failed = 0;
    Micros mean = 0, over = 0;
    int spoilt = 0;   // 0: it is not; else a way in which the collector spoils it
    int planner = 0;  // whose relays met this
};
struct DemandRow {
    std::string site;  // whose collector tells it
    int relay = 0;
    std::string className;
    std::uint32_t came = 0, failed = 0;
    Micros over = 0;
    int spoilt = 0;
};
using Word = std::variant<ListChange, RelayHello, RelayBye, RelayAck, SumRow, DemandRow>;

// ---- What comes back ----

struct Level {
    float limit = 1e6F;  // requests a second; 1e6 and up: no limit
    unsigned retryMode = 1;
    bool operator==(const Level&) const = default;
};
// What a relay holds for one class, as it was ordered.
struct ClassView {
    std::map<std::string, float> lines;
    Level level;
    bool operator==(const ClassView&) const = default;
};
using View = std::map<std::string, ClassView>;  // by class

// ---- Troubles, by name ----

struct Trouble {
    enum class Kind { replaceBox, restartRelays, cutSite, spoilReports, failFast, silentBox, losePlanner };
    Kind kind = Kind::replaceBox;
    Micros at = 0, lasts = 0;
    int subject = 0;  // a box, a site, a planner, or how many relays
};

struct MarkSeen {  // a relay has applied a message that asked for an answer
    unsigned mark = 0;
    std::uint64_t content = 0;  // a hash of all that it holds
    bool operator==(const MarkSeen&) const = default;
};

struct WorldFigures {
    std::uint64_t requests = 0, served = 0, late = 0, failed = 0, refused = 0, unpicked = 0;
    std::uint64_t tries = 0, retries = 0;
    std::uint64_t effects = 0, secondEffects = 0;  // of classes that must not be repeated
    bool operator==(const WorldFigures&) const = default;
};

class World {
public:
    World(WorldSettings settings, std::vector<Trouble> troubles);

    // Everything that happens up to `now`, and what a planner is told of it by then, in one order: the list,
    // proxies by number, sums by site and box, demand by relay.
    [[nodiscard]] std::vector<Word> advance(Micros now);

    // A message reaches a relay: it holds this after its delay, and answers the mark. Whatever it holds
    // already is late.
    void message(int relay, View view, std::set<std::string> shut, std::optional<unsigned> mark, Micros now);

    [[nodiscard]] const WorldSettings& settings() const { return settings_; }
    [[nodiscard]] int relays() const { return static_cast<int>(relays_.size()); }
    [[nodiscard]] const std::string& siteOf(int relay) const;
    // The list at the start.
    [[nodiscard]] std::vector<ListChange> list() const;

    [[nodiscard]] WorldFigures figures() const;
    [[nodiscard]] const WorldFigures& figuresOf(int planner) const {
        return figures_[static_cast<std::size_t>(planner)];
    }
    [[nodiscard]] int plannerOf(int relay) const { return relay % settings_.planners; }
    // By relay: marks in the order they were applied, and the messages in each ten seconds.
    [[nodiscard]] const std::vector<std::vector<MarkSeen>>& marks() const { return marks_; }
    [[nodiscard]] const std::vector<std::map<Micros, int>>& messages() const { return messages_; }
    // The most messages that any relay got within `span`.
    [[nodiscard]] int mostMessagesWithin(Micros span) const;
    [[nodiscard]] std::string said() const;  // troubles so far, a line each

private:
    struct Box {
        std::string uid;
        int site = 0;
        BoxState state = BoxState::ready;
        Micros boot = 0, busyUntil = 0;
        bool failsFast = false, silent = false;
    };
    struct Arriving {  // a message on its way
        Micros at = 0;
        View view;
        std::set<std::string> shut;
        std::optional<unsigned> mark;
    };
    struct Relay {
        int site = 0;
        double rps = 0;
        pcg32 arrivals, picks;
        Micros next = 0;  // request
        bool joined = false;
        Micros joinsAt = -1;
        bool fresh = true;
        View view;
        std::set<std::string> shut;
        std::deque<Arriving> arriving;
        std::map<std::string, double> tokens;
        std::map<std::string, Micros> refilled;
    };
    struct Sum {
        std::uint32_t tries = 0, failed = 0;
        Micros time = 0;
    };
    struct Came {
        std::uint32_t came = 0, failed = 0;
    };
    struct Due {  // a word that is said later
        Micros at = 0;
        Word word;
    };
    enum class Outcome { served, refusedUnrun, failedUnknown, failed };

    void begin(const Trouble& trouble, Micros now);
    void end(const Trouble& trouble, Micros now);
    void change(Box& box, BoxState state, Micros now);
    void arrive(Relay& relay, int number, Micros now);
    void requests(Relay& relay, int number, Micros now);
    void serve(Relay& relay, Micros at);
    [[nodiscard]] bool admitted(Relay& relay, const std::string& className, const Level& level, Micros at);
    [[nodiscard]] WorldFigures& figuresFor(const Relay& relay);
    [[nodiscard]] Box* pick(Relay& relay, const ClassView& view, const std::string* but, double chance);
    [[nodiscard]] Outcome attempt(Relay& relay, Box& box, const WorldClass& k, double work, Micros at,
                                  Micros& took);
    void report(Micros now);
    void say(Micros at, Word word) { due_.push_back({at, std::move(word)}); }
    [[nodiscard]] bool cut(int site) const { return cutSites_.count(site) != 0; }
    [[nodiscard]] double speed(const Box& box, Micros now) const;

    WorldSettings settings_;
    std::vector<Trouble> troubles_;
    std::set<std::size_t> begun_, ended_;
    Micros now_ = 0, nextReport_ = 0;
    std::vector<Box> boxes_;
    std::map<std::string, std::size_t> boxByName_;
    std::vector<Relay> relays_;
    std::set<int> cutSites_;
    bool spoils_ = false;
    int born_ = 0;
    std::map<std::tuple<int, int, std::string>, Sum> sums_;  // by planner, the relays' site, and box
    std::map<std::pair<int, std::string>, Came> came_;       // by relay and class
    std::vector<Due> due_;
    std::vector<WorldFigures> figures_;  // by planner
    std::vector<std::vector<MarkSeen>> marks_;
    std::vector<std::map<Micros, int>> messages_;
    std::vector<std::vector<Micros>> messageTimes_;
    std::vector<std::string> said_;
};

// The scripted two minutes: joins, a rolling deploy, restarts of relays, a site cut off, spoilt reports, a
// box that fails fast, one that falls silent.
[[nodiscard]] std::vector<Trouble> twoMinutes();

}  // namespace marldale::standin
