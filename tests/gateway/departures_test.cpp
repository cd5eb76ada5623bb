// Departures of servers must be permanent (incident DRAIN, issue 36): they are acknowledged only once a
// majority of the voters has them on disk, and they are known again after a restart and after a partition.
#include <catch2/catch.hpp>

#include "gateway/controller/departure_acks.h"
#include "gateway/controller/durable_copy.h"
#include "gateway/registry/registry.h"
#include "gateway/upstream/tables.h"

namespace marldale::controller {
namespace proto = gateway::proto;
namespace {

using RequestNumbers = std::vector<DepartureAcks::RequestNumber>;
constexpr Micros kSecond = 1000000;

proto::Server heartbeat(const std::string& id) {
    proto::Server out;
    out.set_id(id);
    out.set_service("a");
    out.set_address("10.0.0.1:80");
    out.set_zone("north");
    out.set_call_count(4);
    return out;
}

proto::Server signOff(const std::string& id) {
    proto::Server out;
    out.set_id(id);
    out.set_gone(true);
    return out;
}

// A fake disk that completes a write when the test says so.
struct Disk {
    DurableCopy::TextSource text() {
        return [this] { return current; };
    }
    DurableCopy::Writer writer() {
        return [this](const std::string& text, DurableCopy::WriteCallback onWritten) {
            texts.push_back(text);
            pendingWrite = std::move(onWritten);
        };
    }
    void completeWrite(bool succeeded) { std::exchange(pendingWrite, nullptr)(succeeded); }

