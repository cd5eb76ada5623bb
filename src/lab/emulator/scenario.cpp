#include "emulator/scenario.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <filesystem>
#include <stdexcept>

namespace marldale::emulator {
namespace {

using settings::Entry;
using settings::Problem;
using settings::Schema;
using settings::Type;
using settings::Value;

constexpr int kIncludesMost = 8;  // one within the other
constexpr int kIncludesInAll = 64;
constexpr const char* kPolicies[] = {"module", "even", "zones", "least_load", "full_sight"};
constexpr const char* kFaults[] = {
    "crash",        "silence",      "vanish",       "errors",         "slow",        "neighbour",
    "pause",        "deploy",       "cut",          "slow_link",      "loss",        "planner_loss",
    "slow_channel", "late_reports", "lost_reports", "spoilt_reports", "list_outage", "list_lie",
    "clock_skew",   "hot_client",   "shift",        "surge",          "halfway",     "lost_answers"};
static_assert(std::size(kFaults) == static_cast<std::size_t>(FaultKind::count_));

template <std::size_t N>
std::vector<std::string> wordsOf(const char* const (&names)[N]) {
    return {names, names + N};
}
template <std::size_t N>
std::size_t indexIn(const char* const (&names)[N], const std::string& word) {
    return static_cast<std::size_t>(std::find(names, names + N, word) - names);
}

Micros microsOf(double seconds) { return std::llround(seconds * 1e6); }

// Short ways to state a key.
class Keys {
public:
    explicit Keys(Schema& schema) : schema_(schema) {}
    template <class T>
    void number(const char* section, const char* name, const char* unit, double least, double most, T& into,
                const char* means, double factor = 1) {
        schema_.key(section, name, Type::number)
            .range(unit, least, most)
            .otherwise(standards_.emplace_back(shortly(static_cast<double>(into) / factor)).c_str())
            .means(means)
            .to([&into, factor](const std::string&, const Value& v) {
                if constexpr (std::is_floating_point_v<T>) {
                    into = v.number * factor;
                } else {
                    into = static_cast<T>(std::llround(v.number * factor));
                }
            });
    }
    void seconds(const char* section, const char* name, double most, Micros& into, const char* means) {
        number(section, name, "s", 0, most, into, means, 1e6);
    }
    void millis(const char* section, const char* name, double most, Micros& into, const char* means) {
        number(section, name, "ms", 0, most, into, means, 1e3);
    }
    void span(const char* section, const char* name, Distribution& into, const char* means) {
        schema_.key(section, name, Type::text).means(means).to([&into](const std::string&, const Value& v) {
            try {
                into = Distribution::parse(v.text);
            } catch (const std::invalid_argument& e) {
                throw settings::Refused(e.what());
            }
        });
    }
    template <class T, std::size_t N>
    void choice(const char* section, const char* name, const char* const (&words)[N], T& into,
                const char* means) {
        schema_.key(section, name, Type::choice)
            .oneOf(wordsOf(words))
            .otherwise(words[static_cast<std::size_t>(into)])
            .means(means)
            .to([&into, &words](const std::string&, const Value& v) {
                into = static_cast<T>(indexIn(words, v.text));
            });
    }
    void flag(const char* section, const char* name, bool& into, const char* means) {
        schema_.key(section, name, Type::choice)
            .oneOf({"no", "yes"})
            .otherwise(into ? "yes" : "no")
            .means(means)
            .to([&into](const std::string&, const Value& v) { into = v.text == "yes"; });
    }
    void text(const char* section, const char* name, std::string& into, const char* means) {
        schema_.key(section, name, Type::text).means(means).to([&into](const std::string&, const Value& v) {
            into = v.text;
        });
    }

private:
    static std::string shortly(double value) {
        std::string out = std::to_string(value);
        while (out.back() == '0') out.pop_back();
        if (out.back() == '.') out.pop_back();
        return out;
    }
    Schema& schema_;
    std::deque<std::string> standards_;
};

const char* const kDisciplines[] = {"fifo", "lifo", "sharing"};
const char* const kPicks[] = {"weighted", "smooth", "two_choices"};
const char* const kAdmissions[] = {"none", "share", "rate"};
const char* const kLearns[] = {"cold", "snapshot", "peer"};
const char* const kRepeats[] = {"retryable", "dedup", "fragile"};

std::vector<std::pair<double, double>> readCurve(const std::string& text) {
    std::vector<std::pair<double, double>> out;
    std::size_t at = 0;
    while (at < text.size()) {
        const std::size_t to = std::min(text.find(',', at), text.size());
        double when = 0, factor = 0;
        char rest = 0;
        const std::string piece = text.substr(at, to - at);
        if (std::sscanf(piece.c_str(), " %lf:%lf %c", &when, &factor, &rest) != 2 || !(factor >= 0) ||
            (!out.empty() && when <= out.back().first)) {
            throw settings::Refused(piece + " is no SECONDS:FACTOR after the one before");
        }
        out.emplace_back(when, factor);
        at = to + 1;
    }
    return out;
}

ScenarioClass& classNamed(Scenario& s, const std::string& name) {
    for (ScenarioClass& k : s.classes) {
        if (k.name == name) return k;
    }
    s.classes.emplace_back().name = name;
    return s.classes.back();
}
Fault& faultNamed(Scenario& s, const std::string& name) {
    for (Fault& f : s.faults) {
        if (f.name == name) return f;
    }
    s.faults.emplace_back().name = name;
    return s.faults.back();
}

void addClasses(Schema& schema, Scenario& s) {
    const auto key = [&](const char* name, Type type) -> settings::Key& {
        return schema.key("class *", name, type);
    };
    key("share", Type::number)
        .range("", 0, 1e6)
        .otherwise("1")
        .means("of the requests, against the others'")
        .to([&s](const std::string& n, const Value& v) { classNamed(s, n).share = v.number; });
    key("work", Type::text)
        .otherwise("exp 100ms")
        .means("of one request at a core of usual speed: a distribution")
        .to([&s](const std::string& n, const Value& v) {
            try {
                classNamed(s, n).work = Distribution::parse(v.text);
            } catch (const std::invalid_argument& e) {
                throw settings::Refused(e.what());
            }
        });
    key("aim_ms", Type::number)
        .range("ms", 1, 60000)
        .otherwise("600")
        .means("the wanted time")
        .to([&s](const std::string& n, const Value& v) {
            classNamed(s, n).aim = std::llround(v.number * 1e3);
        });
    key("give_up_ms", Type::number)
        .range("ms", 1, 60000)
        .otherwise("2000")
        .means("the client's patience")
        .to([&s](const std::string& n, const Value& v) {
            classNamed(s, n).giveUp = std::llround(v.number * 1e3);
        });
    key("worth", Type::number)
        .range("", 0, 1000)
        .otherwise("1")
        .means("of one that is answered in time")
        .to([&s](const std::string& n, const Value& v) { classNamed(s, n).worth = v.number; });
    key("late_worth", Type::number)
        .range("", 0, 1000)
        .otherwise("0")
        .means("of one that is answered later")
        .to([&s](const std::string& n, const Value& v) { classNamed(s, n).lateWorth = v.number; });
    key("repeat", Type::choice)
        .oneOf(wordsOf(kRepeats))
        .otherwise("retryable")
        .means("whether it may run again")
        .to([&s](const std::string& n, const Value& v) {
            classNamed(s, n).repeat = static_cast<Repeat>(indexIn(kRepeats, v.text));
        });
    key("writes", Type::choice)
        .oneOf({"no", "yes"})
        .otherwise("no")
        .means("whether it has an effect")
        .to([&s](const std::string& n, const Value& v) { classNamed(s, n).writes = v.text == "yes"; });
    key("own_zone_only", Type::choice)
        .oneOf({"no", "yes"})
        .otherwise("no")
        .means("whether it stays in its zone")
        .to([&s](const std::string& n, const Value& v) { classNamed(s, n).ownZoneOnly = v.text == "yes"; });
    key("zones", Type::list)
        .means("zones whose boxes take it; none: all")
        .to([&s](const std::string& n, const Value& v) { classNamed(s, n).zones = v.items; });
}

void addFaults(Schema& schema, Scenario& s) {
    const auto key = [&](const char* name, Type type) -> settings::Key& {
        return schema.key("fault *", name, type);
    };
    key("kind", Type::choice)
        .oneOf(wordsOf(kFaults))
        .means("what happens")
        .to([&s](const std::string& n, const Value& v) {
            faultNamed(s, n).kind = static_cast<FaultKind>(indexIn(kFaults, v.text));
        });
    key("at_s", Type::number)
        .range("s", 0, 1e6)
        .otherwise("0")
        .means("when it begins")
        .to([&s](const std::string& n, const Value& v) { faultNamed(s, n).at = microsOf(v.number); });
    key("lasts_s", Type::number)
        .range("s", 0, 1e6)
        .otherwise("10")
        .means("for how long")
        .to([&s](const std::string& n, const Value& v) { faultNamed(s, n).lasts = microsOf(v.number); });
    key("subject", Type::text)
        .means("box 3, boxes 20%, zone a, zone a boxes 30%, planner 1, relays 10%")
        .to([&s](const std::string& n, const Value& v) {
            try {
                faultNamed(s, n).subject = parseSubject(v.text);
            } catch (const std::invalid_argument& e) {
                throw settings::Refused(e.what());
            }
        });
    key("strength", Type::number)
        .range("", 0, 1e6)
        .otherwise("1")
        .means("a share, a factor or a time in ms, by its kind")
        .to([&s](const std::string& n, const Value& v) { faultNamed(s, n).strength = v.number; });
    key("every_ms", Type::number)
        .range("ms", 1, 1e6)
        .otherwise("2000")
        .means("of what comes again and again")
        .to([&s](const std::string& n, const Value& v) {
            faultNamed(s, n).every = std::llround(v.number * 1e3);
        });
    schema.key("drawn_faults", "count", Type::whole)
        .range("", 0, 100)
        .otherwise("0")
        .means("faults drawn from the seed")
        .to([&s](const std::string&, const Value& v) {
            s.drawn.count = static_cast<std::uint32_t>(v.whole());
        });
    schema.key("drawn_faults", "kinds", Type::list)
        .means("of these kinds; none: of all")
        .to([&s](const std::string&, const Value& v) {
            for (const std::string& item : v.items) {
                const std::size_t at = indexIn(kFaults, item);
                if (at == std::size(kFaults)) throw settings::Refused(item + " is no kind of fault");
                s.drawn.kinds.push_back(static_cast<FaultKind>(at));
            }
        });
    schema.key("drawn_faults", "from_s", Type::number)
        .range("s", 0, 1e6)
        .otherwise("10")
        .means("no sooner")
        .to([&s](const std::string&, const Value& v) { s.drawn.from = microsOf(v.number); });
    schema.key("drawn_faults", "until_s", Type::number)
        .range("s", 0, 1e6)
        .otherwise("0")
        .means("no later; 0: the end")
        .to([&s](const std::string&, const Value& v) { s.drawn.until = microsOf(v.number); });
}

void addAll(Schema& schema, Keys& keys, Scenario& s) {
    keys.text("scenario", "name", s.name, "a short name");
    keys.text("scenario", "teaches", s.teaches, "what whoever plays it learns");
    keys.number("run", "seed", "", 0, 1e15, s.run.seed, "of all chance");
    keys.seconds("run", "duration_s", 86400, s.run.duration, "virtual time");
    keys.seconds("run", "score_from_s", 86400, s.run.scoreFrom, "what came before is not counted");
    keys.seconds("run", "window_s", 3600, s.run.window, "of which the worst counts");
    schema.key("fleet", "zones", Type::list)
        .otherwise("a, b, c")
        .means("their names")
        .to([&s](const std::string&, const Value& v) { s.fleet.zones = v.items; });
    keys.number("fleet", "boxes", "", 1, 20000, s.fleet.boxes, "of all zones together");
    keys.number("fleet", "relays", "", 1, 20000, s.fleet.relays, "of all zones together");
    keys.number("fleet", "planners", "", 1, 100, s.fleet.planners, "instances");
    keys.number("fleet", "standing_lines", "", 0, 1000, s.fleet.standing, "that a relay starts with");
    addClasses(schema, s);
    keys.number("box", "cores", "", 1, 1024, s.box.cores, "jobs that run at once");
    keys.choice("box", "discipline", kDisciplines, s.box.discipline, "of its queue");
    keys.number("box", "queue_most", "", 0, 1e6, s.box.queueMost, "jobs that wait; more are turned away");
    keys.number("box", "connections_most", "", 1, 1e6, s.box.connectionsMost,
                "open at once; more are refused");
    keys.number("box", "connect_work_us", "us", 0, 1e6, s.box.connectWork, "of a new connection");
    keys.number("box", "speed_spread", "", 0, 1, s.box.speedSpread, "deviation of the machines' speeds");
    keys.number("box", "cold_speed", "", 0.01, 1, s.box.coldSpeed, "of its speed, at its start");
    keys.seconds("box", "warm_up_s", 3600, s.box.warmUp, "until it is as fast as ever");
    keys.number("box", "tip_multiple", "", 0, 1000, s.box.tipMultiple,
                "sent so many times what it can do while cold it falls over; 0: never");
    keys.seconds("box", "fall_within_s", 600, s.box.fallWithin, "for so long");
    keys.seconds("box", "drain_s", 600, s.box.drainFor, "from draining to gone");
    keys.millis("box", "load_every_ms", 60000, s.box.loadEvery, "its load report is refreshed");
    keys.number("box", "load_noise", "", 0, 1, s.box.loadNoise, "deviation of its load report, as a share");
    keys.choice("relay", "pick", kPicks, s.relay.pick, "how a relay picks among its lines");
    keys.number("relay", "avoid_after", "", 0, 1000, s.relay.avoidAfter,
                "own tries in a row that failed at a box; 0: never");
    keys.millis("relay", "avoid_for_ms", 600000, s.relay.avoidFor, "it keeps away from it so long");
    keys.number("relay", "stall_per_line_us", "us", 0, 10000, s.relay.stallPerLine,
                "it stands still for each line of a message");
    keys.number("relay", "burst_s", "s", 0, 60, s.relay.burst, "of a level's rate, that it lets in at once");
    keys.seconds("relay", "connection_idle_s", 3600, s.relay.connectionIdle, "then a connection is closed");
    keys.number("clients", "rate", "requests/s", 0, 1e6, s.clients.rate, "of all relays together");
    keys.number("clients", "busiest_tenth", "", 0.1, 1, s.clients.busiest,
                "share that a tenth of the relays brings");
    schema.key("clients", "curve", Type::text)
        .means("SECONDS:FACTOR, ... on the rate, with lines between")
        .to([&s](const std::string&, const Value& v) { s.clients.curve = readCurve(v.text); });
    keys.text("clients", "trace", s.clients.trace, "recorded traffic in place of a rate: a trace file");
    keys.number("clients", "trace_speed", "", 0.001, 1000, s.clients.traceSpeed, "of its playing");
    keys.number("clients", "users", "", 0, 1e6, s.clients.users,
                "closed loop in place of a rate; 0: open loop");
    keys.span("clients", "think", s.clients.think, "between two requests of a user: a distribution");
    keys.number("clients", "repeats", "", 0, 10, s.clients.repeats, "that a client makes by itself");
    keys.span("clients", "repeat_after", s.clients.repeatAfter, "it waits before: a distribution");
    keys.number("clients", "repeat_budget", "", 0, 10, s.clients.repeatBudget,
                "repeats for each first request, over a relay");
    keys.number("clients", "try_time", "", 0.01, 1, s.clients.tryTime, "of the give-up time, for one try");
    keys.number("network", "within_us", "us", 0, 1e6, s.network.within, "one way within a zone");
    keys.number("network", "between_us", "us", 0, 1e6, s.network.between, "one way between two zones");
    keys.number("network", "jitter", "", 0, 1, s.network.jitter, "of it");
    keys.number("network", "loss", "", 0, 1, s.network.loss, "share of requests or answers that vanish");
    keys.choice("planner", "policy", kPolicies, s.planner.policy, "who decides");
    keys.choice("planner", "learn", kLearns, s.planner.learn, "what one that restarts is told");
    keys.number("planner", "lines_per_s", "lines/s", 1, 1e7, s.planner.linesPerS, "of its channel");
    keys.number("planner", "backlog", "lines", 1, 1e7, s.planner.backlog, "that may wait");
    keys.number("planner", "envelope", "lines", 0, 1000, s.planner.envelope,
                "that a message costs beside its own");
    keys.number("planner", "messages_most", "", 0, 10000, s.planner.messagesMost,
                "to a relay; 0: any number");
    keys.seconds("planner", "messages_over_s", 600, s.planner.messagesOver, "within this time");
    keys.millis("planner", "message_least_ms", 60000, s.planner.messageLeast, "a message's way, at least");
    keys.millis("planner", "message_most_ms", 60000, s.planner.messageMost, "and at most");
    keys.millis("planner", "list_late_ms", 60000, s.planner.listLate, "until a change of the list is told");
    keys.millis("planner", "report_every_ms", 60000, s.planner.reportEvery, "of sums and demand");
    keys.millis("planner", "report_late_ms", 60000, s.planner.reportLate, "until they are told");
    keys.choice("planner", "admission", kAdmissions, s.planner.admission, "what a level is");
    keys.millis("planner", "redial_least_ms", 60000, s.planner.redialLeast,
                "of a relay that has lost its planner");
    keys.millis("planner", "redial_most_ms", 60000, s.planner.redialMost, "and at most");
    keys.millis("planner", "notice_after_ms", 60000, s.planner.noticeAfter,
                "until a stream that is cut off counts as broken");
    keys.flag("planner", "goes_back", s.planner.goesBack, "whether a relay returns to its own planner");
    keys.millis("planner", "empty_for_ms", 60000, s.planner.emptyFor,
                "the rule: a relay may have nothing to pick so long");
    keys.millis("planner", "drain_grace_ms", 60000, s.planner.drainGrace,
                "the rule: a drain is kept after so long");
    addFaults(schema, s);
}

// ---- Includes and parameters ----

struct FileEntry {
    Entry entry;
    std::string file;
};

void gather(const std::string& path, const std::string& text, int depth, int& left,
            std::vector<FileEntry>& out, std::vector<Problem>& problems) {
    for (const Entry& entry : settings::readIni(path, text, problems)) {
        if (entry.section != "include") {
            out.push_back({entry, path});
            continue;
        }
        if (entry.key.empty()) continue;
        if (entry.key != "file") {
            problems.push_back({path, entry.line, "[include] has one key: file"});
            continue;
        }
        if (depth >= kIncludesMost) {
            problems.push_back({path, entry.line, "includes go too deep: one includes itself?"});
            left = 0;
            return;
        }
        if (left-- <= 0) return problems.push_back({path, entry.line, "there are too many includes"});
        const std::string other = (std::filesystem::path(path).parent_path() / entry.value).string();
        std::string inner;
        if (settings::readFile(other, inner, problems)) gather(other, inner, depth + 1, left, out, problems);
    }
}

// What stands later counts: a scenario may say otherwise than what it includes.
void keepLast(std::vector<FileEntry>& entries, const std::string& top) {
    std::map<std::pair<std::string, std::string>, std::size_t> last;
    for (std::size_t i = 0; i < entries.size(); ++i) {
        last[{entries[i].entry.section, entries[i].entry.key}] = i;
    }
    std::vector<FileEntry> out;
    for (std::size_t i = 0; i < entries.size(); ++i) {
        const FileEntry& e = entries[i];
        // Twice in one file is a mistake, which the schema tells.
        const bool included = e.file != top;
        if (!e.entry.key.empty() && included && last[{e.entry.section, e.entry.key}] != i) continue;
        out.push_back(e);
    }
    entries = std::move(out);
}

void substitute(const std::string& path, std::vector<FileEntry>& entries, const Parameters& given,
                std::vector<Problem>& problems) {
    Parameters all;
    for (const FileEntry& e : entries) {
        if (e.entry.section == "parameters" && !e.entry.key.empty()) all[e.entry.key] = e.entry.value;
    }
    for (const auto& [name, value] : given) {
        if (all.count(name) == 0) problems.push_back({path, 0, "the scenario has no parameter " + name});
        all[name] = value;
    }
    std::erase_if(entries, [](const FileEntry& e) { return e.entry.section == "parameters"; });
    for (FileEntry& e : entries) {
        std::size_t at = 0;
        while ((at = e.entry.value.find("${", at)) != std::string::npos) {
            const std::size_t to = e.entry.value.find('}', at);
            const std::string name = to == std::string::npos ? "" : e.entry.value.substr(at + 2, to - at - 2);
            const auto known = all.find(name);
            if (known == all.end()) {
                problems.push_back({e.file, e.entry.line, "there is no parameter " + name});
                break;
            }
            e.entry.value.replace(at, to + 1 - at, known->second);
            at += known->second.size();
        }
    }
}

void checkWhole(const std::string& path, const Scenario& s, std::vector<Problem>& problems) {
    const auto wrong = [&](const std::string& text) { problems.push_back({path, 0, text}); };
    if (s.classes.empty()) wrong("there is no [class NAME]");
    if (s.classes.size() > 16) wrong("more than 16 classes");
    if (s.fleet.zones.empty() || s.fleet.zones.size() > 16) wrong("1 to 16 zones");
    const auto isZone = [&](const std::string& zone) {
        return std::find(s.fleet.zones.begin(), s.fleet.zones.end(), zone) != s.fleet.zones.end();
    };
    for (const ScenarioClass& k : s.classes) {
        if (k.giveUp < k.aim) wrong("[class " + k.name + "] give_up_ms is below aim_ms");
        for (const std::string& zone : k.zones) {
            if (!isZone(zone)) wrong("[class " + k.name + "] there is no zone " + zone);
        }
    }
    for (const Fault& f : s.faults) {
        if (!f.subject.zone.empty() && !isZone(f.subject.zone)) {
            wrong("[fault " + f.name + "] there is no zone " + f.subject.zone);
        }
    }
    if (s.run.scoreFrom >= s.run.duration) wrong("[run] score_from_s is not before duration_s");
    if (s.planner.messageLeast > s.planner.messageMost)
        wrong("[planner] message_least_ms is above message_most_ms");
    if (s.planner.redialLeast > s.planner.redialMost)
        wrong("[planner] redial_least_ms is above redial_most_ms");
}

}  // namespace

const char* name(PolicyKind kind) { return kPolicies[static_cast<std::size_t>(kind)]; }
const char* name(FaultKind kind) { return kFaults[static_cast<std::size_t>(kind)]; }

std::uint32_t Scenario::zoneOf(const std::string& zone) const {
    const auto at = std::find(fleet.zones.begin(), fleet.zones.end(), zone);
    if (at == fleet.zones.end()) throw std::invalid_argument("there is no zone " + zone);
    return static_cast<std::uint32_t>(at - fleet.zones.begin());
}

Subject parseSubject(const std::string& text) {
    Subject out;
    std::string rest = text;
    const auto word = [&rest] {
        const std::size_t from = std::min(rest.find_first_not_of(' '), rest.size());
        const std::size_t to = std::min(rest.find(' ', from), rest.size());
        const std::string taken = rest.substr(from, to - from);
        rest = rest.substr(to);
        return taken;
    };
    std::string what = word();
    if (what == "zone") {
        out.what = Subject::What::zone;
        out.zone = word();
        if (out.zone.empty()) throw std::invalid_argument("a zone's name is missing");
        what = word();
        if (what.empty()) return out;
    }
    const bool one = what == "box" || what == "relay" || what == "planner";
    if (what == "box" || what == "boxes") out.what = Subject::What::boxes;
    if (what == "relay" || what == "relays") out.what = Subject::What::relays;
    if (what == "planner" || what == "planners") out.what = Subject::What::planners;
    if (out.what == Subject::What::none || (out.what == Subject::What::zone && !what.empty())) {
        throw std::invalid_argument(what + " is none of box, boxes, relay, relays, planner, planners, zone");
    }
    const std::string figure = word();
    char* end = nullptr;
    const double number = std::strtod(figure.c_str(), &end);
    const std::string unit = end;
    if (one) {
        if (figure.empty() || !unit.empty() || number < 0 || number != std::floor(number)) {
            throw std::invalid_argument(what + " needs a number from 0, as " + what + " 3");
        }
        out.number = static_cast<int>(number);
    } else if (!figure.empty()) {
        if (unit != "%" || !(number > 0) || number > 100) {
            throw std::invalid_argument(what + " needs a share, as " + what + " 20%");
        }
        out.share = number / 100;
    }
    if (!word().empty()) throw std::invalid_argument("there is too much: " + text);
    return out;
}

std::string shown(const Subject& s) {
    const char* const one[] = {"", "box", "relay", "planner", ""};
    const char* const many[] = {"", "boxes", "relays", "planners", ""};
    std::string out = s.zone.empty() ? "" : "zone " + s.zone;
    if (s.what == Subject::What::zone || s.what == Subject::What::none) return out;
    if (!out.empty()) out += ' ';
    const auto what = static_cast<std::size_t>(s.what);
    if (s.number >= 0) return out + one[what] + ' ' + std::to_string(s.number);
    char share[32];
    std::snprintf(share, sizeof share, " %.6g%%", 100 * s.share);
    return out + many[what] + share;
}

std::string shown(const Fault& f) {
    char figures[160];
    std::snprintf(figures, sizeof figures, "at_s = %.6g\nlasts_s = %.6g\nstrength = %.6g\nevery_ms = %.6g\n",
                  static_cast<double>(f.at) / 1e6, static_cast<double>(f.lasts) / 1e6, f.strength,
                  static_cast<double>(f.every) / 1e3);
    const std::string subject = shown(f.subject);
    return "[fault " + f.name + "]\nkind = " + name(f.kind) + "\n" + figures +
           (subject.empty() ? "" : "subject = " + subject + "\n");
}

Scenario parseScenario(const std::string& path, const std::string& text, const Parameters& parameters,
                       std::vector<Problem>& problems) {
    std::vector<FileEntry> entries;
    int includes = kIncludesInAll;
    gather(path, text, 0, includes, entries, problems);
    keepLast(entries, path);
    substitute(path, entries, parameters, problems);
    Scenario out;
    {
        Schema schema;
        Keys keys(schema);
        addAll(schema, keys, out);
        // By file, so that problems name the right one.
        std::vector<std::string> files;
        for (const FileEntry& e : entries) {
            if (std::find(files.begin(), files.end(), e.file) == files.end()) files.push_back(e.file);
        }
        for (const std::string& file : files) {
            std::vector<Entry> mine;
            for (const FileEntry& e : entries) {
                if (e.file == file) mine.push_back(e.entry);
            }
            schema.take(file, mine, problems);
        }
    }
    checkWhole(path, out, problems);
    if (out.name.empty()) out.name = std::filesystem::path(path).stem().string();
    return out;
}

Scenario readScenario(const std::string& path, const Parameters& parameters, std::vector<Problem>& problems) {
    std::string text;
    if (!settings::readFile(path, text, problems)) return {};
    return parseScenario(path, text, parameters, problems);
}

std::string scenarioKeys() {
    Scenario none;
    Schema schema;
    Keys keys(schema);
    addAll(schema, keys, none);
    return schema.table();
}

}  // namespace marldale::emulator
