// The raft's disk, and replicas over real disks.
#include <sys/resource.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>

#include "bytes/mix.h"
#include "gateway/raft/compaction_policy.h"
#include "gateway/raft/store.h"

using marldale::Micros;
using namespace marldale::raft;

namespace {

struct Folder {
    std::filesystem::path path;
    Folder() {
        std::string name = (std::filesystem::temp_directory_path() / "raft-XXXXXX").string();
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

std::string content(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
}
void content(const std::string& path, const std::string& bytes) {
    std::ofstream(path, std::ios::binary | std::ios::trunc) << bytes;
}

PersistentState loaded(const Store& store) {
    auto stored = store.load();
    INFO(stored.status());
    REQUIRE(stored.ok());
    return std::move(*stored);
}

// What this process has handed to the system for writing.
std::uint64_t writtenByProcess() {
    std::ifstream in("/proc/self/io");
    std::string name;
    std::uint64_t bytes = 0;
    while (in >> name >> bytes)
        if (name == "wchar:") return bytes;
    return 0;
}

}  // namespace

TEST_CASE("A machine's number is drawn once", "[raft]") {
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

TEST_CASE("What was written is there after opening again", "[raft]") {
    const Folder folder;
    {
        auto store = opened(folder.under("a"));
        Write w = entries(1, 9, 100);
        w.hasHardState = true;
        w.term = 3;
        w.votedFor = proto::Member();
        w.votedFor->set_address("10.0.0.2:7540");
        REQUIRE(store->write(w).ok());
        Write again;
        again.truncateFrom = 7;
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
    const PersistentState stored = loaded(*opened(folder.under("a")));
    CHECK(stored.term == 3);
    REQUIRE(stored.votedFor);
    CHECK(stored.votedFor->address() == "10.0.0.2:7540");
    CHECK(stored.snapshot.index() == 4);
    CHECK(stored.snapshot.data().size() == 500000);
    REQUIRE(stored.entries.size() == 3);
    CHECK(stored.entries[0].index() == 5);
    CHECK(stored.entries[2].data() == "new");
}

TEST_CASE("A damaged record is told and not taken", "[raft]") {
    const Folder folder;
    const std::string path = folder.under("a/raft.mdb");
    REQUIRE(opened(folder.under("a"))->write(entries(1, 5, 300)).ok());
    std::string bytes = content(path);
    const auto where = bytes.find(std::string(300, 'a' + 3));
    REQUIRE(where != std::string::npos);
    bytes[where + 150] ^= 1;
    content(path, bytes);
    const auto stored = opened(folder.under("a"))->load();
    CHECK(absl::IsDataLoss(stored.status()));
    CHECK_THAT(std::string(stored.status().message()), Catch::Contains("entry 3") && Catch::Contains(path));
}

TEST_CASE("A root page whose parts are of two times is told", "[raft]") {
    const Folder folder;
    const std::string path = folder.under("a/raft.mdb");
    {
        auto store = opened(folder.under("a"));
        REQUIRE(store->write(entries(1, 3, 300)).ok());
        REQUIRE(store->write(entries(4, 5, 300)).ok());
    }
    // Two roots, by turns (LMDB 0.9): its databases at 40 to 136, their last page, the transaction at 144.
    std::string bytes = content(path);
    constexpr std::size_t kPage = 4096;
    std::uint64_t first = 0;
    std::uint64_t second = 0;
    std::memcpy(&first, &bytes[144], 8);
    std::memcpy(&second, &bytes[kPage + 144], 8);
    REQUIRE(std::max(first, second) == std::min(first, second) + 1);
    const std::size_t newer = first > second ? 0 : kPage;
    std::copy_n(&bytes[kPage - newer + 40], 104, &bytes[newer + 40]);
    content(path, bytes);
    const auto store = Store::open(folder.under("a"), "10.0.0.1:7540", false, true);
    CHECK(absl::IsDataLoss(store.status()));
}

TEST_CASE("Large entries and snapshots come back whole, and a damaged part is told", "[raft]") {
    const Folder folder;
    const std::string path = folder.under("a/raft.mdb");
    const std::string state = std::string(90000, 's') + "only here" + std::string(110000, 't');
    {
        auto store = opened(folder.under("a"));
        REQUIRE(store->write(entries(1, 6, 200000)).ok());
        Write snapshot;
        snapshot.snapshot = proto::Snapshot();
        snapshot.snapshot->set_index(3);
        snapshot.snapshot->set_data(std::string(700000, 'o'));
        REQUIRE(store->write(snapshot).ok());
        snapshot.snapshot->set_index(4);
        snapshot.snapshot->set_data(state);
        snapshot.truncateFrom = 6;
        snapshot.entries = {entry(2, 6, std::string(16, 'x')), entry(2, 7, std::string(50000, 'y'))};
        REQUIRE(store->write(snapshot).ok());
    }
    const PersistentState stored = loaded(*opened(folder.under("a")));
    CHECK(stored.snapshot.data() == state);
    REQUIRE(stored.entries.size() == 3);
    CHECK(stored.entries[0].data() == std::string(200000, 'a' + 5));
    CHECK(stored.entries[1].data() == std::string(16, 'x'));
    CHECK(stored.entries[2].data() == std::string(50000, 'y'));
    std::string bytes = content(path);
    const auto where = bytes.find("only here");
    REQUIRE(where != std::string::npos);
    bytes[where] ^= 1;
    content(path, bytes);
    const auto damaged = opened(folder.under("a"))->load();
    CHECK(absl::IsDataLoss(damaged.status()));
    CHECK_THAT(std::string(damaged.status().message()), Catch::Contains("a part of the snapshot"));
}

// LMDB writes pages, syncs them, then writes the root. Power is lost before the root: new pages, old roots.
TEST_CASE("A loss of power before the root leaves what was there before, whatever pages were written",
          "[raft]") {
    const Folder folder;
    const std::string path = folder.under("a/raft.mdb");
    constexpr std::size_t kRoots = std::size_t{2} * 4096;
    auto store = opened(folder.under("a"));
    for (Index index = 1; index <= 40; ++index) {
        const std::string before = content(path);
        const PersistentState held = loaded(*store);
        Write write = entries(index, index, 30000 + 1000 * index);
        if (index % 5 == 0) {
            write.snapshot = proto::Snapshot();
            write.snapshot->set_index(index - 2);
            write.snapshot->set_data(std::string(100000 + 3000 * index, 's'));
        }
        REQUIRE(store->write(write).ok());
        std::string torn = content(path);
        std::copy_n(before.begin(), kRoots, torn.begin());
        std::filesystem::create_directories(folder.path / "torn");
        content(folder.under("torn/raft.mdb"), torn);
        const PersistentState found = loaded(*opened(folder.under("torn")));
        CHECK(found.snapshot.index() == held.snapshot.index());
        CHECK(found.snapshot.data() == held.snapshot.data());
        REQUIRE(found.entries.size() == held.entries.size());
        for (std::size_t k = 0; k < held.entries.size(); ++k)
            CHECK(found.entries[k].data() == held.entries[k].data());
    }
}

TEST_CASE("A full log says so, keeps what it has, and goes on once there is room", "[raft]") {
    const Folder folder;
    auto store = opened(folder.under("a"), true, true, std::size_t{2} << 20U);
    Index last = 0;
    absl::Status status;
    while (status.ok()) {
        REQUIRE(last < 100);
        status = store->write(entries(last + 1, last + 1, 100000));
        last += status.ok() ? 1 : 0;
    }
    CHECK(absl::IsResourceExhausted(status));
    CHECK(loaded(*store).entries.size() == last);
    Write snapshot;
    snapshot.snapshot = proto::Snapshot();
    snapshot.snapshot->set_index(last);
    REQUIRE(store->write(snapshot).ok());
    REQUIRE(store->write(entries(last + 1, last + 1, 100000)).ok());
    store.reset();
    CHECK(loaded(*opened(folder.under("a"))).entries.size() == 1);
}

TEST_CASE("A write that the disk refused may be tried again", "[raft]") {
    const Folder folder;
    auto store = opened(folder.under("a"));
    REQUIRE(store->write(entries(1, 3, 300)).ok());
    struct rlimit before {};
    REQUIRE(::getrlimit(RLIMIT_FSIZE, &before) == 0);
    const auto size = std::filesystem::file_size(folder.path / "a/raft.mdb");
    const struct rlimit tight { size, before.rlim_max };
    const auto handler = std::signal(SIGXFSZ, SIG_IGN);
    REQUIRE(::setrlimit(RLIMIT_FSIZE, &tight) == 0);
    const absl::Status refused = store->write(entries(4, 6, 20000));
    const absl::Status again = store->write(entries(4, 6, 20000));
    REQUIRE(::setrlimit(RLIMIT_FSIZE, &before) == 0);
    std::signal(SIGXFSZ, handler);
    CHECK(absl::IsResourceExhausted(refused));
    CHECK(absl::IsResourceExhausted(again));
    REQUIRE(store->write(entries(4, 6, 20000)).ok());
    store.reset();
    CHECK(loaded(*opened(folder.under("a"))).entries.size() == 6);
}

TEST_CASE("The file doesn't grow with what was compacted", "[raft]") {
    const Folder folder;
    auto store = opened(folder.under("a"));
    std::uintmax_t settled = 0;
    for (Index from = 1; from <= 2000; from += 20) {
        REQUIRE(store->write(entries(from, from + 19, 2000)).ok());
        Write snapshot;
        snapshot.snapshot = proto::Snapshot();
        snapshot.snapshot->set_index(from + 19);
        snapshot.snapshot->set_data(std::string(200000, 's'));
        REQUIRE(store->write(snapshot).ok());
        if (from == 201) settled = std::filesystem::file_size(folder.path / "a/raft.mdb");
    }
    CHECK(std::filesystem::file_size(folder.path / "a/raft.mdb") <= 2 * settled);
    CHECK(settled < 4000000);
}

// Whole configurations come as changes; log and snapshots by the policy in force.
TEST_CASE("The file and what each change writes stay bounded over changes of 200 kB", "[raft]") {
    struct Load {
        const char* name;
        std::size_t state, change;
        Index changes;
        double fileBytes, writtenPerChange;  // at most
    };
    const bool all = std::getenv("MARLDALE_RAFT_FIGURES") != nullptr;
    const auto load = GENERATE_COPY(
        Load{"state 200 kB, changes 200 kB", 200000, 200000, static_cast<Index>(all ? 2000 : 200), 16e6, 3e5},
        Load{"state 8 MB, changes 2 kB", 8000000, 2000, static_cast<Index>(all ? 2000 : 600), 40e6, 1e5});
    const Folder folder;
    auto store = opened(folder.under("a"), true, true, std::size_t{160} << 20U);
    const auto path = folder.path / "a/raft.mdb";
    CompactionPolicy policy;
    std::uint64_t random = 1;
    const auto varied = [&](std::size_t size) {  // by a quarter, up or down
        random = marldale::bytes::mixed(random);
        return size * 3 / 4 + random % (size / 2);
    };
    const std::uint64_t before = writtenByProcess();
    std::uintmax_t after300 = 0;
    for (Index index = 1; index <= load.changes; ++index) {
        Write change;
        change.entries.push_back(entry(1, index, std::string(varied(load.change), 'c')));
        REQUIRE(store->write(change).ok());
        if (policy.applied(change.entries[0].data().size())) {
            Write snapshot;
            snapshot.snapshot = proto::Snapshot();
            snapshot.snapshot->set_index(index);
            snapshot.snapshot->set_data(std::string(varied(load.state), 's'));
            policy.compacted(snapshot.snapshot->data().size());
            REQUIRE(store->write(snapshot).ok());
        }
        if (index == 300) after300 = std::filesystem::file_size(path);
    }
    const std::uint64_t perChange = (writtenByProcess() - before) / load.changes;
    const auto size = std::filesystem::file_size(path);
    if (all)
        std::cout << load.name << ", " << load.changes << " changes: file " << size << " bytes (" << after300
                  << " after 300), written for each change " << perChange << " bytes\n";
    CHECK(static_cast<double>(size) <= load.fileBytes);
    CHECK(static_cast<double>(perChange) <= load.writtenPerChange);
    store.reset();
    CHECK(loaded(*opened(folder.under("a"), true, true, std::size_t{160} << 20U)).snapshot.index() > 0);
}

// A disk each, in one process; messages arrive at once, time runs by what is due.
TEST_CASE("Three replicas on disks elect, commit, and go on after they all have died", "[raft]") {
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
                    machines.at(message.to().address()).replica->receive(now, message);
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
        machines.at(message.to().address()).replica->receive(now, message);
    for (auto& [name, m] : machines) {
        if (m.replica->leads()) continue;
        for (const auto& message : m.replica->take().messages)
            machines.at(message.to().address()).replica->receive(now, message);
    }
    ready = leader().replica->take();
    REQUIRE(ready.reads.size() == 1);
    CHECK(ready.reads[0].confirmed);
    CHECK(ready.reads[0].index == leader().replica->committed());
    for (auto& [name, m] : machines) CHECK(m.replica->quorumContactAge(now) >= 0);
}
