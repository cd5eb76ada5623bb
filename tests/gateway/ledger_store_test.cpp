// The ledger's disk, and replicas over real disks.
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <map>

#include "gateway/ledger/store.h"

using marldale::Micros;
using namespace marldale::ledger;

namespace {

struct Folder {
    std::filesystem::path path;
    Folder() {
        std::string name = (std::filesystem::temp_directory_path() / "ledger-XXXXXX").string();
        path = ::mkdtemp(name.data());
    }
    ~Folder() { std::filesystem::remove_all(path); }
    [[nodiscard]] std::string under(const std::string& name) const { return (path / name).string(); }
};

proto::Entry entry(Term term, Index index, const std::string& data) {
    proto::Entry e;
    e.set_term(term);
    e.set_index(index);
    e.set_kind(proto::Entry::CHANGE);
    e.set_data(data);
    return e;
}

Write entries(Index from, Index through, std::size_t size) {
    Write w;
    for (Index i = from; i <= through; ++i)
        w.entries.push_back(entry(1, i, std::string(size, static_cast<char>('a' + i % 26))));
    return w;
}

std::unique_ptr<Store> opened(const std::string& folder, bool firstRun = true, bool seed = true,
                              std::size_t mapBytes = std::size_t{16} << 20U) {
    auto store = Store::open(folder, "10.0.0.1:7540", firstRun, seed, mapBytes);
    INFO(store.status());
    REQUIRE(store.ok());
    return std::move(*store);
}

Stored loaded(const Store& store) {
    auto stored = store.load();
    INFO(stored.status());
    REQUIRE(stored.ok());
    return std::move(*stored);
}

}  // namespace

TEST_CASE("A machine's number is drawn once", "[ledger]") {
    const Folder folder;
    CHECK(loaded(*opened(folder.under("seed"))).self.number() == 0);
    CHECK(loaded(*opened(folder.under("seed"), false, false)).self.number() == 0);
    const auto number = loaded(*opened(folder.under("late"), true, false)).self.number();
    CHECK(number != 0);
    CHECK(loaded(*opened(folder.under("late"), true, true)).self.number() == number);
    const auto wiped = loaded(*opened(folder.under("wiped"), false, true)).self.number();
    CHECK(wiped != 0);
    CHECK(wiped != number);
}

TEST_CASE("What was written is there after opening again", "[ledger]") {
    const Folder folder;
    {
        auto store = opened(folder.under("a"));
        Write w = entries(1, 9, 100);
        w.hard = true;
        w.term = 3;
        w.voted = proto::Member();
        w.voted->set_address("10.0.0.2:7540");
        REQUIRE(store->write(w).ok());
        Write again;
        again.cutFrom = 7;
        again.entries = {entry(3, 7, "new")};
        REQUIRE(store->write(again).ok());
        Write snapshot;
        snapshot.snapshot = proto::Snapshot();
        snapshot.snapshot->set_index(4);
        snapshot.snapshot->set_term(1);
        snapshot.snapshot->set_data(std::string(500000, 's'));
        REQUIRE(store->write(snapshot).ok());
        REQUIRE(store->write(snapshot).ok());
    }
    const Stored stored = loaded(*opened(folder.under("a")));
    CHECK(stored.term == 3);
    REQUIRE(stored.voted);
    CHECK(stored.voted->address() == "10.0.0.2:7540");
    CHECK(stored.snapshot.index() == 4);
    CHECK(stored.snapshot.data().size() == 500000);
    REQUIRE(stored.entries.size() == 3);
    CHECK(stored.entries[0].index() == 5);
    CHECK(stored.entries[2].data() == "new");
}

// A disk each, in one process; messages arrive at once, time runs by what is due.
TEST_CASE("Three replicas on disks elect, commit, and go on after they all have died", "[ledger]") {
    const Folder folder;
    Settings settings;
    settings.seeds = {"a", "b", "c"};
    struct Machine {
        std::unique_ptr<Store> store;
        std::unique_ptr<Replica> replica;
        std::vector<std::string> applied;
    };
    std::map<std::string, Machine> machines;
    Micros now = 0;
    const auto start = [&] {
        machines.clear();
        for (const auto& name : settings.seeds) {
            auto& m = machines[name];
            auto store = Store::open(folder.under(name), name, true, true, std::size_t{8} << 20U);
            REQUIRE(store.ok());
            m.store = std::move(*store);
            m.replica = std::make_unique<Replica>(settings, loaded(*m.store), now);
        }
    };
    const auto settle = [&] {
        for (bool moved = true; moved;) {
            moved = false;
            for (auto& [name, m] : machines) {
                auto ready = m.replica->take();
                for (const auto& message : ready.messages) {
                    moved = true;
                    machines.at(message.to().address()).replica->hear(now, message);
                }
                for (const auto& w : ready.writes) {
                    moved = true;
                    REQUIRE(m.store->write(w).ok());
                    m.replica->persisted(now, w.number);
                }
                if (ready.install) m.applied = {ready.install->data()};
                for (const auto& e : ready.committed)
                    if (e.kind() == proto::Entry::CHANGE) m.applied.push_back(e.data());
            }
        }
    };
    const auto run = [&](Micros span) {
        for (const Micros end = now + span; now < end;) {
            settle();
            Micros due = end;
            for (auto& [name, m] : machines) due = std::min(due, m.replica->nextDue());
            now = std::max(now, due);
            for (auto& [name, m] : machines) m.replica->tick(now);
        }
        settle();
    };
    const auto leader = [&]() -> Machine& {
        for (auto& [name, m] : machines)
            if (m.replica->leads()) return m;
        FAIL("nobody leads");
        return machines.begin()->second;
    };
    start();
    run(3000000);
    for (int k = 0; k < 5; ++k) {
        REQUIRE(leader().replica->propose(now, std::to_string(k)));
        settle();
    }
    for (auto& [name, m] : machines) CHECK(m.applied == std::vector<std::string>{"0", "1", "2", "3", "4"});
    auto& first = leader();
    first.replica->compact(now, first.replica->committed(), "01234");
    settle();
    const Term before = first.replica->term();
    start();
    run(3000000);
    CHECK(leader().replica->term() > before);
    REQUIRE(leader().replica->propose(now, "5"));
    settle();
    for (auto& [name, m] : machines) {
        std::string all;
        for (const auto& a : m.applied) all += a;
        CHECK(all == "012345");
    }
    leader().replica->read(now, 7);
    auto ready = leader().replica->take();
    CHECK(ready.reads.empty());
    for (const auto& message : ready.messages)
        machines.at(message.to().address()).replica->hear(now, message);
    for (auto& [name, m] : machines) {
        if (m.replica->leads()) continue;
        for (const auto& message : m.replica->take().messages)
            machines.at(message.to().address()).replica->hear(now, message);
    }
    ready = leader().replica->take();
    REQUIRE(ready.reads.size() == 1);
    CHECK(ready.reads[0].sure);
    CHECK(ready.reads[0].index == leader().replica->committed());
    for (auto& [name, m] : machines) CHECK(m.replica->sureAge(now) >= 0);
}
