// Tests of the decision module at full size: hundreds of servers and proxies, and a channel that is small for
// them.
#include <algorithm>
#include <limits>

#include "support/fleet.h"

namespace marldale::test {
namespace {

using enum ServerState;

constexpr int kServers = 300, kProxies = 100;

ZoneId zoneOf(ServerId id) { return static_cast<ZoneId>(id % 2); }

Settings bigSettings() {
    Settings s = calmSettings();
    s.proxies = 500;
    s.planners = 5;
    s.pushRate = 5500;
    s.backlogLines = 5500;
    s.messagesMost = 12;
    s.messagesOver = 10 * kSecond;
    return s;
}
std::vector<ListEntry> bigList(ServerState state = ready, int from = 0, int to = kServers, Micros boot = 0) {
    std::vector<ListEntry> out;
    for (int i = from; i < to; ++i) {
        const auto id = static_cast<ServerId>(i);
        out.push_back(server(id, zoneOf(id), state, boot));
    }
    return out;
}
std::vector<Event> bigJoin(int count = kProxies) {
    std::vector<Event> out;
    for (int i = 0; i < count; ++i) {
        out.push_back(
            ProxyJoined{static_cast<ProxyId>(i), static_cast<ZoneId>(i % 2), 1.0 + i, true});  // rising rates
    }
    return out;
}
Rig boundRig(Settings s = bigSettings()) {
    Rig rig(std::move(s));
    rig.list(bigList());
    rig.turn(bigJoin());
    rig.run(8 * kSecond);
    return rig;
}
// Channel lines that the binds of the latest turn take.
double linesOfBinds(const Rig& rig, double head) {
    double lines = 0;
    std::set<ProxyId> reached;
    for (const Action& a : rig.last) {
        const auto* b = std::get_if<Bind>(&a);
        if (b == nullptr) continue;
        reached.insert(b->proxy);
        const auto levels = rig.levels.find(b->table);
        lines += 1 + static_cast<double>(rig.tables.at(b->table).size()) +
                 static_cast<double>(levels == rig.levels.end() ? 0 : levels->second.size());
    }
    return lines + static_cast<double>(reached.size()) * (head + 1);
}
std::size_t boundCount(const Rig& rig) { return rig.bound.size(); }
const std::map<ServerId, float>& tableFor(const Rig& rig, ProxyId p) { return rig.tables.at(rig.tableOf(p)); }

std::set<ServerId> serversInTables(const Rig& rig) {  // in any proxy's table
    std::set<ServerId> seen;
    for (ProxyId p = 0; p < kProxies; ++p) {
        for (const auto& [id, weight] : tableFor(rig, p)) seen.insert(id);
    }
    return seen;
}
void expectOwnZoneOnly(const Rig& rig, ProxyId p) {
    for (const auto& [id, weight] : tableFor(rig, p)) EXPECT_EQ(zoneOf(id), p % 2);
}

// The first bind of all proxies took several times the allowed backlog.
TEST(Scale, HundredsOfJoinsInOneTurnStayWithinTheBacklog) {
    Settings s = bigSettings();
    s.backlogLines = 1200;
    Rig rig(s);
    rig.list(bigList());
    rig.answers = false;
    double lines = 0;
    rig.turn(bigJoin());
    lines += linesOfBinds(rig, s.envelopeLines);
    EXPECT_GT(boundCount(rig), 0U);
    EXPECT_LT(boundCount(rig), static_cast<std::size_t>(kProxies));
    for (int i = 0; i < 3; ++i) {  // too soon for any line to have left the channel
        rig.now += 10 * kMs;
        rig.turn();
        lines += linesOfBinds(rig, s.envelopeLines);
    }
    EXPECT_LE(lines, s.backlogLines);
}

TEST(Scale, TheBusiestProxiesAreBoundFirstAndAllWithinSeconds) {
    Settings s = bigSettings();
    s.backlogLines = 2000;
    Rig rig(s);
    rig.list(bigList());
    rig.turn(bigJoin());
    ASSERT_LT(boundCount(rig), static_cast<std::size_t>(kProxies));
    EXPECT_TRUE(rig.bound.count(kProxies - 1));
    EXPECT_FALSE(rig.bound.count(0));
    rig.run(8 * kSecond);
    EXPECT_EQ(boundCount(rig), static_cast<std::size_t>(kProxies));
}

TEST(Scale, TablesAreBoundedAndSharedAndHoldOneZone) {
    const Rig rig = boundRig();
    std::set<TableId> used;
    for (ProxyId p = 0; p < kProxies; ++p) {
        used.insert(rig.tableOf(p));
        EXPECT_GE(tableFor(rig, p).size(), 4U);
        EXPECT_LE(tableFor(rig, p).size(), kServers / 8U);
        expectOwnZoneOnly(rig, p);
    }
    EXPECT_LT(used.size(), kProxies / 2U);
}

TEST(Scale, EveryServerIsInSomeTable) {
    const Rig rig = boundRig();
    EXPECT_EQ(serversInTables(rig).size(), static_cast<std::size_t>(kServers));
}

// One unhealthy server brought the lines of every zone back into every table.
TEST(Scale, OneFailingServerIsRemovedAndBringsNoLinesOfOtherZones) {
    Rig rig = boundRig();
    std::vector<Event> sums;
    for (const ListEntry& e : bigList()) {
        sums.push_back(ServerStats{e.server, e.zone, 8, e.server == 7 ? 8U : 0U, kSecond, 150 * kMs, {}});
    }
    rig.turn(sums);
    rig.run(2 * kSecond);
    for (ProxyId p = 0; p < kProxies; ++p) {
        EXPECT_FALSE(tableFor(rig, p).count(7));
        expectOwnZoneOnly(rig, p);
    }
}

// With two fifths of all tries lost, five failures of five occur by chance somewhere among hundreds of
// servers.
TEST(Scale, AFewFailedTriesAmongHundredsEjectNoServer) {
    Rig rig = boundRig();
    std::vector<Event> sums;
    for (const ListEntry& e : bigList()) {
        const std::uint32_t failed = e.server % 50 == 0 ? 5 : 2;  // of five
        sums.push_back(ServerStats{e.server, e.zone, 5, failed, kSecond, 150 * kMs, {}});
    }
    rig.turn(sums);
    rig.run(kSecond);
    EXPECT_EQ(serversInTables(rig).size(), static_cast<std::size_t>(kServers));
}

// Lines of another zone at full weight doubled the load of their servers, which were overloaded next (120
// servers of which a fifth fail: service 0.90, and 0.96 with a part of the weight).
TEST(Scale, AnOverloadedZoneBorrowsServersOfAFasterZoneAtAPartOfTheirWeight) {
    Rig rig = boundRig();
    for (int i = 0; i < 6; ++i) {
        std::vector<Event> sums;
        for (const ListEntry& e : bigList()) {
            sums.push_back(
                ServerStats{e.server, e.zone, 4, 0, kSecond, e.zone == 0 ? 500 * kMs : 120 * kMs, {}});
        }
        rig.turn(sums);
        rig.run(kSecond);
    }
    const auto borrowed = [&rig](ProxyId p) {
        return std::count_if(tableFor(rig, p).begin(), tableFor(rig, p).end(),
                             [p](const auto& line) { return zoneOf(line.first) != p % 2; });
    };
    EXPECT_GT(borrowed(0), 0);
    EXPECT_EQ(borrowed(1), 0) << "the other zone uses only its own servers";
    int compared = 0;
    for (ProxyId hot = 0; hot < kProxies; hot += 2) {
        for (const auto& [id, borrowedWeight] : tableFor(rig, hot)) {
            for (ProxyId cool = 1; cool < kProxies && zoneOf(id) == 1; cool += 2) {
                const auto own = tableFor(rig, cool).find(id);
                if (own == tableFor(rig, cool).end()) continue;
                EXPECT_LT(borrowedWeight, 0.5F * own->second);
                ++compared;
            }
        }
    }
    EXPECT_GT(compared, 0);
}

// A difference larger than the budget was held back forever. The part that fits has to be sent.
TEST(Scale, ADifferenceLargerThanTheBudgetIsSentInParts) {
    Settings s = calmSettings();
    s.backlogLines = 120;
    s.pushRate = 100000;
    Rig rig(s);
    std::vector<ListEntry> list = bigList(ready, 0, 60);
    rig.list(list);
    for (ProxyId p = 0; p < 4; ++p) rig.join(p, 0);
    rig.run(10 * kSecond);
    ASSERT_EQ(boundCount(rig), 4U);
    for (ListEntry& e : list) e.weight = 3;
    rig.list(list, ServerListUpdateKind::delta);
    int lines = 0, possible = 0;
    for (ProxyId p = 0; p < 4; ++p) {
        lines += static_cast<int>(std::count_if(rig.last.begin(), rig.last.end(), [&](const Action& a) {
            const auto* line = std::get_if<SetLine>(&a);
            return line != nullptr && line->table == rig.tableOf(p);
        }));
        possible += static_cast<int>(tableFor(rig, p).size());
    }
    EXPECT_GT(lines, 0);
    EXPECT_LT(lines, possible);
    EXPECT_LE(lines + 4 * 5, s.backlogLines);
    rig.run(20 * kSecond);
    for (const auto& [id, weight] : tableFor(rig, 0)) EXPECT_GT(weight, 1) << "server " << id;
}

TEST(Scale, AThirdOfTheFleetIsWithdrawnInOneMessagePerProxy) {
    Rig rig = boundRig();
    rig.run(2 * kSecond);
    const auto before = rig.messages;
    rig.list(bigList(draining, 0, kServers / 3), ServerListUpdateKind::delta);
    rig.run(kSecond);
    for (ServerId id = 0; id < kServers / 3; ++id) EXPECT_TRUE(rig.withdrawn[id]);
    for (const auto& [p, count] : rig.messages) EXPECT_LE(count - before.at(p), 2);
}

TEST(Scale, NoProxyGetsMoreMessagesThanTheLimitWhileTheFleetChanges) {
    Rig rig = boundRig();
    const auto before = rig.messages;
    for (int i = 0; i < 33; ++i) {
        const int at = i * 9 % kServers;
        rig.list(bigList(i % 2 == 0 ? gone : ready, at, std::min(at + 9, kServers), rig.now),
                 ServerListUpdateKind::delta);
        rig.run(300 * kMs);
    }
    for (const auto& [p, count] : rig.messages) EXPECT_LE(count - before.at(p), 12);
}

// Under overload a subset was both the most and the least used one, and moving a server within it crashed.
TEST(Scale, AZoneLeftWithOneServerIsStillServed) {
    Rig rig = boundRig();
    rig.list(bigList(draining, 2, kServers), ServerListUpdateKind::delta);
    std::vector<Event> demand;
    for (ProxyId p = 0; p < kProxies; ++p) demand.push_back(ProxyDemand{p, 0, 50, 0, kSecond});
    for (int i = 0; i < 10; ++i) {
        rig.turn(demand);
        rig.run(kSecond);
    }
    for (ProxyId p = 0; p < kProxies; ++p) EXPECT_GT(rig.weight(p, 0) + rig.weight(p, 1), 0);
}

TEST(Scale, AFleetThatGrowsFourfoldKeepsTablesBounded) {
    Settings s = bigSettings();
    Rig rig(s);
    rig.list(bigList(ready, 0, kServers / 4));
    rig.turn(bigJoin());
    rig.run(8 * kSecond);
    rig.list(bigList(ready, kServers / 4, kServers, rig.now), ServerListUpdateKind::delta);
    std::vector<Event> sums;
    for (const ListEntry& e : bigList(ready, 0, kServers / 4)) {
        sums.push_back(ServerStats{e.server, e.zone, 10, 0, kSecond, 150 * kMs, {}});
    }
    for (int i = 0; i < 20; ++i) {
        rig.turn(sums);
        rig.run(kSecond);
    }
    for (ProxyId p = 0; p < kProxies; ++p) {
        EXPECT_LT(tableFor(rig, p).size(), kServers / 2U);
    }
    EXPECT_EQ(serversInTables(rig).size(), static_cast<std::size_t>(kServers));
}

// Incident i4e1fe9: past a certain size the other zone's lines left every table during a surge.
TEST(Scale, AGrowingFleetKeepsLinesOfOtherZonesUnderLoad) {
    Settings s = bigSettings();
    s.proxies = 36;
    s.planners = 1;
    Rig rig(s);
    rig.list(bigList(ready, 0, 30));
    rig.turn(bigJoin(36));
    rig.run(3 * kSecond);
    ASSERT_GT(rig.weight(0, 1), 0) << "lines of the other zone";
    rig.list(bigList(ready, 30, 90, rig.now), ServerListUpdateKind::delta);
    rig.run(2 * kSecond);
    EXPECT_GT(rig.weight(0, 1), 0);
}

// If the report intake is full, each window holds a part of the servers. Taken for all of them, it leads to
// far too deep a cut.
TEST(Scale, ACutAccountsForServersWhoseReportsAreLate) {
    const auto levelAfterOverload = [](double reportsPerS) {
        Settings s = bigSettings();
        s.admission = Admission::rate;
        s.reportsPerS = reportsPerS;
        Rig rig = boundRig(s);
        for (int round = 0; round < 60;
             ++round) {  // a quarter of the servers per second, each report over four seconds
            std::vector<Event> events;
            for (const ListEntry& e : bigList()) {
                if (static_cast<int>(e.server) % 20 != round % 20) continue;
                events.push_back(ServerStats{e.server, e.zone, 20, 0, 4 * kSecond, 700 * kMs, {}});
            }
            for (ProxyId p = 0; p < kProxies; ++p) events.push_back(ProxyDemand{p, 0, 4, 0, 200 * kMs});
            rig.turn(events);
            rig.run(200 * kMs);
        }
        float least = std::numeric_limits<float>::max();
        for (const auto& [table, levels] : rig.levels) {
            for (const auto& [classes, level] : levels) least = std::min(least, level.limit);
        }
        return least;
    };
    const float limited = levelAfterOverload(100), unlimited = levelAfterOverload(0);
    EXPECT_LT(limited, 1e5F) << "no limit was set";
    EXPECT_GT(limited, unlimited);
}

TEST(Scale, SeveralPlannersWithTheSameEventsActTheSame) {
    Rig a = boundRig(), b = boundRig();
    a.list(bigList(gone, 10, 60), ServerListUpdateKind::delta);
    b.list(bigList(gone, 10, 60), ServerListUpdateKind::delta);
    a.run(3 * kSecond);
    b.run(3 * kSecond);
    EXPECT_EQ(a.tables, b.tables);
    EXPECT_EQ(a.messages, b.messages);
}

// ---- Extreme input ----

TEST(Extreme, AServerNamedTwiceAndIdsAtTheTopOfTheirRange) {
    Rig rig(calmSettings());
    const ServerId top = std::numeric_limits<ServerId>::max();
    ListEntry heavy = server(top, 0);
    heavy.weight = 2;
    rig.list({server(top, 0), heavy, server(1, 1)});
    rig.join(65535, 0);
    rig.run(2 * kSecond);
    EXPECT_FLOAT_EQ(rig.weight(65535, top), 2);
    rig.leave(65535);
    rig.run(kSecond);
    EXPECT_TRUE(rig.bound.empty());
}

TEST(Extreme, AChannelSmallerThanASingleTableStillBindsOneAtATime) {
    Settings s = bigSettings();
    s.backlogLines = 10;
    s.pushRate = 50;
    Rig rig(s);
    rig.list(bigList());
    rig.turn(bigJoin(3));
    EXPECT_EQ(boundCount(rig), 1U);
    rig.run(60 * kSecond);
    EXPECT_EQ(boundCount(rig), 3U);
}

TEST(Extreme, ProxiesThatLeaveBeforeTheirFirstAcknowledgementLeaveNoState) {
    Rig rig(bigSettings());
    rig.list(bigList());
    rig.answers = false;
    rig.turn(bigJoin());
    std::vector<Event> left;
    for (ProxyId p = 0; p < kProxies; ++p) left.push_back(ProxyLeft{p});
    rig.turn(left);
    rig.bound.clear();
    rig.run(5 * kSecond);
    rig.answers = true;
    rig.turn(bigJoin());
    rig.run(10 * kSecond);
    EXPECT_EQ(boundCount(rig), static_cast<std::size_t>(kProxies));
}

TEST(Extreme, AMarkAcknowledgedTwiceOrNeverSentChangesNothing) {
    Rig rig = boundRig();
    const auto before = rig.tables;
    rig.turn({Acknowledged{1, 1, kSecond}, Acknowledged{1, 1, kSecond}, Acknowledged{1, 65535, kSecond}});
    rig.run(kSecond);
    EXPECT_EQ(rig.tables, before);
}

}  // namespace
}  // namespace marldale::test
