// marldale knowledge: what a snapshot holds, and what differs between two.
#include <algorithm>
#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <tuple>

#include "recovery/snapshot.h"
#include "sources/stamp.h"
#include "trace_program/commands.h"

namespace marldale::trace_program {
namespace {

using recovery::Snapshot;
using recovery::SumFact;

Snapshot snapshotOf(const std::string& path) {
    std::string wrong;
    auto out = recovery::readSnapshot(path, wrong);
    if (!out) throw std::runtime_error(path + ": " + (wrong.empty() ? "there is no such file" : wrong));
    return std::move(*out);
}

const char* name(ServerState state) {
    return state == ServerState::ready ? "ready" : state == ServerState::draining ? "draining" : "gone";
}

double seconds(Micros span) { return static_cast<double>(span) / 1e6; }

using Key = std::tuple<std::string, std::string, std::string>;  // box, zone, origin
std::map<Key, SumFact> byKey(const Snapshot& snapshot) {
    std::map<Key, SumFact> out;
    for (const SumFact& f : snapshot.handover.sums) out[{f.server, f.zone, f.origin}] = f;
    return out;
}

}  // namespace

int showKnowledgeCommand(const KnowledgeAsked& asked) {
    const Snapshot snapshot = snapshotOf(asked.snapshot);
    char when[40];
    const std::string written(sources::shown(snapshot.exportedAtUs, when));
    if (asked.json) {
        nlohmann::json out{{"from", snapshot.handover.from},
                           {"written", written},
                           {"boxes", nlohmann::json::array()},
                           {"demand", nlohmann::json::array()},
                           {"sums", nlohmann::json::array()}};
        for (const auto& l : snapshot.handover.listed) {
            out["boxes"].push_back({{"box", l.server},
                                    {"state", name(l.state)},
                                    {"version", l.version},
                                    {"boot_ms", l.bootMs},
                                    {"since_s", seconds(l.since)}});
        }
        for (const SumFact& f : snapshot.handover.sums) {
            out["sums"].push_back({{"box", f.server},
                                   {"zone", f.zone},
                                   {"origin", f.origin},
                                   {"age_s", seconds(f.age)},
                                   {"tries", f.tries},
                                   {"failed", f.failed},
                                   {"mean_ms", static_cast<double>(f.mean) / 1000},
                                   {"fails_for_s", seconds(f.failsFor)},
                                   {"load", f.load}});
        }
        for (const auto& d : snapshot.handover.demand) {
            out["demand"].push_back({{"zone", d.zone},
                                     {"class", d.klass},
                                     {"origin", d.origin},
                                     {"age_s", seconds(d.age)},
                                     {"per_s", d.rate},
                                     {"proxies", d.proxies}});
        }
        std::printf("%s\n", out.dump(2).c_str());
        return kRight;
    }
    std::printf("%s wrote this at %s: %zu boxes, %zu sums\n", snapshot.handover.from.c_str(), written.c_str(),
                snapshot.handover.listed.size(), snapshot.handover.sums.size());
    for (const auto& l : snapshot.handover.listed) {
        if (l.state != ServerState::ready) {
            std::printf("  %s is %s by version %llu, since %.0f s before\n", l.server.c_str(), name(l.state),
                        static_cast<unsigned long long>(l.version), seconds(l.since));
        }
    }
    std::printf("%-24s %-12s %-12s %8s %8s %8s %10s %10s\n", "box", "from zone", "seen by", "age s", "tries",
                "failed", "mean ms", "fails for");
    for (const SumFact& f : snapshot.handover.sums) {
        std::printf("%-24s %-12s %-12s %8.1f %8u %8u %10.1f", f.server.c_str(), f.zone.c_str(),
                    f.origin.c_str(), seconds(f.age), f.tries, f.failed, static_cast<double>(f.mean) / 1000);
        std::printf(f.failsFor > 0 ? " %8.0f s\n" : "\n", seconds(f.failsFor));
    }
    if (!snapshot.handover.demand.empty()) {
        std::printf("%-24s %-12s %-12s %8s %8s %8s\n", "class", "zone", "seen by", "age s", "per s",
                    "proxies");
    }
    for (const auto& d : snapshot.handover.demand) {
        std::printf("%-24s %-12s %-12s %8.1f %8.1f %8u\n", d.klass.c_str(), d.zone.c_str(), d.origin.c_str(),
                    seconds(d.age), d.rate, d.proxies);
    }
    return kRight;
}

int diffKnowledgeCommand(const KnowledgeAsked& asked) {
    const auto one = byKey(snapshotOf(asked.snapshot)), two = byKey(snapshotOf(asked.other));
    std::size_t differ = 0;
    const auto line = [&](char sign, const SumFact& f) {
        ++differ;
        std::printf("%c %-24s %-12s %-12s %8u tries, %u failed, %.1f ms\n", sign, f.server.c_str(),
                    f.zone.c_str(), f.origin.c_str(), f.tries, f.failed, static_cast<double>(f.mean) / 1000);
    };
    for (const auto& [key, fact] : one) {
        const auto other = two.find(key);
        if (other != two.end() && other->second.version == fact.version) continue;
        line('-', fact);
        if (other != two.end()) line('+', other->second);
    }
    for (const auto& [key, fact] : two) {
        if (one.count(key) == 0) line('+', fact);
    }
    return differ == 0 ? kRight : kFailed;
}

}  // namespace marldale::trace_program
