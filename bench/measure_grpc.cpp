// make measure-grpc: the promises of the gRPC front, played and counted. Exits with 1 where one of them
// breaks.
#include <cstdio>
#include <exception>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "grpc_costs.h"
#include "scripted_planner.h"

namespace {

using marldale::bench::ScriptedPlanner;
using marldale::bench::Way;
using marldale::standin::kMs;
using marldale::standin::kSecond;
using marldale::standin::Micros;
using marldale::standin::World;
using marldale::standin::WorldSettings;

constexpr Micros kScript = 120 * kSecond, kStep = 100 * kMs;
constexpr int kMessagesMost = 12;

bool broken = false;

void promise(bool holds, const std::string& text) {
    std::printf("  %-7s %s\n", holds ? "kept" : "BROKEN", text.c_str());
    broken = broken || !holds;
}

struct Played {
    std::unique_ptr<World> world;
    std::uint64_t turns = 0, platformOrders = 0, streamOrders = 0, notHeld = 0;
};

Played play(Way way) {
    Played out;
    out.world = std::make_unique<World>(WorldSettings{}, marldale::standin::twoMinutes());
    ScriptedPlanner planner(way, *out.world);
    planner.play(kScript, kStep);
    out.turns = planner.turns();
    out.platformOrders = planner.ordersOnThePlatform();
    out.streamOrders = planner.ordersOnStreams();
    out.notHeld = planner.notHeld();
    return out;
}

std::size_t marksOf(const World& world) {
    std::size_t out = 0;
    for (const auto& marks : world.marks()) out += marks.size();
    return out;
}

void scripted() {
    std::printf(
        "1. One script over both protocols: 3 sites, 30 boxes, 150 relays, %lld s of script in steps of %lld "
        "ms\n",
        static_cast<long long>(kScript / kSecond), static_cast<long long>(kStep / kMs));
    std::map<Way, Played> played;
    std::printf("  %-20s %8s %8s %8s %7s %7s %9s %9s %9s %9s %7s\n", "way", "requests", "served", "late",
                "failed", "refused", "reserves", "marks", "platform", "streams", "double");
    for (const Way way : {Way::plain, Way::platform, Way::streams, Way::mixed}) {
        Played& p = played[way] = play(way);
        const auto& f = p.world->figures();
        std::printf("  %-20s %8llu %8llu %8llu %7llu %7llu %9llu %9zu %9llu %9llu %7llu\n",
                    marldale::bench::name(way), static_cast<unsigned long long>(f.requests),
                    static_cast<unsigned long long>(f.served), static_cast<unsigned long long>(f.late),
                    static_cast<unsigned long long>(f.failed), static_cast<unsigned long long>(f.refused),
                    static_cast<unsigned long long>(f.effects), marksOf(*p.world),
                    static_cast<unsigned long long>(p.platformOrders),
                    static_cast<unsigned long long>(p.streamOrders),
                    static_cast<unsigned long long>(f.secondEffects));
        std::fflush(stdout);
    }
    std::printf(
        "  (orders on the platform are one call for all its relays; on streams each relay's node has its "
        "own)\n");
    const World& plain = *played[Way::plain].world;
    bool doubles = false, tooMany = false;
    for (auto& [way, p] : played) {
        doubles = doubles || p.world->figures().secondEffects > 0;
        tooMany = tooMany || p.world->mostMessagesWithin(10 * kSecond) > kMessagesMost;
        if (way == Way::plain) continue;
        const std::string name = marldale::bench::name(way);
        promise(p.world->marks() == plain.marks(), name + ": identical tables at every mark of every relay");
        promise(p.world->messages() == plain.messages(),
                name + ": identical counts of messages per relay in every 10 s");
        promise(p.world->figures() == plain.figures(), name + ": every request met the same end");
    }
    promise(!doubles, "no reserve took effect twice, counted at the boxes");
    promise(!tooMany, "no relay got more than 12 messages within any 10 s");
    promise(played[Way::mixed].notHeld > 0, "a collector that reports over both at once counted once (" +
                                                std::to_string(played[Way::mixed].notHeld) +
                                                " rows left out)");
    promise(marksOf(plain) > 1000, "enough happened for this to mean something");
}

using marldale::bench::Protocol;

void costs() {
    constexpr int kRounds = 100, kRelays = 150, kChanges = 8;
    std::printf("2. Costs, by planner processes of their own\n");
    std::printf("  %-20s %9s %12s | %8s %9s %12s %12s %9s %9s\n", "way", "rows", "CPU us/row", "orders",
                "messages", "CPU us/order", "CPU us/msg", "p50 ms", "p99 ms");
    std::map<Protocol, marldale::bench::ReportCost> reports;
    std::map<Protocol, marldale::bench::OrderCost> orders;
    const auto ways = {Protocol::platform, Protocol::platformBesideGrpc, Protocol::grpc};
    for (int turn = 0; turn < 2; ++turn) {  // in turn, so that a slow moment of the machine meets all
        for (const Protocol way : ways) {
            const auto cost = marldale::bench::costOfReports(way, kRounds);
            reports[way].rows += cost.rows;
            reports[way].cpuMs += cost.cpuMs;
        }
    }
    for (const Protocol way : ways) {
        const auto& r = reports[way];
        const auto& o = orders[way] = marldale::bench::costOfOrders(way, kRelays, kChanges);
        std::printf("  %-20s %9zu %12.2f | %8zu %9zu %12.2f %12.2f %9.2f %9.2f\n", marldale::bench::name(way),
                    r.rows, r.microsPerRow(), o.orders, o.messages,
                    1000 * o.cpuMs / static_cast<double>(o.orders),
                    1000 * o.cpuMs / static_cast<double>(o.messages), o.latency(0.5), o.latency(0.99));
        std::fflush(stdout);
    }
    const double perRow = reports[Protocol::grpc].microsPerRow() / reports[Protocol::platform].microsPerRow();
    const auto &ours = orders[Protocol::grpc], &theirs = orders[Protocol::platform];
    std::printf(
        "  gRPC against the platform: CPU per row %.2f, per order %.2f, per message to a relay %.2f, from "
        "the "
        "word to the relay %.2f (p50), %.2f (p99)\n",
        perRow,
        ours.cpuMs / static_cast<double>(ours.orders) / (theirs.cpuMs / static_cast<double>(theirs.orders)),
        ours.cpuMs / static_cast<double>(ours.messages) /
            (theirs.cpuMs / static_cast<double>(theirs.messages)),
        ours.latency(0.5) / theirs.latency(0.5), ours.latency(0.99) / theirs.latency(0.99));
    const auto again = marldale::bench::rejoin(kRelays);
    std::printf(
        "  orders at a storm of joins: %zu at first, %zu when nodes have forgotten what they held, %zu when "
        "they "
        "tell it\n",
        again.first, again.forgotten, again.told);
    promise(again.told < again.forgotten, "what a node still holds is not sent again");
    promise(perRow <= 1.5, "CPU per row of a report over gRPC is no more than 1.5 times the platform's");
}

void manyStreams() {
    constexpr int kRelays = 1000;
    const auto c = marldale::bench::crowd(kRelays);
    std::printf(
        "3. %zu relays, each with a stream and a connection: %.1f MB resident (%.1f before), %.1f KiB a "
        "stream, %zu descriptors\n",
        c.asked, c.residentMb, c.idleResidentMb, c.kibPerStream(), c.descriptors);
    promise(c.bound == c.asked, "all of them are bound");
    promise(c.residentMb <= 96, "the planner stays within 96 MB");
}

void switchedOff() {
    constexpr int kStarts = 5;
    std::printf("4. Built, and switched off or on; the quickest of %d starts\n", kStarts);
    std::printf("  %-6s %12s %12s %10s %12s %8s\n", "gRPC", "resident MB", "private MB", "start ms",
                "descriptors", "threads");
    const auto off = marldale::bench::idle(false, kStarts), on = marldale::bench::idle(true, kStarts);
    for (const auto* i : {&off, &on}) {
        std::printf("  %-6s %12.1f %12.1f %10.1f %12zu %8zu\n", i == &off ? "off" : "on", i->residentMb,
                    i->anonymousMb, i->startMs, i->descriptors, i->threads);
    }
    promise(!off.mapsGrpc && on.mapsGrpc, "off: nothing of gRPC is loaded (and on, it is)");
    promise(off.threads == 2, "off: two threads, as ever");
    promise(off.descriptors < on.descriptors, "off: no descriptor for it");
    promise(off.residentMb <= 8, "off: within 8 MB of 32");
}

}  // namespace

int main() {
    try {
        scripted();
        costs();
        manyStreams();
        switchedOff();
    } catch (const std::exception& e) {
        std::printf("  BROKEN  %s\n", e.what());
        return 1;
    }
    std::printf(broken ? "A promise is broken.\n" : "All promises are kept.\n");
    return broken ? 1 : 0;
}
