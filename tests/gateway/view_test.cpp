#include <catch2/catch.hpp>
#include <map>
#include <random>

#include "gateway/gossip/view.h"

namespace marldale::gossip {
namespace {

struct Process {
    proto::Peer self;
    View view;
    bool up = true;
};

// All processes of a deployment, whose datagrams are lost now and then.
struct World {
    World(std::size_t control, std::size_t others, std::uint64_t seed) : draw(seed) {
        for (std::size_t i = 0; i < control + others; ++i) {
            proto::Peer self;
            self.set_address("10.0.0." + std::to_string(i) + ":7540");
            if (i < control) self.set_control("10.0.0." + std::to_string(i) + ":8000");
            Settings settings;
            settings.seed = seed * 1000 + i;
            std::vector<std::string> seeds;
            for (std::size_t k = 0; k < std::min<std::size_t>(3, control); ++k)
                seeds.push_back("10.0.0." + std::to_string(k) + ":7540");
            all.emplace(self.address(), Process{self, View(settings, self, seeds), true});
        }
    }
    void send(const View::Letter& letter) {
        const auto to = all.find(letter.to);
        if (to == all.end() || !to->second.up || draw() % 20 == 0) return;
        if (auto answer = to->second.view.receive(letter.shuffle)) send(*answer);
    }
    void run(Micros until) {
        for (; now < until; now += 50000) {
            for (auto& [address, process] : all) {
                if (!process.up) continue;
                if (auto letter = process.view.due(now)) send(*letter);
            }
        }
    }
    std::mt19937_64 draw;
    std::map<std::string, Process> all;
    Micros now = 0;
};

}  // namespace

TEST_CASE("From three seeds everyone learns of control, and views stay small", "[view]") {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        World world(7, 73, seed);
        world.run(6000000);
        for (const auto& [address, process] : world.all) {
            REQUIRE(process.view.control().size() >= (process.self.control().empty() ? 3U : 3U));
            REQUIRE(process.view.peers().size() <= 40);
        }
        world.run(30000000);
        for (const auto& [address, process] : world.all) REQUIRE(process.view.control().size() >= 6);
    }
}

TEST_CASE("A neighbour is forgotten after two silences in a row, not after one", "[view]") {
    proto::Peer self, other;
    self.set_address("10.0.0.1:7540");
    other.set_address("10.0.0.2:7540");
    other.set_control("10.0.0.2:8000");
    proto::Shuffle said;
    *said.mutable_from() = other;
    said.set_answer(true);
    View view({}, self, {other.address()});
    const auto asked = [&] {
        const auto letter = view.due(view.nextDue());
        REQUIRE(letter);
        return letter->to == other.address();
    };
    view.recordContact(other);
    for (int round = 0; round < 5; ++round) {  // every other answer is lost
        CHECK(asked());
        CHECK(asked());
        REQUIRE(view.control().size() == 1);
        CHECK_FALSE(view.receive(said));
    }
    CHECK(asked());
    CHECK(asked());
    CHECK(view.control().size() == 1);
    CHECK(asked());  // by the seeds: nobody is known any more
    CHECK(view.control().empty());
}

TEST_CASE("The dead are forgotten, also where all seeds are", "[view]") {
    World world(5, 9, 3);
    world.run(20000000);
    for (int i = 0; i < 3; ++i) world.all.at("10.0.0." + std::to_string(i) + ":7540").up = false;
    world.run(90000000);
    for (const auto& [address, process] : world.all) {
        if (!process.up) continue;
        REQUIRE_FALSE(process.view.control().empty());
        for (const proto::Peer& peer : process.view.control()) CHECK(world.all.at(peer.address()).up);
    }
}

}  // namespace marldale::gossip
