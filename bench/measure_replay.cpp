// make measure-replay: the promises of recorded traffic and its replay, played and counted. Exits with 1
// where one of them breaks. An argument: the megabytes of the large file (200; the promise is made for 1,024,
// out of CI).
#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <pcg_random.hpp>
#include <set>
#include <thread>

#include "sources/importer.h"
#include "standin/http_box.h"
#include "standin/surge_log.h"
#include "trace/file.h"

namespace {

using namespace marldale;  // the program's own file
using Clock = std::chrono::steady_clock;

bool broken = false;
void promise(bool holds, const std::string& text) {
    std::printf("  %-7s %s\n", holds ? "kept" : "BROKEN", text.c_str());
    std::fflush(stdout);
    broken = broken || !holds;
}
std::string figure(double value, int digits = 2) {
    char out[40];
    std::snprintf(out, sizeof out, "%.*f", digits, value);
    return out;
}

class Directory {
public:
    Directory() : path_(std::filesystem::temp_directory_path() / "marldale-replay-XXXXXX") {
        if (mkdtemp(path_.data()) == nullptr) throw std::runtime_error("no directory");
    }
    ~Directory() {
        std::error_code ignored;
        std::filesystem::remove_all(path_, ignored);
    }
    [[nodiscard]] std::string operator/(const std::string& name) const { return path_ + "/" + name; }

private:
    std::string path_;
};

// marldale_trace as a process.
class Tool {
public:
    Tool(const std::vector<std::string>& words, const std::string& output) {
        pid_ = fork();
        if (pid_ != 0) return;
        const int out = open(output.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
        dup2(out, STDOUT_FILENO);
        dup2(out, STDERR_FILENO);
        std::vector<char*> arguments = {const_cast<char*>(MARLDALE_TRACE_PROGRAM)};
        for (const std::string& word : words) arguments.push_back(const_cast<char*>(word.c_str()));
        arguments.push_back(nullptr);
        execv(MARLDALE_TRACE_PROGRAM, arguments.data());
        _exit(127);
    }
    void killNow() const { kill(pid_, SIGKILL); }
    // Its status, or minus the signal that ended it.
    int wait() {
        int status = 0;
        // The system's own count of a child begins with what its parent held.
        while (waitpid(pid_, &status, WNOHANG) == 0) {
            std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
            for (std::string line; std::getline(in, line);) {
                if (line.starts_with("VmHWM:")) peakMb_ = std::strtod(line.c_str() + 6, nullptr) / 1024;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(3));
        }
        return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }
    [[nodiscard]] double peakMb() const { return peakMb_; }

private:
    pid_t pid_ = 0;
    double peakMb_ = 0;
};

std::string textOf(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
}
void write(const std::string& path, const std::string& text) {
    std::ofstream(path, std::ios::binary) << text;
}

void run(const std::vector<std::string>& words, const std::string& output, int expected = 0) {
    const int status = Tool(words, output).wait();
    if (status != expected) {
        throw std::runtime_error("marldale_trace " + words[0] + " " + words[1] + " ended with " +
                                 std::to_string(status) + ": " + textOf(output).substr(0, 600));
    }
}

std::string logText(const standin::SurgeLog& log) {
    std::string out;
    for (const auto& line : log.lines) out += line.text + "\n";
    return out;
}

std::vector<trace::Entry> entriesOf(const std::string& path) {
    trace::Reader reader(path);
    std::vector<trace::Entry> out;
    trace::Entry e;
    while (reader.next(e)) out.push_back(e);
    return out;
}

std::string classOf(const std::string& path) { return path.substr(1, path.find('/', 1) - 1); }

// ---- 1. Rates ----

void rates(const Directory& at) {
    constexpr double kSpeed = 25;
    constexpr std::int64_t kBin = 10 * 1000000;
    standin::SurgeSettings settings;
    const auto log = standin::surge(settings);
    write(at / "surge.log", logText(log));
    write(at / "rules.ini", standin::surgeRules(log));
    run({"trace", "import", at / "surge.log", "--to", at / "surge.trace", "--rules", at / "rules.ini"},
        at / "out");
    const auto entries = entriesOf(at / "surge.trace");
    // What the rules let through: of a booking the first try whose outcome was recorded.
    std::map<std::string, std::map<std::int64_t, int>> wanted;
    std::set<std::uint64_t> booked;
    std::vector<std::int64_t> intended;
    for (const auto& e : entries) {
        const std::string name = classOf(e.path);
        if (name == "reserve") {
            const bool known = attempts::effectOf(e.answer, true) != attempts::Effect::unknown;
            if (!known || !booked.insert(e.chain).second) continue;
        }
        ++wanted[name][(e.at - entries.front().at) / kBin];
        intended.push_back(e.at - entries.front().at);
    }
    standin::HttpBox box([](const standin::Arrived&) { return standin::Manner{}; });
    run({"replay", at / "surge.trace", "--target", box.address(), "--speed", figure(kSpeed), "--journal",
         at / "j1", "--rate-most", "50000", "--in-flight-most", "4000", "--results", at / "r.json",
         "--quiet"},
        at / "out");
    std::map<std::string, std::map<std::int64_t, int>> got;
    const auto arrived = box.arrived();
    // The box does not know when the replay began: it is what makes the middle of all arrivals punctual.
    std::vector<std::int64_t> begins;
    for (std::size_t i = 0; i < std::min(arrived.size(), intended.size()); ++i) {
        begins.push_back(arrived[i].atUs - std::llround(static_cast<double>(intended[i]) / kSpeed));
    }
    std::nth_element(begins.begin(), begins.begin() + static_cast<std::ptrdiff_t>(begins.size() / 2),
                     begins.end());
    const std::int64_t first = begins[begins.size() / 2];
    for (const auto& a : arrived) {
        const double into = std::max(0.0, static_cast<double>(a.atUs - first) * kSpeed);
        ++got[classOf(a.path)][static_cast<std::int64_t>(into) / kBin];
    }
    std::printf("1. A surge of %d s, %zu lines, %d clients, played %.0f times as fast against a stand-in\n",
                settings.seconds, log.lines.size(), settings.clients, kSpeed);
    std::printf("  %-14s %9s %9s %14s\n", "class", "wanted", "arrived", "worst 10 s");
    for (const auto& [name, bins] : wanted) {
        int all = 0, came = 0, over = 0;
        double worst = 0;
        for (const auto& [bin, count] : bins) {
            const int here = got[name][bin];
            all += count;
            came += here;
            const double off = std::abs(here - count);
            worst = std::max(worst, off / count);
            // A request more or less on either side of a border is no rate.
            if (off > std::max(0.02 * count, 2.0)) ++over;
        }
        std::printf("  %-14s %9d %9d %13.2f%%\n", name.c_str(), all, came, 100 * worst);
        promise(over == 0, name + ": within 2% (or 2 requests) in every 10 s of the log");
        promise(std::abs(came - all) <= 0.005 * all, name + ": within 0.5% overall");
    }
    const std::string json = textOf(at / "r.json");
    double late = 0;
    for (std::size_t from = json.find("\"lateness_ms\""); from != std::string::npos;
         from = json.find("\"lateness_ms\"", from + 1)) {
        const auto p99 = json.find("\"p99\":", from);
        late = std::max(late, std::strtod(json.c_str() + p99 + 6, nullptr));
    }
    std::printf("  sent late by %.2f ms at the 99th percentile\n", late);
    promise(late < 50, "pacing: 99% of all requests go within 50 ms of their time");
}

// ---- 2. Bookings over kills ----

void bookings(const Directory& at) {
    standin::SurgeSettings settings;
    settings.seed = 2;
    settings.seconds = 240;
    settings.unknownShare = 0.0667;  // of bookings: 1% of all entries
    settings.wishInPath = true;
    const auto log = standin::surge(settings);
    write(at / "b.log", logText(log));
    write(at / "b.ini", standin::surgeRules(log));
    run({"trace", "import", at / "b.log", "--to", at / "b.trace", "--rules", at / "b.ini"}, at / "out");
    pcg32 random(9, 1);
    std::map<std::string, int> byWish;
    // It loses answers, fails before and after it has run, refuses, and is slow.
    standin::HttpBox box([&](const standin::Arrived& a) {
        standin::Manner m;
        m.delayMs = static_cast<int>(random(40));
        if (classOf(a.path) == "reserve") {
            switch (random(20)) {
                case 0: m.status = 504; break;     // it has run
                case 1: m.answers = false; break;  // it has run, and nobody hears of it
                case 2: m = {429, 1, false, true, ""}; break;
                case 3: m = {500, 1, false, true, ""}; break;
                default: break;
            }
            if (m.runs) ++byWish[a.path];
        }
        return m;
    });
    const std::vector<std::string> words = {"replay",           at / "b.trace", "--target",    box.address(),
                                            "--speed",          "40",           "--journal",   at / "j2",
                                            "--in-flight-most", "2000",         "--rate-most", "20000",
                                            "--quiet",          "--unknown",    "once"};
    int kills = 0;
    for (const int ms : {900, 1500, 1200}) {
        Tool tool(words, at / "out");
        std::this_thread::sleep_for(std::chrono::milliseconds(ms));
        tool.killNow();
        kills += tool.wait() == -SIGKILL ? 1 : 0;
    }
    run(words, at / "out");
    int effects = 0, second = 0;
    for (const auto& [wish, count] : byWish) {
        effects += count;
        second += count > 1 ? 1 : 0;
    }
    std::set<std::uint64_t> wishes;
    for (const auto& line : log.lines) {
        if (line.className == "reserve") wishes.insert(line.wish);
    }
    std::printf(
        "2. %zu bookings, a box that fails, loses answers and refuses, the replayer killed %d times and "
        "resumed\n",
        wishes.size(), kills);
    std::printf("  %d bookings made, %d made twice\n", effects, second);
    promise(kills == 3, "it was killed three times while it played");
    promise(second == 0, "no booking was made twice, counted at the box by the true wish");
    promise(effects > static_cast<int>(wishes.size()) * 8 / 10, "and most were made");
    const int status = Tool(words, at / "out").wait();
    promise(status == 1, "a replay that came to its end is not played again from its journal");
}

// ---- 3. Faults ----

void faults(const Directory& at) {
    standin::SurgeSettings settings;
    settings.seed = 3;
    settings.seconds = 120;
    const auto log = standin::surge(settings);
    pcg32 random(4, 1);
    std::string text;
    std::map<std::size_t, std::size_t> injected;  // kind by line
    std::size_t number = 0, kind = 0;
    for (const auto& line : log.lines) {
        ++number;
        if (random(10) == 0) {
            injected[number] = kind;
            text += standin::spoilt(line.text, kind++) + "\n";
        } else {
            text += line.text + "\n";
        }
    }
    write(at / "f.log", text);
    write(at / "f.ini", standin::surgeRules(log) + "[import]\nbad_share_most = 1\n");
    run({"trace", "import", at / "f.log", "--to", at / "f.trace", "--rules", at / "f.ini", "--bad",
         at / "f.bad"},
        at / "out");
    std::set<std::size_t> told;
    std::ifstream bad(at / "f.bad");
    for (std::string line; std::getline(bad, line);) {
        const auto name = line.find("f.log:");
        if (name != std::string::npos) told.insert(std::strtoul(line.c_str() + name + 6, nullptr, 10));
    }
    std::size_t found = 0, wrongly = 0;
    std::set<std::size_t> missed;
    for (const auto& [line, which] : injected)
        told.count(line) != 0 ? (void)++found : (void)missed.insert(which);
    for (const std::size_t line : told) wrongly += injected.count(line) == 0 ? 1 : 0;
    std::printf("3. %zu faults of %zu kinds in %zu lines: %zu found, %zu good lines reported\n",
                injected.size(), std::min(kind, standin::faultKinds()), log.lines.size(), found, wrongly);
    for (const std::size_t which : missed) std::printf("  missed: kind %zu\n", which % standin::faultKinds());
    promise(found == injected.size(), "every fault is reported at its line");
    promise(wrongly == 0, "no good line is");
    promise(entriesOf(at / "f.trace").size() == log.lines.size() - injected.size(),
            "and all good lines are taken");
}

// ---- 4. Speed and memory ----

struct Nothing : sources::Sink {
    std::uint64_t seen = 0;
    void entry(const sources::Place&, const sources::Record&) override { ++seen; }
    void bad(const sources::Place&, std::string_view, std::string_view) override {}
    void leftOut(const sources::Place&, sources::LeftOut) override {}
};

template <class Task>
double secondsOf(const Task& task) {
    double best = 1e9;
    for (int i = 0; i < 3; ++i) {
        const auto start = Clock::now();
        task();
        best = std::min(best, std::chrono::duration<double>(Clock::now() - start).count());
    }
    return best;
}

double splitting(const std::string& path) {
    return secondsOf([&] {
        auto source = sources::openSource(path);
        sources::LineSplitter lines(*source);
        sources::Line line;
        while (lines.next(line)) {
        }
    });
}

std::string combinedOf(std::size_t megabytes) {
    std::string out;
    char line[300];
    pcg32 random(5, 1);
    for (int i = 0; out.size() < megabytes << 20U; ++i) {
        std::snprintf(
            line, sizeof line,
            "10.0.%u.%u - - [10/Oct/2026:%02d:%02d:%02d +0000] \"GET /image/%u HTTP/1.1\" 200 %u \"-\" "
            "\"Mozilla/5.0 (X11; Linux x86_64; rv:140.0) Gecko/20100101 Firefox/140.0\"\n",
            random(256), random(256), i / 360000 % 24, i / 6000 % 60, i / 100 % 60, random(5000),
            random(100000));
        out += line;
    }
    return out;
}

std::string harOf(std::size_t megabytes) {
    std::string out = "{\"log\":{\"version\":\"1.2\",\"entries\":[\n";
    char entry[700];
    pcg32 random(6, 1);
    for (int i = 0; out.size() < megabytes << 20U; ++i) {
        std::snprintf(entry, sizeof entry,
                      "%s{\"startedDateTime\": \"2026-10-10T%02d:%02d:%02d.%03dZ\",\n \"time\": %u.5,\n "
                      "\"request\": {\"method\": \"GET\", "
                      "\"url\": \"https://archive/image/%u\", \"httpVersion\": \"HTTP/1.1\",\n  \"headers\": "
                      "[{\"name\": \"Accept\", \"value\": "
                      "\"image/*\"}], \"queryString\": [], \"headersSize\": 120, \"bodySize\": 0},\n "
                      "\"response\": {\"status\": 200, "
                      "\"statusText\": \"OK\", \"headers\": [], \"content\": {\"size\": %u, \"mimeType\": "
                      "\"image/fits\"}, \"bodySize\": -1},\n "
                      "\"cache\": {}, \"timings\": {\"send\": 0.1, \"wait\": 30, \"receive\": 4}}",
                      i == 0 ? "" : ",\n", i / 360000 % 24, i / 6000 % 60, i / 100 % 60, i % 100 * 10,
                      random(200), random(5000), random(100000));
        out += entry;
    }
    return out + "]}}\n";
}

void speed(const Directory& at, std::size_t large) {
    write(at / "c.log", combinedOf(32));
    write(at / "c.har", harOf(16));
    std::string wrong;
    const double plainLog = splitting(at / "c.log"), plainHar = splitting(at / "c.har");
    Nothing nothing;
    const double log = secondsOf([&] {
        auto source = sources::openSource(at / "c.log");
        const auto format = sources::byFormat(*sources::LogFormat::compile("combined", wrong));
        sources::LineReader(*source, *format, 0).read(nothing);
    });
    const double har = secondsOf([&] {
        auto source = sources::openSource(at / "c.har");
        (void)sources::readHar(*source, 0, nothing);
    });
    std::printf(
        "4. Reading against plainly splitting into lines: Combined %.1f times (%.0f MB/s), HAR %.1f times "
        "(%.0f MB/s)\n",
        log / plainLog, 32 / log, har / plainHar, 16 / har);
    promise(nothing.seen > 100000, "all of it was read");
    const auto peak = [&](std::size_t megabytes) {
        write(at / "m.log", combinedOf(megabytes));
        Tool tool({"trace", "import", at / "m.log", "--to", at / "m.trace"}, at / "out");
        if (tool.wait() != 0)
            throw std::runtime_error("an import failed: " + textOf(at / "out").substr(0, 300));
        return tool.peakMb();
    };
    const double small = peak(10), big = peak(large);
    std::printf("  an import's peak memory: %.1f MB at 10 MB of input, %.1f MB at %zu MB\n", small, big,
                large);
    promise(big <= small * 1.1, "memory is the same within 10% whatever the size");
}

// ---- 5. Chains ----

struct Chains {
    double precision = 0, recall = 0;
};
Chains chains(const Directory& at, bool ids) {
    standin::SurgeSettings settings;
    settings.seed = 6;
    settings.requestIds = ids;
    const auto log = standin::surge(settings);
    write(at / "t.log", logText(log));
    write(at / "t.ini", standin::surgeRules(log));
    run({"trace", "import", at / "t.log", "--to", at / "t.trace", "--rules", at / "t.ini"}, at / "out");
    // Truth and trace are matched by start (to the millisecond that the log tells) and path.
    std::map<std::pair<std::int64_t, std::string>, std::vector<std::uint64_t>> truth;
    for (const auto& line : log.lines) {
        const auto from = line.text.find('"');
        const auto path = line.text.find(' ', from) + 1;
        truth[{line.startUs / 2000, line.text.substr(path, line.text.find(' ', path) - path)}].push_back(
            line.wish);
    }
    std::map<std::uint64_t, std::vector<std::uint64_t>> byChain, byWish;
    std::uint64_t unmatched = 0;
    for (const auto& e : entriesOf(at / "t.trace")) {
        std::uint64_t wish = 0;
        for (const std::int64_t near : {0, -1, 1}) {
            const auto found = truth.find({e.at / 2000 + near, e.path});
            if (found == truth.end() || found->second.empty()) continue;
            wish = found->second.back();
            found->second.pop_back();
            break;
        }
        if (wish == 0) {
            ++unmatched;
            continue;
        }
        byChain[e.chain].push_back(wish);
        byWish[wish].push_back(e.chain);
    }
    if (unmatched > log.lines.size() / 200)
        throw std::runtime_error("entries can't be matched with the truth");
    const auto pairs = [](const std::vector<std::uint64_t>& all, std::uint64_t& same) {
        std::uint64_t out = 0;
        for (std::size_t i = 0; i < all.size(); ++i) {
            for (std::size_t j = i + 1; j < all.size(); ++j) {
                ++out;
                same += all[i] == all[j] ? 1 : 0;
            }
        }
        return out;
    };
    std::uint64_t joined = 0, rightly = 0, meant = 0, kept = 0;
    for (const auto& [chain, wishes] : byChain) joined += pairs(wishes, rightly);
    for (const auto& [wish, in] : byWish) meant += pairs(in, kept);
    return {static_cast<double>(rightly) / static_cast<double>(joined),
            static_cast<double>(kept) / static_cast<double>(meant)};
}

void chainsAll(const Directory& at) {
    const Chains with = chains(at, true), without = chains(at, false);
    std::printf(
        "5. Tries joined into wishes, by pairs: with request ids precision %.4f, recall %.4f; without %.4f, "
        "%.4f\n",
        with.precision, with.recall, without.precision, without.recall);
    promise(with.precision > 0.999 && with.recall > 0.999, "with request ids all are joined rightly");
    promise(without.precision > 0.98 && without.recall > 0.95,
            "without, 98% of the joins are right and 95% are found");
}

}  // namespace

int main(int argc, char** argv) {
    try {
        const Directory at;
        rates(at);
        bookings(at);
        faults(at);
        speed(at, argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 200);
        chainsAll(at);
    } catch (const std::exception& e) {
        std::printf("  BROKEN  %s\n", e.what());
        return 1;
    }
    std::printf(broken ? "A promise is broken.\n" : "All promises are kept.\n");
    return broken ? 1 : 0;
}
