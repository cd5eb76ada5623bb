// Frames, records and settings.
#include <gtest/gtest.h>

#include "wire/codec.h"
#include "wire/settings.h"

namespace marldale::wire {
namespace {

std::string bytes(std::string_view hex) {
    std::string out;
    const auto digit = [](char c) { return c <= '9' ? c - '0' : c - 'a' + 10; };
    for (std::size_t i = 0; i < hex.size();) {
        if (hex[i] == ' ') {
            ++i;
            continue;
        }
        out.push_back(static_cast<char>(digit(hex[i]) * 16 + digit(hex[i + 1])));
        i += 2;
    }
    return out;
}
std::string record(std::string_view hex) {
    std::string out = bytes(hex);
    out.resize(48, '\0');
    return out;
}
std::vector<InstanceEvent> read(const std::string& records, std::uint32_t n, Rosters& rosters,
                                const std::string& tail = {}) {
    BatchHead head;
    head.records = n;
    head.bodyBytes = records.size() + tail.size();
    return readBatch(head, records + tail, rosters);
}
template <class T>
T only(const std::string& rec) {
    Rosters rosters;
    const auto events = read(rec, 1, rosters);
    EXPECT_EQ(events.size(), 1U);
    EXPECT_EQ(events.at(0).instance, 3U);
    return std::get<T>(std::get<Event>(events.at(0).what));
}

TEST(Frame, HeadIsReadAndBounded) {
    const BatchHead head = readBatchHead(bytes("0c000000 9c000000 03000000 5a5c800000000000"));
    EXPECT_EQ(head.number, 12U);
    EXPECT_EQ(head.records, 3U);
    EXPECT_EQ(head.bodyBytes, 0x9cU - 12U);
    EXPECT_EQ(head.clock, 0x805c5a);
    EXPECT_THROW(static_cast<void>(readBatchHead(bytes("0c000000 0b000000 00000000 5a5c800000000000"))),
                 Malformed);
    EXPECT_THROW(static_cast<void>(readBatchHead(bytes("0c000000 9c000000 04000000 5a5c800000000000"))),
                 Malformed);
    EXPECT_THROW(static_cast<void>(readBatchHead(bytes("0c000000"))), Malformed);
    EXPECT_THROW(static_cast<void>(readBatchHead(bytes("0c000000 ffffffff 00000000 5a5c800000000000"))),
                 Malformed);
}

TEST(Events, SumsAsOnTheWirePage) {
    const auto e =
        only<ServerStats>(record("4204 03000000 01000000 074a1203 40420f00 0e000000 00 7abc0000 03 52b81e3f "
                                 "0000e040 00006841 00000000"));
    EXPECT_EQ(e.failed, 1U);
    EXPECT_EQ(e.server, 0x03124a07U);
    EXPECT_EQ(e.period, 1000000);
    EXPECT_EQ(e.tries, 14U);
    EXPECT_EQ(e.fromZone, 0);
    EXPECT_EQ(e.meanTime, 0xbc7a);
    ASSERT_EQ(e.load.size(), 3U);
    EXPECT_FLOAT_EQ(e.load[0], 0.62F);
}

TEST(Events, FieldsOfTheOthers) {
    EXPECT_EQ(only<TimerDue>(record("fc03 03000000 4d00000000000000")).tag, 77U);
    const auto join = only<ProxyJoined>(record("2404 03000000 2900 00 0000d040 01"));
    EXPECT_EQ(join.proxy, 41);
    EXPECT_FLOAT_EQ(static_cast<float>(join.usualRate), 6.5F);
    EXPECT_TRUE(join.fresh);
    EXPECT_EQ(only<ProxyLeft>(record("2e04 03000000 2900")).proxy, 41);
    const auto demand = only<ProxyDemand>(record("4c04 03000000 2900 0100 09000000 02000000 80841e00"));
    EXPECT_EQ(demand.klass, 1);
    EXPECT_EQ(demand.came, 9U);
    EXPECT_EQ(demand.failed, 2U);
    EXPECT_EQ(demand.period, 2000000);
    const auto answer = only<Acknowledged>(record("3804 03000000 2900 0c00000000000000 544b0600"));
    EXPECT_EQ(answer.mark, 12U);
    EXPECT_EQ(answer.took, 0x64b54);
    const auto probe = only<ProbeResult>(record("0604 03000000 6e00 f211902c 78050000 00"));
    EXPECT_EQ(probe.outcome, ProbeOutcome::timeout);
    EXPECT_EQ(probe.roundTrip, 1400);
    const auto slice = only<SliceDemand>(record("5604 03000000 40420f00 0100 02000000 17000000 7500"));
    EXPECT_EQ(slice.slice, 117);
    EXPECT_EQ(slice.klass, 1);
    EXPECT_EQ(slice.came, 23U);
    EXPECT_TRUE(only<SliceAssignment>(record("6004 03000000 7500 01")).assigned);
    const auto line = only<SliceLine>(record("6a04 03000000 7500 0000803f f211902c"));
    EXPECT_FLOAT_EQ(static_cast<float>(line.weight), 1);
    EXPECT_EQ(line.server, 0x2c9011f2U);
}

TEST(Events, AListIsTakenFromItsRosterAndKept) {
    Rosters rosters;
    const std::string tail = bytes(
        "00 0000 0000000000000000 074a1203 00 0000803f 01"
        "01 0200 20145d0000000000 f211902c 01 0000c03f 02");
    const std::string records =
        record("7404 00 00000000 02000000") + record("f203 03000000 2900000000000000 00 01");
    auto events = read(records, 2, rosters, tail);
    ASSERT_EQ(events.size(), 1U);
    const auto news = std::get<ServerListUpdate>(std::get<Event>(events[0].what));
    EXPECT_EQ(news.kind, ServerListUpdateKind::cached);
    EXPECT_EQ(news.version, 41U);
    ASSERT_EQ(news.entries.size(), 2U);
    EXPECT_EQ(news.entries[1].cell, 2);
    EXPECT_EQ(news.entries[1].bootTime, 0x5d1420);
    EXPECT_EQ(news.entries[1].state, ServerState::draining);
    EXPECT_FLOAT_EQ(static_cast<float>(news.entries[1].weight), 1.5F);
    events = read(record("f203 04000000 2a00000000000000 00 00"), 1, rosters);  // the same number, next batch
    EXPECT_EQ(std::get<ServerListUpdate>(std::get<Event>(events.at(0).what)).entries.size(), 2U);
}

TEST(Events, AFailedListNeedsNoRoster) {
    EXPECT_EQ(only<ServerListUpdate>(record("f203 03000000 2900000000000000 07 03")).kind,
              ServerListUpdateKind::failed);
}

TEST(Events, UnknownCodesAreSkipped) {
    Rosters rosters;
    EXPECT_TRUE(read(record("9999 03000000 01"), 1, rosters).empty());
    EXPECT_TRUE(read(record("1004 03000000 0200 00000000 04000000"), 1, rosters, "abcd").empty());
}

TEST(Events, WhatLiesOutsideTheTailIsMalformed) {
    Rosters rosters;
    EXPECT_THROW(
        static_cast<void>(read(record("7404 00 00000000 02000000"), 1, rosters, std::string(41, 'x'))),
        Malformed);
    EXPECT_THROW(
        static_cast<void>(read(record("7404 00 ffffffff 01000000"), 1, rosters, std::string(41, 'x'))),
        Malformed);
    EXPECT_THROW(static_cast<void>(read(record("7404 10 00000000 00000000"), 1, rosters)), Malformed);
    EXPECT_THROW(static_cast<void>(read(record("f203 03000000 2900000000000000 05 00"), 1, rosters)),
                 Malformed);
    EXPECT_THROW(static_cast<void>(read(record("f203 03000000 2900000000000000 00 09"), 1, rosters)),
                 Malformed);
    EXPECT_THROW(
        static_cast<void>(read(record("e803 03000000 0000000000000000 00000000 ffffffff"), 1, rosters)),
        Malformed);
    EXPECT_THROW(static_cast<void>(read(record("6a04 03000000 7500 0000c07f f211902c"), 1, rosters)),
                 Malformed);
    EXPECT_THROW(static_cast<void>(read(std::string(47, '\0'), 1, rosters)), Malformed);
}

TEST(Reply, AsOnTheWirePage) {
    Reply reply;
    reply.add(3, SetLine{117, 0x2c9011f2, 0.75F});
    reply.add(3, ArmTimer{500000, 77});
    reply.add(5, Log{"two servers known"});
    EXPECT_EQ(reply.frame(12), bytes("0c000000 03000000 59000000"
                                     "fc03 03000000 f211902c 7500 0000403f 0000000000000000"
                                     "4c04 03000000 20a10700 4d00000000000000 000000000000"
                                     "2404 05000000 00000000 11000000 00000000000000000000"
                                     "74776f2073657276657273206b6e6f776e"));
}

TEST(Reply, TheOtherActions) {
    const auto one = [](const Action& a) {
        Reply reply;
        reply.add(3, a);
        return reply.frame(1).substr(12);
    };
    const auto padded = [](std::string_view hex) {
        std::string out = bytes(hex);
        out.resize(24, '\0');
        return out;
    };
    EXPECT_EQ(one(DropLines{117}), padded("1004 03000000 7500"));
    EXPECT_EQ(one(Bind{41, 117, 0}), padded("f203 03000000 2900 7500 0000"));
    EXPECT_EQ(one(Withdraw{0x2c9011f2, true}), padded("0604 03000000 01 f211902c"));
    EXPECT_EQ(one(SetLevel{117, 0.75F, 2, 1}), padded("4204 03000000 0000403f 0200 7500 01"));
    EXPECT_EQ(one(Mark{12, false}), padded("6004 03000000 0c00000000000000 00"));
    EXPECT_EQ(one(Probe{0x2c9011f2}), padded("3804 03000000 f211902c"));
    EXPECT_EQ(one(Subscribe{true}), padded("e803 03000000 01"));
    EXPECT_EQ(one(FetchList{}), padded("5604 03000000"));
    Reply crash;
    crash.add(3, Crash{"no"});
    EXPECT_EQ(crash.frame(1).substr(12), padded("1a04 03000000 00000000 02000000") + "no");
}

// ---- Settings ----

std::string plainSettings() {
    return "balancers=2\ncategories.count=1\ncategories.0.aimUs=600000\ncategories.0.idempotency=dedup\n"
           "categories.0.group=cell\ncategories.0.onlyZones=0,2\nextra.admission=rate\nextra.backlog=5500.0\n"
           "extra.pushRate=5500.0\nextra.reportsPerS=400.0\nextra.writers=true\nfailureDomains=a,b,"
           "c\nlocality=1\nme=1\n"
           "membershipMode=on_request\nrules.coldShare=0.29\nrules.warmUpUs=18000000\nunknown.key=whatever\n";
}

TEST(SettingsText, IsReadByName) {
    const Settings s = parseSettings(plainSettings());
    EXPECT_DOUBLE_EQ(s.reportsPerS, 400);
    EXPECT_EQ(s.planners, 2U);
    EXPECT_EQ(s.plannerIndex, 1U);
    EXPECT_EQ(s.myZone, 1U);
    EXPECT_EQ(s.zones, 3U);
    EXPECT_TRUE(s.listOnRequest);
    EXPECT_EQ(s.admission, Admission::rate);
    EXPECT_EQ(s.warmUp, 18000000);
    ASSERT_EQ(s.classes.size(), 1U);
    EXPECT_EQ(s.classes[0].repeat, Repeat::dedup);
    EXPECT_EQ(s.classes[0].group, RepeatGroup::cell);
    EXPECT_EQ(s.classes[0].zones, 0b101U);
    EXPECT_TRUE(s.classes[0].writes);
}

TEST(SettingsText, WhatIsMissingIsNamed) {
    for (const char* key : {"failureDomains", "extra.pushRate", "rules.warmUpUs", "categories.0.aimUs"}) {
        std::string text = plainSettings();
        const auto at = text.find(key);
        text.erase(at, text.find('\n', at) - at + 1);
        try {
            static_cast<void>(parseSettings(text));
            ADD_FAILURE() << key;
        } catch (const MissingSetting& e) {
            EXPECT_NE(std::string(e.what()).find(key), std::string::npos);
        }
    }
}

TEST(SettingsText, WhatCannotBeReadIsMalformed) {
    for (const char* line :
         {"extra.pushRate=fast", "rules.warmUpUs=1e99", "extra.admission=maybe", "=3", "noequals",
          "categories.count=99", "extra.oneOwner=yes", "rules.coldShare=nan"}) {
        EXPECT_THROW(static_cast<void>(parseSettings(plainSettings() + line + "\n")), MalformedSetting)
            << line;
    }
}

}  // namespace
}  // namespace marldale::wire
