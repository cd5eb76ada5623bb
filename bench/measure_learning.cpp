// make measure-learning: what a planner that restarts gains from what was known, and SWIM's figures. Exits
// with 1 where a promise breaks.
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <map>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

#include "learning_rig.h"
#include "recovery/snapshot.h"
#include "standin/peer_network.h"

namespace {

using marldale::bench::LearningAsk;
using marldale::bench::Learnt;
using marldale::bench::LearntAll;
using marldale::standin::kSecond;
using marldale::standin::Micros;
using marldale::standin::PeerNetwork;

bool broken = false;
void promise(bool holds, const char* text) {
    std::printf("  %-7s %s\n", holds ? "kept" : "BROKEN", text);
    std::fflush(stdout);
    broken = broken || !holds;
}

double middle(std::vector<double> values) {
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

struct Size {
    int boxesPerSite, relaysPerSite, seeds;
    double requestsPerS;
};

// Each seed on its own: they share nothing. No more at once than there are cores.
std::vector<LearntAll> all(LearningAsk ask, int seeds) {
    std::vector<LearntAll> out(static_cast<std::size_t>(seeds));
    std::atomic<int> next = 0;
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < std::max(1U, std::thread::hardware_concurrency()); ++i) {
        threads.emplace_back([&] {
            for (int n = next++; n < seeds; n = next++) {
                LearningAsk mine = ask;
                mine.seed = static_cast<std::uint64_t>(n + 1);
                out[static_cast<std::size_t>(n)] = marldale::bench::restarts(mine);
            }
        });
    }
    for (auto& thread : threads) thread.join();
    return out;
}

void starts() {
    std::printf(
        "1. One of two planners restarts while a fifth of the boxes fail at once and two are released; "
        "another "
        "fifth had\n   failed until a minute before. Its own list comes 3 s late. Times until no second is "
        "5%% "
        "below the steady state.\n");
    std::printf("  %5s %6s %5s %-22s | %9s %9s | %9s %9s | %8s %6s %5s\n", "boxes", "relays", "seeds",
                "start", "good p50", "worst", "fail p50", "worst", "bytes", "sums", "held");
    bool bad = false, twice = false;
    for (const Size& size : {Size{10, 20, 20, 200}, Size{40, 50, 20, 800}, Size{180, 190, 20, 1800}}) {
        LearningAsk ask;
        ask.boxesPerSite = size.boxesPerSite;
        ask.relaysPerSite = size.relaysPerSite;
        ask.requestsPerS = size.requestsPerS;
        const std::vector<LearntAll> runs = all(ask, size.seeds);
        double good[4], failed[4];
        for (int kind = 0; kind < 4; ++kind) {
            std::vector<double> times, shares;
            const Learnt* last = nullptr;
            for (const LearntAll& run : runs) {
                const Learnt& l = run.by[kind];
                times.push_back(l.goodAfterS);
                shares.push_back(100 * l.failed);
                // A donor that is a minute behind knows nothing of what drains now.
                bad = bad || (kind > 0 && l.badLines > 0);
                twice = twice || l.secondEffects > 0;
                last = &l;
            }
            good[kind] = middle(times);
            failed[kind] = middle(shares);
            std::printf("  %5d %6d %5d %-22s | %7.2f s %7.2f s | %8.2f%% %8.2f%% | %8zu %6zu %5zu\n",
                        3 * size.boxesPerSite, 3 * size.relaysPerSite, size.seeds,
                        name(static_cast<marldale::bench::Start>(kind)), good[kind],
                        *std::max_element(times.begin(), times.end()), failed[kind],
                        *std::max_element(shares.begin(), shares.end()), last->handedBytes, last->recalled,
                        last->heldBack);
            std::fflush(stdout);
        }
        promise(good[1] <= good[0] / 3 && good[2] <= good[0] / 3,
                "warm takes at most a third of cold, from a peer and from a snapshot, in the middle of all "
                "seeds");
        promise(failed[3] <= failed[0] * 1.1,
                "a peer that is a minute behind does no harm: a tenth above cold at most");
    }
    promise(!bad, "no line was given of a box that the list calls gone, or that the donor saw draining");
    promise(!twice, "no reserve took effect twice");
}

double msSince(std::chrono::steady_clock::time_point start) {
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
}

// What a handover costs the donor and the asker, on this machine; and a snapshot.
void costs() {
    using marldale::recovery::Knowledge;
    std::printf("2. A handover of two origins' facts, seen from three zones: the best of 20\n");
    std::printf("  %6s %8s %9s | %10s %10s %10s %10s %10s\n", "boxes", "facts", "bytes", "copy ms",
                "encode ms", "decode ms", "merge ms", "file ms");
    const std::string file =
        (std::filesystem::temp_directory_path() / ("marldale-measure-" + std::to_string(getpid()))).string();
    bool whole = true;
    for (const int boxes : {30, 540, 5400}) {
        std::map<std::string, Knowledge::ListedServer> list;
        for (int i = 0; i < boxes; ++i) list["box-" + std::to_string(i)] = {marldale::ServerState::ready, 5};
        marldale::recovery::KnowledgeRules rules;
        Knowledge donor("n1", 1, rules), other("n2", 1, rules);
        for (Knowledge* k : {&other, &donor}) {
            k->updateList(1, list, 0);
            for (int i = 0; i < boxes; ++i) {
                for (const char* zone : {"a", "b", "c"}) {
                    k->recordOutcomes({"box-" + std::to_string(i), zone, 5,
                                       30 + static_cast<std::uint32_t>(i % 40), 1, 90000 + i * 17},
                                      0);
                }
            }
        }
        (void)donor.merge(other.handOver(0), 0, 0);
        double copy = 1e9, encode = 1e9, decode = 1e9, merge = 1e9, save = 1e9;
        std::string bytes, wrong;
        std::size_t facts = 0;
        for (int round = 0; round < 20; ++round) {
            auto start = std::chrono::steady_clock::now();
            const auto handover = donor.handOver(kSecond);
            copy = std::min(copy, msSince(start));
            start = std::chrono::steady_clock::now();
            bytes = marldale::recovery::encode(handover);
            encode = std::min(encode, msSince(start));
            start = std::chrono::steady_clock::now();
            const auto back = marldale::recovery::decode(bytes, wrong);
            decode = std::min(decode, msSince(start));
            Knowledge asker("n3", 1, rules);
            asker.updateList(1, list, 0);
            start = std::chrono::steady_clock::now();
            facts = asker.merge(*back, 0, kSecond).merged;
            merge = std::min(merge, msSince(start));
            start = std::chrono::steady_clock::now();
            marldale::recovery::writeSnapshot(file, {handover, 1});
            save = std::min(save, msSince(start));
        }
        whole = whole && facts == static_cast<std::size_t>(boxes) * 6;
        std::printf("  %6d %8zu %9zu | %10.2f %10.2f %10.2f %10.2f %10.2f\n", boxes, facts, bytes.size(),
                    copy, encode, decode, merge, save);
    }
    std::filesystem::remove(file);
    std::printf("  (the donor's fronts wait for the copy at most, its module's thread for nothing)\n");
    promise(whole, "every fact arrives");
}

void members() {
    std::printf("3. SWIM, virtual time, a period of 1 s: one member of each network vanishes\n");
    std::printf("  %9s %6s %12s %12s %28s %14s\n", "instances", "loss", "known p50 s", "to all s",
                "false deaths, /instance hour", "messages /s");
    bool found = true;
    double falseWithoutLoss = 0;
    for (const int count : {5, 25, 100}) {
        for (const double loss : {0.0, 0.05, 0.2}) {
            PeerNetwork net(count, loss, 42);
            net.run(60 * kSecond);
            net.takeEvents();
            const std::size_t sentBefore = net.sent;
            net.run(120 * kSecond);  // nobody is gone: whoever is called dead is so falsely
            const double hours = 120.0 / 3600 * count;
            const double wrongly =
                static_cast<double>(net.count(marldale::membership::PeerEvent::Kind::died)) / hours;
            const double rate = static_cast<double>(net.sent - sentBefore) / 120 / count;
            net.takeEvents();
            const Micros at = net.now;
            net.kill("n2");
            net.run(60 * kSecond);
            std::vector<double> when;
            for (const auto& [time, by, e] : net.events) {
                if (e.kind == marldale::membership::PeerEvent::Kind::died && e.name == "n2") {
                    when.push_back(static_cast<double>(time - at) / kSecond);
                }
            }
            const bool all = when.size() >= static_cast<std::size_t>(count - 1);
            found = found && (all || loss > 0.1);
            if (loss == 0) falseWithoutLoss += wrongly;
            std::printf("  %9d %5.0f%% %12.1f %12.1f %28.2f %14.1f\n", count, 100 * loss,
                        when.empty() ? 0 : middle(when),
                        when.empty() ? 0 : *std::max_element(when.begin(), when.end()), wrongly, rate);
            std::fflush(stdout);
        }
    }
    promise(found, "all others know of it within 60 s, up to a loss of 5%");
    promise(falseWithoutLoss == 0, "without loss nobody is taken for dead who is there");
}

}  // namespace

int main() {
    try {
        starts();
        costs();
        members();
    } catch (const std::exception& e) {
        std::printf("  BROKEN  %s\n", e.what());
        return 1;
    }
    std::printf(broken ? "A promise is broken.\n" : "All promises are kept.\n");
    return broken ? 1 : 0;
}