    std::string current;  // the text that the next write gets
    std::vector<std::string> texts;
    DurableCopy::WriteCallback pendingWrite;
};

}  // namespace

TEST_CASE("A departure is acknowledged once a majority of the voters has it", "[departures]") {
    DepartureAcks acks;
    const std::vector<std::string> voters{"a", "b", "c", "d"};
    acks.add(7, kSecond);
    acks.markDurable(7, "a");
    acks.markDurable(7, "a");
    acks.markDurable(7, "b");
    acks.markDurable(7, "no voter");
    acks.markDurable(8, "c");
    CHECK(acks.takeConfirmed(voters, {}).empty());
    acks.markDurable(7, "d");
    // It must be in force at all controllers that have proxies, voters or not, whatever is durable there.
    CHECK(acks.takeConfirmed(voters, {"c", "no voter"}).empty());
    acks.markInForce(7, "c");
    CHECK(acks.takeConfirmed(voters, {"c", "no voter"}).empty());
    acks.markInForce(7, "no voter");
    CHECK(acks.takeConfirmed({"c"}, {"c", "no voter"}).empty());
    CHECK(acks.takeConfirmed(voters, {"c", "no voter"}) == RequestNumbers{7});
    CHECK(acks.takeConfirmed(voters, {}).empty());
    CHECK(acks.takeExpired(2 * kSecond).empty());
}

TEST_CASE("A departure that no majority confirms in time expires once", "[departures]") {
    DepartureAcks acks;
    acks.add(1, kSecond);
    acks.add(2, 3 * kSecond);
    CHECK(acks.takeExpired(kSecond - 1).empty());
    CHECK(acks.takeExpired(kSecond) == RequestNumbers{1});
    acks.markDurable(1, "a");
    CHECK(acks.takeConfirmed({"a"}, {}).empty());
    CHECK(acks.takeAll() == RequestNumbers{2});
    CHECK(acks.takeAll().empty());
    CHECK(acks.takeConfirmed({}, {}).empty());
}

TEST_CASE("Nobody is notified of a change before it is durable", "[departures]") {
    Disk disk;
    DurableCopy copy(disk.writer(), disk.text());
    std::vector<int> notified;
    copy.whenDurable([&] { notified.push_back(0); });
    CHECK(notified == std::vector<int>{0});  // nothing has changed
    disk.current = "one";
    copy.markChanged();
    copy.whenDurable([&] { notified.push_back(1); });
    disk.current = "two";
    copy.markChanged();
    copy.whenDurable([&] { notified.push_back(2); });
    CHECK(disk.texts == std::vector<std::string>{"one"});  // one write at a time
    CHECK(notified.size() == 1);
    disk.completeWrite(true);
    CHECK(notified == std::vector<int>{0, 1});
    CHECK(disk.texts.back() == "two");
    disk.completeWrite(false);
    CHECK(notified.size() == 2);
    copy.retry();
    CHECK(disk.texts.size() == 3);
    copy.retry();  // a write is under way
    CHECK(disk.texts.size() == 3);
    disk.completeWrite(true);
    CHECK(notified == std::vector<int>{0, 1, 2});
    copy.whenDurable([&] { notified.push_back(3); });
    CHECK(notified.back() == 3);
}

TEST_CASE("After a restart, departures loaded from disk outweigh older copies of the server",
          "[departures]") {
    registry::Registry beforeRestart({});
    beforeRestart.applyReport(kSecond, heartbeat("i"));
    const proto::Server recalled = beforeRestart.reportOf(beforeRestart.servers().at("i"), kSecond);
    beforeRestart.applyReport(2 * kSecond, signOff("i"));
    const auto departures = beforeRestart.departures(3 * kSecond);
    REQUIRE(departures.size() == 1);
    CHECK(departures.front().heard_ago() == kSecond);

    registry::Registry afterRestart({});
    for (const proto::Server& departed : departures) afterRestart.applyReport(0, departed);
    afterRestart.restore(0, recalled, kSecond);
    afterRestart.applyReport(kSecond, heartbeat("i"));
    CHECK(afterRestart.servers().empty());
    CHECK(afterRestart.departed().count("i") == 1);
}

TEST_CASE("A controller that was disconnected when a server signed off learns of it on reconnecting",
          "[departures]") {
    registry::Registry connected({}), disconnected({});
    for (auto* each : {&connected, &disconnected}) each->applyReport(kSecond, heartbeat("i"));
    connected.applyReport(2 * kSecond, signOff("i"));
    for (const proto::Server& departed : connected.departures(4 * kSecond))
        CHECK(disconnected.applyReport(4 * kSecond, departed) == registry::Registry::ReportEffect::urgent);
    CHECK(disconnected.servers().empty());
    // The departure is kept for as long as at the other controller, not counted from now on.
    CHECK(disconnected.departed().at("i") == 2 * kSecond);
    for (const proto::Server& departed : connected.departures(4 * kSecond))
        CHECK(disconnected.applyReport(70 * kSecond, departed) == registry::Registry::ReportEffect::none);
}

TEST_CASE("A server that the current controller has never named is dropped once it knows all servers",
          "[departures]") {
    upstream::Tables tables;
    const auto batchNaming = [](const std::string& id, bool fresh, bool whole) {
        gateway::proto::ResourceBatch batch;
        batch.set_fresh(fresh);
        batch.set_servers_whole(whole);
        if (id.empty()) return batch;
        auto* server = batch.add_resources()->mutable_server();
        server->set_id(id);
        server->set_service("s");
        server->set_address("10.0.0.1:" + std::to_string(80 + id.size()));
        return batch;
    };
    REQUIRE(tables.apply(batchNaming("left", true, true), 0));
    REQUIRE(tables.apply(batchNaming("stays!", false, false), 0));
    REQUIRE(
        tables.apply(batchNaming("", true, false), 0));  // from another controller, which has just started
    REQUIRE(tables.apply(batchNaming("stays!", false, false), 0));
    CHECK(tables.servers() == 2);
    REQUIRE(tables.apply(batchNaming("", false, true), 0));
    CHECK(tables.servers() == 1);
    REQUIRE(tables.apply(batchNaming("", false, true), 0));
    CHECK(tables.servers() == 1);
}

}  // namespace marldale::controller
