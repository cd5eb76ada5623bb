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

// All processes of a deployment, connected by a network that loses one datagram in 20.
struct Deployment {
    Deployment(std::size_t control, std::size_t others, std::uint64_t seed) : random(seed) {
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
    void send(const View::Message& message) {
        const auto to = all.find(message.to);
        if (to == all.end() || !to->second.up || random() % 20 == 0) return;
        if (auto answer = to->second.view.receive(message.shuffle)) send(*answer);
    }
    void run(Micros until) {
        for (; now < until; now += 50000) {
            for (auto& [address, process] : all) {
                if (!process.up) continue;
                if (auto message = process.view.due(now)) send(*message);
            }
        }
    }
    std::mt19937_64 random;
    std::map<std::string, Process> all;
    Micros now = 0;
};

}  // namespace

TEST_CASE("All processes learn of the controllers from three seeds, and views stay small", "[view]") {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Deployment deployment(7, 73, seed);
        deployment.run(6000000);
        for (const auto& [address, process] : deployment.all) {
            REQUIRE(process.view.control().size() >= (process.self.control().empty() ? 3U : 3U));
            REQUIRE(process.view.peers().size() <= 40);
        }
        deployment.run(30000000);
        for (const auto& [address, process] : deployment.all) REQUIRE(process.view.control().size() >= 6);
    }
}

TEST_CASE("A neighbour is removed after two missed answers in a row, not after one", "[view]") {
    proto::Peer self, other;
    self.set_address("10.0.0.1:7540");
    other.set_address("10.0.0.2:7540");
    other.set_control("10.0.0.2:8000");
    proto::Shuffle answer;
    *answer.mutable_from() = other;
    answer.set_answer(true);
    View view({}, self, {other.address()});
    const auto asked = [&] {
        const auto message = view.due(view.nextDue());
        REQUIRE(message);
        return message->to == other.address();
    };
    view.recordContact(other);
    for (int round = 0; round < 5; ++round) {  // every other answer is lost
        CHECK(asked());
        CHECK(asked());
        REQUIRE(view.control().size() == 1);
        CHECK_FALSE(view.receive(answer));
    }
    CHECK(asked());
    CHECK(asked());
    CHECK(view.control().size() == 1);
    CHECK(asked());  // contacted as a seed: no peer is known any more
    CHECK(view.control().empty());
}

TEST_CASE("Failed processes are forgotten, even if all seeds have failed", "[view]") {
    Deployment deployment(5, 9, 3);
    deployment.run(20000000);
    for (int i = 0; i < 3; ++i) deployment.all.at("10.0.0." + std::to_string(i) + ":7540").up = false;
    deployment.run(90000000);
    for (const auto& [address, process] : deployment.all) {
        if (!process.up) continue;
        REQUIRE_FALSE(process.view.control().empty());
        for (const proto::Peer& peer : process.view.control()) CHECK(deployment.all.at(peer.address()).up);
    }
}

}  // namespace marldale::gossip
