#include "trace_program/commands.h"

#include <poll.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <thread>

#include "chart/chart.h"
#include "protocol/frames.h"
#include "replay/rehearsal.h"
#include "sources/importer.h"
#include "trace/statistics.h"
#include "transport/connection.h"

namespace marldale::trace_program {
namespace {

using sources::ImportResult;

constexpr Micros kSecond = 1000000;
constexpr int kBadShown = 10;  // on the screen; the file has them all

volatile std::sig_atomic_t interrupted = 0;
void onInterrupt(int) { interrupted = 1; }

double seconds(Micros span) { return static_cast<double>(span) / 1e6; }

std::string when(Micros at) {
    char text[40];
    return std::string(sources::shown(at, text));
}

// A moment of the record: a full time, or seconds from the trace's beginning.
Micros momentOf(const std::string& text, Micros first) {
    if (const auto stamp = sources::readAnyTime(text); stamp && text.find('-') != std::string::npos)
        return stamp->at;
    char* end = nullptr;
    const double into = std::strtod(text.c_str(), &end);
    if (text.empty() || *end != '\0' || into < 0) {
        throw std::runtime_error(
            text + " is neither a time, as 2026-12-01T20:00:00Z, nor seconds from the beginning");
    }
    return first + static_cast<Micros>(into * 1e6);
}

Micros firstOf(const std::string& path) {
    trace::Reader reader(path);
    trace::Entry entry;
    return reader.next(entry) ? entry.at : 0;
}

void tellDamage(const trace::Reader& reader) {
    if (reader.damagedBlocks() > 0) {
        std::fprintf(stderr, "%llu damaged blocks are left out\n",
                     static_cast<unsigned long long>(reader.damagedBlocks()));
    }
    if (reader.cut()) std::fprintf(stderr, "the trace is cut; what stands before is whole\n");
}

bool readRules(const std::string& path, sources::ImportSettings& into) {
    std::vector<settings::Problem> problems;
    into = sources::readImportSettings(path, problems);
    for (const auto& problem : problems) std::fprintf(stderr, "%s\n", problem.shown().c_str());
    return problems.empty();
}

unsigned long long ull(std::uint64_t value) { return value; }

void tell(const ImportResult& result) {
    for (const sources::FileTally& f : result.files) {
        std::printf(
            "%s: %llu read = %llu taken + %llu bad + %llu left out; %llu bytes = %llu + %llu + %llu\n",
            f.name.c_str(), ull(f.read), ull(f.taken), ull(f.bad), ull(f.allLeftOut()), ull(f.readBytes),
            ull(f.takenBytes), ull(f.badBytes), ull(f.leftOutBytes));
        for (std::size_t rule = 0; rule < f.leftOut.size(); ++rule) {
            if (f.leftOut[rule] == 0) continue;
            std::printf("  left out: %llu, %s\n", ull(f.leftOut[rule]),
                        sources::name(static_cast<sources::LeftOut>(rule)));
        }
        const auto& c = f.clock;
        if (c.outOfOrder + c.stepsBack + c.stepsForward + c.leapSeconds + c.spread > 0) {
            std::printf(
                "  clock: %llu out of order, %llu steps back and %llu forward (%.3f s at the end, %llu "
                "entries shifted), "
                "%llu leap seconds, %llu spread within their second\n",
                ull(c.outOfOrder), ull(c.stepsBack), ull(c.stepsForward), seconds(c.shift), ull(c.stepped),
                ull(c.leapSeconds), ull(c.spread));
        }
        for (const std::string& words : f.blind) std::printf("  can't tell: %s\n", words.c_str());
        if (f.rotations > 0) std::printf("  rotated %llu times while it was read\n", ull(f.rotations));
        if (!f.brokeOff.empty()) std::printf("  broke off: %s\n", f.brokeOff.c_str());
    }
    std::printf("%llu entries, %llu wishes, %llu further tries\n", ull(result.entries), ull(result.chains),
                ull(result.retries));
    for (const auto& [name, count] : result.byClass) {
        if (count > 0) std::printf("  %-16s %llu\n", name.c_str(), ull(count));
    }
}

// A pause between two looks at a file that grows, or the end.
std::function<bool()> goOn(int forSeconds) {
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(forSeconds);
    return [forSeconds, until] {
        if (interrupted != 0) return false;
        if (forSeconds > 0 && std::chrono::steady_clock::now() >= until) return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        return interrupted == 0;
    };
}

int judge(const ImportResult& result, double badShareMost) {
    if (!result.addsUp()) {
        std::fprintf(stderr,
                     "what was read and what became of it do not add up: nothing of this may be relied on\n");
        return kNotAddedUp;
    }
    const double share =
        result.read() == 0 ? 0 : static_cast<double>(result.bad()) / static_cast<double>(result.read());
    if (share > badShareMost) {
        std::fprintf(
            stderr,
            "%.1f%% of the entries are bad, more than the %.1f%% that [import] bad_share_most allows\n",
            100 * share, 100 * badShareMost);
        return kTooBad;
    }
    for (const auto& f : result.files) {
        if (!f.brokeOff.empty()) return kTooBad;
    }
    return kRight;
}

}  // namespace

// ---- import, classify ----

int importCommand(const ImportAsked& asked) {
    sources::ImportAsk ask;
    if (asked.follow && asked.files.size() != 1) {
        std::fprintf(stderr, "--follow reads one file; its rotations are followed too\n");
        return kMisunderstood;
    }
    if (!readRules(asked.rules, ask.settings)) return kMisunderstood;
    ask.files = asked.files;
    ask.to = asked.to;
    ask.follow = asked.follow;
    if (asked.follow) {
        std::signal(SIGINT, onInterrupt);
        std::signal(SIGTERM, onInterrupt);
        ask.goOn = goOn(asked.followForS);
    }
    std::ofstream bad;
    if (!asked.badFile.empty()) {
        bad.open(asked.badFile, std::ios::trunc);
        if (!bad) throw std::runtime_error("can't write " + asked.badFile);
    }
    std::uint64_t told = 0;
    ask.onBad = [&](const sources::BadEntry& b) {
        std::ostringstream line;
        line << b.file << ':' << b.place.line << ':' << b.place.column << ": " << b.why << " (byte "
             << b.place.offset << ", " << b.place.bytes << " bytes): " << b.excerpt;
        if (bad.is_open()) bad << line.str() << '\n';
        if (++told <= kBadShown) std::fprintf(stderr, "%s\n", line.str().c_str());
    };
    const ImportResult result = sources::importFiles(ask);
    if (told > kBadShown) {
        std::fprintf(stderr, "... and %llu more bad entries%s\n", ull(told - kBadShown),
                     bad.is_open() ? (", all in " + asked.badFile).c_str() : "; --bad FILE keeps them all");
    }
    if (bad.is_open() && !bad.flush()) throw std::runtime_error("can't write " + asked.badFile);
    tell(result);
    return judge(result, ask.settings.badShareMost);
}

int classifyCommand(const ClassifyAsked& asked) {
    sources::ImportAsk ask;
    if (!readRules(asked.rules, ask.settings)) return kMisunderstood;
    ask.files = asked.files;
    struct Seen {
        std::uint64_t count = 0;
        std::map<std::string, std::uint64_t> examples;
    };
    std::map<std::string, Seen> seen;
    ask.onEntry = [&](const trace::Entry& e, const std::string& name) {
        Seen& s = seen[name];
        ++s.count;
        const std::string what = e.method + " " + e.path + " " + std::to_string(e.answer.status);
        const auto at = s.examples.find(what);
        if (at != s.examples.end())
            ++at->second;
        else if (s.examples.size() < 1000)
            s.examples.emplace(what, 1);
    };
    const ImportResult result = sources::importFiles(ask);
    for (const std::string& name : ask.settings.rules.names()) {
        const Seen& s = seen[name];
        std::printf("%-16s %llu%s\n", name.c_str(), ull(s.count), s.count == 0 ? "  (matches nothing)" : "");
        std::vector<std::pair<std::uint64_t, std::string>> most;
        for (const auto& [what, count] : s.examples)
            most.emplace_back(count, sources::harmless(what, 0, 100));
        std::sort(most.rbegin(), most.rend());
        for (std::size_t i = 0; i < most.size() && i < static_cast<std::size_t>(asked.examples); ++i) {
            std::printf("    %8llu %s\n", ull(most[i].first), most[i].second.c_str());
        }
    }
    return judge(result, ask.settings.badShareMost);
}

// ---- show, stats ----

int showCommand(const ShowAsked& asked) {
    trace::Reader reader(asked.trace);
    const Micros first = firstOf(asked.trace);
    const Micros from = asked.from.empty() ? 0 : momentOf(asked.from, first);
    const Micros until = asked.until.empty() ? 0 : momentOf(asked.until, first);
    if (from > 0) reader.seek(from);
    trace::Entry e;
    std::uint64_t shown = 0;
    std::printf("%-27s %-14s %6s %10s %12s %5s %s\n", "start", "class", "status", "took ms", "wish", "try",
                "request");
    while (shown < asked.most && reader.next(e)) {
        if (e.at < from) continue;
        if (until > 0 && e.at >= until) break;
        if (asked.chains && e.number == 0) continue;
        ++shown;
        const std::string took =
            e.took < 0 ? "-" : std::to_string(e.took / 1000) + "." + std::to_string(e.took / 100 % 10);
        std::printf(
            "%-27s %-14s %6s %10s %12llu %5u %s\n", when(e.at).c_str(),
            reader.head().classes[e.classIndex].name.c_str(),
            e.answer.status == 0 ? attempts::name(e.answer.ended) : std::to_string(e.answer.status).c_str(),
            took.c_str(), ull(e.chain), e.number,
            sources::harmless(e.method + " " + e.host + e.path, 0, 100).c_str());
    }
    tellDamage(reader);
    return kRight;
}

namespace {

std::string sizeOf(const trace::Statistics& statistics) {
    return std::to_string(statistics.entries()) + " entries, " + std::to_string(statistics.clients()) +
           " clients, from " + when(statistics.first());
}

chart::Chart ratesOf(const trace::Statistics& statistics, double binS) {
    chart::Chart chart{"Requests by class",
                       "seconds from the beginning",
                       "requests a second",
                       sizeOf(statistics) + ", in spans of " + std::to_string(binS).substr(0, 4) + " s",
                       {},
                       false};
    for (const auto& c : statistics.classes()) {
        if (c.entries == 0) continue;
        chart::Line line{c.name, {}, true};
        for (std::size_t i = 0; i < c.bins.size(); ++i) {
            line.points.emplace_back(static_cast<double>(i) * binS, static_cast<double>(c.bins[i]) / binS);
        }
        chart.lines.push_back(std::move(line));
    }
    return chart;
}

// By quantile: gaps between two entries of a class, or durations.
chart::Chart spansOf(const trace::Statistics& statistics, bool gaps) {
    chart::Chart chart{gaps ? "Gaps between starts of a class" : "Durations",
                       "share of all, percent",
                       "milliseconds",
                       sizeOf(statistics),
                       {},
                       true};
    for (const auto& c : statistics.classes()) {
        const trace::Histogram& spans = gaps ? c.gaps : c.durations;
        if (spans.count() == 0) continue;
        chart::Line line{c.name, {}, false};
        for (int percent = 1; percent <= 100; ++percent) {
            line.points.emplace_back(percent, spans.quantile(percent / 100.0) / 1000);
        }
        chart.lines.push_back(std::move(line));
    }
    return chart;
}

chart::Chart clientsOf(const trace::Statistics& statistics) {
    chart::Chart chart{"What the busiest clients bring",   "share of clients, percent",
                       "share of entries, percent",        sizeOf(statistics),
                       {{"all classes", {{0, 0}}, false}}, false};
    for (int percent = 1; percent <= 100; ++percent) {
        chart.lines[0].points.emplace_back(percent, 100 * statistics.shareOfBusiest(percent / 100.0));
    }
    return chart;
}

chart::Chart chainsOf(const trace::Statistics& statistics) {
    chart::Chart chart{"Wishes by how many tries they have", "tries", "wishes", sizeOf(statistics), {}, true};
    for (const auto& c : statistics.classes()) {
        chart::Line line{c.name, {}, false};
        for (const auto& [tries, count] : c.chainTries)
            line.points.emplace_back(tries, static_cast<double>(count));
        if (!line.points.empty()) chart.lines.push_back(std::move(line));
    }
    return chart;
}

}  // namespace

int statsCommand(const StatsAsked& asked) {
    trace::Reader reader(asked.trace);
    trace::Statistics statistics(reader.head(), static_cast<Micros>(asked.binS * 1e6));
    trace::Entry e;
    while (reader.next(e)) statistics.add(e);
    statistics.finish();
    tellDamage(reader);
    const double span = std::max(seconds(statistics.last() - statistics.first()), 1e-6);
    if (asked.json) {
        nlohmann::json out{
            {"entries", statistics.entries()}, {"first", when(statistics.first())},
            {"last", when(statistics.last())}, {"seconds", span},
            {"clients", statistics.clients()}, {"busiest_tenth", statistics.shareOfBusiest(0.1)},
            {"blind", reader.head().blind},    {"classes", nlohmann::json::array()}};
        for (const auto& c : statistics.classes()) {
            nlohmann::json chains = nlohmann::json::object();
            for (const auto& [tries, count] : c.chainTries) chains[std::to_string(tries)] = count;
            out["classes"].push_back({{"name", c.name},
                                      {"entries", c.entries},
                                      {"rate", static_cast<double>(c.entries) / span},
                                      {"first_tries", c.firstTries},
                                      {"unknown", c.unknown},
                                      {"chains_by_tries", chains},
                                      {"gap_ms_p50", c.gaps.quantile(0.5) / 1000},
                                      {"gap_ms_p99", c.gaps.quantile(0.99) / 1000},
                                      {"took_ms_p50", c.durations.quantile(0.5) / 1000},
                                      {"took_ms_p99", c.durations.quantile(0.99) / 1000},
                                      {"bins", c.bins}});
        }
        std::printf("%s\n", out.dump(2).c_str());
    } else {
        std::printf(
            "%llu entries from %s to %s (%.1f s), %zu clients; the busiest tenth of them brings %.0f%%\n",
            ull(statistics.entries()), when(statistics.first()).c_str(), when(statistics.last()).c_str(),
            span, statistics.clients(), 100 * statistics.shareOfBusiest(0.1));
        for (const std::string& words : reader.head().blind) std::printf("can't tell: %s\n", words.c_str());
        std::printf("%-16s %9s %9s %10s %9s | %10s %10s | %10s %10s | wishes by tries\n", "class", "entries",
                    "rate /s", "first", "unknown", "gap p50", "p99 ms", "took p50", "p99 ms");
        for (const auto& c : statistics.classes()) {
            if (c.entries == 0) continue;
            std::printf("%-16s %9llu %9.2f %10llu %9llu | %10.1f %10.1f | %10.1f %10.1f |", c.name.c_str(),
                        ull(c.entries), static_cast<double>(c.entries) / span, ull(c.firstTries),
                        ull(c.unknown), c.gaps.quantile(0.5) / 1000, c.gaps.quantile(0.99) / 1000,
                        c.durations.quantile(0.5) / 1000, c.durations.quantile(0.99) / 1000);
            for (const auto& [tries, count] : c.chainTries) std::printf(" %u:%llu", tries, ull(count));
            std::printf("\n");
        }
    }
    if (!asked.plot.empty()) chart::draw(ratesOf(statistics, asked.binS), asked.plot);
    if (!asked.plots.empty()) {
        std::filesystem::create_directories(asked.plots);
        chart::draw(ratesOf(statistics, asked.binS), asked.plots + "/rates.svg");
        chart::draw(spansOf(statistics, true), asked.plots + "/gaps.svg");
        chart::draw(spansOf(statistics, false), asked.plots + "/durations.svg");
        chart::draw(clientsOf(statistics), asked.plots + "/clients.svg");
        chart::draw(chainsOf(statistics), asked.plots + "/chains.svg");
    }
    return kRight;
}

// ---- cut, merge, scale ----

int cutCommand(const CutAsked& asked) {
    const Micros first = firstOf(asked.trace);
    const Micros from = asked.from.empty() ? 0 : momentOf(asked.from, first);
    const Micros until = asked.until.empty() ? 0 : momentOf(asked.until, first);
    trace::Reader reader(asked.trace);
    trace::Writer writer(asked.to, reader.head());
    if (from > 0) reader.seek(from);
    trace::Entry e;
    while (reader.next(e) && (until == 0 || e.at < until)) {
        if (e.at >= from) writer.add(std::move(e));
    }
    writer.finish();
    tellDamage(reader);
    std::printf("%llu entries\n", ull(writer.entries()));
    return kRight;
}

int mergeCommand(const MergeAsked& asked) {
    trace::Merger merger(asked.traces);
    trace::Writer writer(asked.to, merger.head());
    trace::Entry e;
    while (merger.next(e)) writer.add(std::move(e));
    writer.finish();
    if (merger.damagedBlocks() > 0)
        std::fprintf(stderr, "%llu damaged blocks are left out\n", ull(merger.damagedBlocks()));
    std::printf("%llu entries\n", ull(writer.entries()));
    return kRight;
}

int scaleCommand(const ScaleAsked& asked) {
    attempts::ScheduleSettings settings;
    settings.shareByClass.assign(64 + 1, asked.share);
    settings.seed = asked.seed;
    const attempts::Schedule schedule(settings);
    trace::Reader reader(asked.trace);
    trace::Writer writer(asked.to, reader.head());
    trace::Entry e;
    const auto most = static_cast<std::uint64_t>(asked.share) + 1;
    while (reader.next(e)) {
        const unsigned copies = schedule.copies(e.chain, 0);
        for (unsigned copy = 0; copy < copies; ++copy) {
            trace::Entry one = e;
            // Each copy is a client and a wish of its own.
            one.chain = (e.chain - 1) * most + copy + 1;
            if (copy > 0 && one.client != 0) one.client += copy * 0x9e3779b97f4a7c15ULL;
            if (copy > 0 && one.requestId != 0) one.requestId += copy * 0x9e3779b97f4a7c15ULL;
            writer.add(std::move(one));
        }
    }
    writer.finish();
    tellDamage(reader);
    std::printf("%llu entries\n", ull(writer.entries()));
    return kRight;
}

// ---- replay ----

namespace {

bool isLoopback(const std::string& host) { return host.starts_with("127."); }

void readTargets(const ReplayAsked& asked, replay::EngineSettings& into) {
    const std::set<std::string> allowed(asked.allow.begin(), asked.allow.end());
    for (const std::string& text : asked.targets) {
        const auto at = transport::parseAddress(text);
        if (!at) throw std::runtime_error(text + " is no address, as 127.0.0.1:8080");
        if (!isLoopback(at->host) && allowed.count(text) == 0) {
            throw std::runtime_error(text +
                                     " is not loopback: name it with --allow too, if it is yours to load");
        }
        into.targets.push_back(*at);
    }
}

void readShares(const ReplayAsked& asked, const trace::Head& head, std::vector<double>& into) {
    into.assign(head.classes.size(), 1);
    for (const std::string& text : asked.shares) {
        const auto equals = text.rfind('=');
        char* end = nullptr;
        const double share = equals == std::string::npos ? -1 : std::strtod(text.c_str() + equals + 1, &end);
        const std::string name = text.substr(0, std::min(equals, text.size()));
        const auto at = std::find_if(head.classes.begin(), head.classes.end(),
                                     [&](const auto& c) { return c.name == name; });
        if (at == head.classes.end() || share < 0 || share > 100 || *end != '\0') {
            throw std::runtime_error(text +
                                     ": a share is CLASS=NUMBER from 0 to 100, with a class of the trace");
        }
        into[static_cast<std::size_t>(at - head.classes.begin())] = share;
    }
}

// What a resumed run must have in common with the one before.
std::uint64_t hashOf(const ReplayAsked& asked) {
    std::uint64_t out = 0xcbf29ce484222325ULL;  // FNV-1a
    const auto take = [&out](const std::string& text) {
        for (const char c : text + '\n') out = (out ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    };
    for (const std::string& share : asked.shares) take(share);
    take(asked.unknown);
    take(asked.tries);
    take(asked.from);
    take(asked.until);
    take(std::to_string(asked.plan.schedule.loops));
    take(std::to_string(asked.plan.schedule.seed));
    return out;
}

void write(const std::string& path, const std::string& text) {
    if (path.empty()) return;
    std::ofstream out(path, std::ios::trunc);
    out << text;
    if (!out.flush()) throw std::runtime_error("can't write " + path);
}

void plot(const std::string& path, const replay::Results& results) {
    if (path.empty()) return;
    chart::Chart chart{"Replay: sent by class", "seconds of the replay", "requests a second", "", {}, false};
    std::uint64_t sent = 0;
    for (std::size_t i = 0; i < results.classes.size(); ++i) {
        if (results.bySecond[i].empty()) continue;
        chart::Line line{results.classes[i], {}, true};
        for (const auto& [second, bin] : results.bySecond[i]) {
            line.points.emplace_back(static_cast<double>(second), static_cast<double>(bin.sent));
            sent += bin.sent;
        }
        chart.lines.push_back(std::move(line));
    }
    chart.note = std::to_string(sent) + " requests";
    chart::draw(chart, path);
}

}  // namespace

namespace {

// A box a line: its uid and its zone.
std::vector<std::pair<std::string, std::string>> boxesOf(const std::string& path) {
    std::ifstream in(path);
    if (!in) throw std::runtime_error("can't open " + path);
    std::vector<std::pair<std::string, std::string>> out;
    std::string uid, zone;
    for (std::string line; std::getline(in, line);) {
        std::istringstream words(line);
        if (!(words >> uid) || uid.starts_with('#')) continue;
        if (!(words >> zone))
            throw std::runtime_error(path + ": a line is `UID ZONE`: " + line.substr(0, 60));
        out.emplace_back(uid, zone);
    }
    return out;
}

// The zones' collectors, one connection each.
class Collectors {
public:
    Collectors(transport::Loop& loop, const transport::Address& planner,
               const std::vector<std::string>& zones) {
        for (const std::string& zone : zones) {
            transport::Connection::Handlers handlers;
            handlers.received = [](std::string_view) {};
            handlers.ended = [this, zone](transport::Ended how) {
                broken = zone + ": the planner's connection " + transport::name(how);
            };
            auto& c = byZone_[zone] = std::make_unique<transport::Connection>(
                loop, planner, transport::Millis{2000}, std::size_t{8} << 20U, std::move(handlers));
            (void)c->write(protocol::frame(nlohmann::json{{"type", "agent"}, {"site", zone}}.dump()));
        }
    }
    void tell(const replay::Rehearsal::Message& message) {
        if (!byZone_.at(message.zone)->write(protocol::frame(message.json)) && broken.empty()) {
            broken = message.zone + ": the planner does not read";
        }
    }
    void close() {
        for (auto& [zone, c] : byZone_) c->close();
    }
    std::string broken;

private:
    std::map<std::string, std::unique_ptr<transport::Connection>> byZone_;
};

// The trace as a planner's collectors tell it, at the speed asked for.
int rehearse(const ReplayAsked& asked) {
    if (!asked.targets.empty() || !asked.shares.empty() || !asked.journal.empty() ||
        asked.plan.schedule.loops != 1) {
        throw std::runtime_error(
            "--planner goes with --from, --until and --speed, and not with boxes, shares, loops or a "
            "journal");
    }
    if (asked.plannerBoxes.empty() || asked.plannerZones.empty()) {
        throw std::runtime_error("--planner needs --planner-zones and --planner-boxes");
    }
    trace::Reader reader(asked.trace);
    const Micros begins = firstOf(asked.trace);
    const Micros from = asked.from.empty() ? 0 : momentOf(asked.from, begins);
    const Micros until = asked.until.empty() ? 0 : momentOf(asked.until, begins);
    if (from > 0) reader.seek(from);
    const auto planner = transport::parseAddress(asked.planner);
    if (!planner) throw std::runtime_error(asked.planner + " is no address, as 127.0.0.1:5000");
    const std::set<std::string> allowed(asked.allow.begin(), asked.allow.end());
    if (!isLoopback(planner->host) && allowed.count(asked.planner) == 0) {
        throw std::runtime_error(asked.planner +
                                 " is not loopback: name it with --allow too, if it is yours to load");
    }
    replay::RehearsalSettings settings;
    for (const auto& c : reader.head().classes) settings.classes.push_back(c.name);
    settings.zones = asked.plannerZones;
    settings.boxes = boxesOf(asked.plannerBoxes);
    settings.relays = asked.plannerRelays;
    settings.every = static_cast<Micros>(asked.plannerEveryS * 1e6);
    replay::Rehearsal rehearsal(settings);
    transport::Loop loop;
    Collectors collectors(loop, *planner, settings.zones);
    std::uint64_t entries = 0, messages = 0;
    trace::Entry entry;
    const auto next = [&] {
        while (reader.next(entry)) {
            if (until > 0 && entry.at >= until) return false;
            if (entry.at >= from) return true;
        }
        return false;
    };
    bool has = next(), over = !has;
    const Micros first = entry.at;
    const auto start = std::chrono::steady_clock::now();
    std::string stopped;
    std::optional<transport::Timer> timer;
    const auto tell = [&](const std::vector<replay::Rehearsal::Message>& all) {
        for (const auto& m : all) collectors.tell(m);
        messages += all.size();
    };
    timer.emplace(loop, [&] {
        const auto now =
            std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - start)
                .count();
        const Micros reached =
            first + static_cast<Micros>(static_cast<double>(now) * asked.plan.schedule.speed);
        while (has && entry.at <= reached) {
            tell(rehearsal.add(entry));
            ++entries;
            has = next();
        }
        if (!has && !over) tell(rehearsal.finish());
        if (over || !collectors.broken.empty() || !stopped.empty()) return loop.stop();
        over = !has;
        timer->after(transport::Millis{over ? 200 : 5});  // what was written last is on its way
    });
    const transport::Signal interrupt(loop, SIGINT, [&] { stopped = "SIGINT"; });
    const transport::Signal terminate(loop, SIGTERM, [&] { stopped = "SIGTERM"; });
    timer->after(transport::Millis{0});
    loop.run();
    collectors.close();
    std::printf("%llu entries told in %llu messages\n", ull(entries), ull(messages));
    if (!collectors.broken.empty()) throw std::runtime_error(collectors.broken);
    return stopped.empty() ? kRight : kStopped;
}

}  // namespace

int replayCommand(ReplayAsked asked) {
    if (!asked.planner.empty()) return rehearse(asked);
    if (asked.targets.empty())
        throw std::runtime_error("name boxes with --target, or a planner with --planner");
    auto reader = std::make_unique<trace::Reader>(asked.trace);
    const trace::Head head = reader->head();
    const Micros first = firstOf(asked.trace);
    replay::PlanSettings& plan = asked.plan;
    if (!asked.from.empty()) plan.schedule.from = momentOf(asked.from, first);
    if (!asked.until.empty()) plan.schedule.until = momentOf(asked.until, first);
    plan.schedule.loopGap = static_cast<Micros>(asked.loopGapS * 1e6);
    readShares(asked, head, plan.schedule.shareByClass);
    readTargets(asked, asked.engine);
    plan.targets = asked.engine.targets.size();
    plan.tries = asked.tries == "first" ? replay::Tries::first : replay::Tries::recorded;
    plan.effects.unknown =
        asked.unknown == "once" ? attempts::UnknownPolicy::once : attempts::UnknownPolicy::leaveOut;
    plan.waitMost = static_cast<Micros>(asked.waitS * 1e6);
    asked.engine.answerWithin = static_cast<Micros>(asked.answerS * 1e6);
    asked.engine.durationMost = static_cast<Micros>(asked.durationS * 1e6);
    asked.engine.drainWithin = static_cast<Micros>(asked.drainS * 1e6);

    const bool effects =
        std::any_of(head.classes.begin(), head.classes.end(), [](const auto& c) { return c.hasEffect; });
    if (effects && asked.journal.empty()) {
        throw std::runtime_error(
            "the trace has classes that must not run twice: name a journal with --journal");
    }
    std::unique_ptr<replay::JournalFile> journal;
    if (!asked.journal.empty()) {
        journal = std::make_unique<replay::JournalFile>(
            asked.journal, asked.sync == "none" ? replay::Sync::none : replay::Sync::each);
    }
    replay::Plan playing(
        plan, head.classes, [&](trace::Entry& e) { return reader->next(e); },
        [&] { reader = std::make_unique<trace::Reader>(asked.trace); });
    std::uint64_t skip = 0;
    if (journal) {
        const std::uint64_t identity = reader->identity(), settings = hashOf(asked);
        const attempts::Resumed resumed = attempts::restoreLedger(journal->records(), playing.ledger());
        if (resumed.runs > 0 && (resumed.trace != identity || resumed.settings != settings)) {
            throw std::runtime_error(
                "the journal " + asked.journal +
                " is of another trace, or of other shares, tries, window, loops or seed");
        }
        if (resumed.finished)
            throw std::runtime_error("the journal " + asked.journal + " is of a replay that came to its end");
        skip = resumed.from;
        journal->append(
            {{attempts::JournalRecord::Kind::run, {}, identity, 0, static_cast<std::int64_t>(settings)}},
            true);
    }
    std::vector<std::string> names;
    for (const auto& c : head.classes) names.push_back(c.name);
    replay::Results results(names);
    transport::Loop loop;
    std::function<void(const std::string&)> progress;
    if (!asked.quiet && isatty(STDERR_FILENO) != 0) {
        progress = [](const std::string& text) { std::fprintf(stderr, "\r%-78s", text.c_str()); };
    }
    replay::Engine engine(loop, asked.engine, playing, results, journal.get(), progress);
    const transport::Signal interrupt(loop, SIGINT, [&] { engine.stop("SIGINT"); });
    const transport::Signal terminate(loop, SIGTERM, [&] { engine.stop("SIGTERM"); });
    const replay::Summary summary = engine.run(skip);
    if (progress) std::fprintf(stderr, "\n");
    tellDamage(*reader);
    std::printf("%s", replay::resultsText(results, playing.figures(), summary).c_str());
    write(asked.results, replay::resultsJson(results, playing.figures(), summary));
    write(asked.csv, replay::resultsCsv(results));
    plot(asked.plot, results);
    return summary.stopped ? kStopped : kRight;
}

}  // namespace marldale::trace_program
