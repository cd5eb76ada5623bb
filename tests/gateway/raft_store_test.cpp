// Tests of the persistent store, and of replicas with real stores.
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

// A temporary folder, removed at the end.
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

Write writeOfEntries(Index from, Index through, std::size_t size) {
    Write write;
    for (Index i = from; i <= through; ++i)
        write.entries.push_back(entry(1, i, std::string(size, static_cast<char>('a' + i % 26))));
    return write;
}

std::unique_ptr<Store> openStore(const std::string& folder, bool firstRun = true, bool seed = true,
                                 std::size_t mapBytes = std::size_t{16} << 20U) {
    auto store = Store::open(folder, "10.0.0.1:7540", firstRun, seed, mapBytes);
    INFO(store.status());
    REQUIRE(store.ok());
    return std::move(*store);
}

std::string readFile(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
}
void writeFile(const std::string& path, const std::string& bytes) {
    std::ofstream(path, std::ios::binary | std::ios::trunc) << bytes;
}

PersistentState loadState(const Store& store) {
    auto stored = store.load();
    INFO(stored.status());
    REQUIRE(stored.ok());
    return std::move(*stored);
}

// Bytes that this process has passed to write system calls.
std::uint64_t bytesWrittenByProcess() {
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
    CHECK(loadState(*openStore(folder.under("seed"))).self.number() == 0);
    CHECK(loadState(*openStore(folder.under("seed"), false, false)).self.number() == 0);
    const auto number = loadState(*openStore(folder.under("late"), true, false)).self.number();
    CHECK(number != 0);
    CHECK(loadState(*openStore(folder.under("late"), true, true)).self.number() == number);
    const auto wiped = loadState(*openStore(folder.under("wiped"), false, true)).self.number();
    CHECK(wiped != 0);
    CHECK(wiped != number);
}

TEST_CASE("Written state is loaded after reopening", "[raft]") {
    const Folder folder;
    {
        auto store = openStore(folder.under("a"));
        Write write = writeOfEntries(1, 9, 100);
        write.hasHardState = true;
        write.term = 3;
        write.votedFor = proto::Member();
        write.votedFor->set_address("10.0.0.2:7540");
        REQUIRE(store->write(write).ok());
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
    const PersistentState stored = loadState(*openStore(folder.under("a")));
    CHECK(stored.term == 3);
    REQUIRE(stored.votedFor);
    CHECK(stored.votedFor->address() == "10.0.0.2:7540");
    CHECK(stored.snapshot.index() == 4);
    CHECK(stored.snapshot.data().size() == 500000);
    REQUIRE(stored.entries.size() == 3);
    CHECK(stored.entries[0].index() == 5);
    CHECK(stored.entries[2].data() == "new");
}

TEST_CASE("A damaged record is reported and not used", "[raft]") {
    const Folder folder;
    const std::string path = folder.under("a/raft.mdb");
    REQUIRE(openStore(folder.under("a"))->write(writeOfEntries(1, 5, 300)).ok());
    std::string bytes = readFile(path);
    const auto where = bytes.find(std::string(300, 'a' + 3));
    REQUIRE(where != std::string::npos);
    bytes[where + 150] ^= 1;
    writeFile(path, bytes);
    const auto stored = openStore(folder.under("a"))->load();
    CHECK(absl::IsDataLoss(stored.status()));
    CHECK_THAT(std::string(stored.status().message()), Catch::Contains("entry 3") && Catch::Contains(path));
}

TEST_CASE("A root page with parts of two transactions is reported", "[raft]") {
    const Folder folder;
    const std::string path = folder.under("a/raft.mdb");
    {
        auto store = openStore(folder.under("a"));
        REQUIRE(store->write(writeOfEntries(1, 3, 300)).ok());
        REQUIRE(store->write(writeOfEntries(4, 5, 300)).ok());
    }
    // LMDB 0.9 alternates between two root pages. Bytes 40 to 136 describe the databases, followed by the
    // last page number; the transaction number is at 144.
    std::string bytes = readFile(path);
    constexpr std::size_t kPage = 4096;
    std::uint64_t first = 0;
    std::uint64_t second = 0;
    std::memcpy(&first, &bytes[144], 8);
    std::memcpy(&second, &bytes[kPage + 144], 8);
    REQUIRE(std::max(first, second) == std::min(first, second) + 1);
    const std::size_t newer = first > second ? 0 : kPage;
    std::copy_n(&bytes[kPage - newer + 40], 104, &bytes[newer + 40]);
    writeFile(path, bytes);
    const auto store = Store::open(folder.under("a"), "10.0.0.1:7540", false, true);
    CHECK(absl::IsDataLoss(store.status()));
}

TEST_CASE("Large entries and snapshots are loaded whole, and a damaged part is reported", "[raft]") {
    const Folder folder;
    const std::string path = folder.under("a/raft.mdb");
    const std::string state = std::string(90000, 's') + "only here" + std::string(110000, 't');
    {
        auto store = openStore(folder.under("a"));
        REQUIRE(store->write(writeOfEntries(1, 6, 200000)).ok());
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
    const PersistentState stored = loadState(*openStore(folder.under("a")));
    CHECK(stored.snapshot.data() == state);
    REQUIRE(stored.entries.size() == 3);
    CHECK(stored.entries[0].data() == std::string(200000, 'a' + 5));
    CHECK(stored.entries[1].data() == std::string(16, 'x'));
    CHECK(stored.entries[2].data() == std::string(50000, 'y'));
    std::string bytes = readFile(path);
    const auto where = bytes.find("only here");
    REQUIRE(where != std::string::npos);
    bytes[where] ^= 1;
    writeFile(path, bytes);
    const auto damaged = openStore(folder.under("a"))->load();
    CHECK(absl::IsDataLoss(damaged.status()));
    CHECK_THAT(std::string(damaged.status().message()), Catch::Contains("a part of the snapshot"));
}

// LMDB writes the pages, syncs them and then writes the root page. A power loss before the last step leaves
// new pages with the old root pages.
TEST_CASE("A power loss before the root page is written leaves the previous state", "[raft]") {
    const Folder folder;
    const std::string path = folder.under("a/raft.mdb");
    constexpr std::size_t kRoots = std::size_t{2} * 4096;
    auto store = openStore(folder.under("a"));
    for (Index index = 1; index <= 40; ++index) {
        const std::string before = readFile(path);
        const PersistentState stateBefore = loadState(*store);
        Write write = writeOfEntries(index, index, 30000 + 1000 * index);
        if (index % 5 == 0) {
            write.snapshot = proto::Snapshot();
            write.snapshot->set_index(index - 2);
            write.snapshot->set_data(std::string(100000 + 3000 * index, 's'));
        }
        REQUIRE(store->write(write).ok());
        std::string torn = readFile(path);
        std::copy_n(before.begin(), kRoots, torn.begin());
        std::filesystem::create_directories(folder.path / "torn");
        writeFile(folder.under("torn/raft.mdb"), torn);
        const PersistentState found = loadState(*openStore(folder.under("torn")));
        CHECK(found.snapshot.index() == stateBefore.snapshot.index());
        CHECK(found.snapshot.data() == stateBefore.snapshot.data());
        REQUIRE(found.entries.size() == stateBefore.entries.size());
        for (std::size_t k = 0; k < stateBefore.entries.size(); ++k)
            CHECK(found.entries[k].data() == stateBefore.entries[k].data());
    }
}

TEST_CASE("A full log reports it, keeps its content and accepts writes once there is space", "[raft]") {
    const Folder folder;
    auto store = openStore(folder.under("a"), true, true, std::size_t{2} << 20U);
    Index last = 0;
    absl::Status status;
    while (status.ok()) {
        REQUIRE(last < 100);
        status = store->write(writeOfEntries(last + 1, last + 1, 100000));
        last += status.ok() ? 1 : 0;
    }
    CHECK(absl::IsResourceExhausted(status));
    CHECK(loadState(*store).entries.size() == last);
    Write snapshot;
    snapshot.snapshot = proto::Snapshot();
    snapshot.snapshot->set_index(last);
    REQUIRE(store->write(snapshot).ok());
    REQUIRE(store->write(writeOfEntries(last + 1, last + 1, 100000)).ok());
    store.reset();
    CHECK(loadState(*openStore(folder.under("a"))).entries.size() == 1);
}

TEST_CASE("A write that the disk refused can be retried", "[raft]") {
    const Folder folder;
    auto store = openStore(folder.under("a"));
    REQUIRE(store->write(writeOfEntries(1, 3, 300)).ok());
    struct rlimit before {};
    REQUIRE(::getrlimit(RLIMIT_FSIZE, &before) == 0);
    const auto size = std::filesystem::file_size(folder.path / "a/raft.mdb");
    const struct rlimit tight { size, before.rlim_max };
    const auto handler = std::signal(SIGXFSZ, SIG_IGN);
    REQUIRE(::setrlimit(RLIMIT_FSIZE, &tight) == 0);
    const absl::Status refused = store->write(writeOfEntries(4, 6, 20000));
    const absl::Status again = store->write(writeOfEntries(4, 6, 20000));
    REQUIRE(::setrlimit(RLIMIT_FSIZE, &before) == 0);
    std::signal(SIGXFSZ, handler);
    CHECK(absl::IsResourceExhausted(refused));
    CHECK(absl::IsResourceExhausted(again));
    REQUIRE(store->write(writeOfEntries(4, 6, 20000)).ok());
    store.reset();
    CHECK(loadState(*openStore(folder.under("a"))).entries.size() == 6);
}

TEST_CASE("The file does not grow with compacted entries", "[raft]") {
    const Folder folder;
    auto store = openStore(folder.under("a"));
    std::uintmax_t settledSize = 0;
    for (Index from = 1; from <= 2000; from += 20) {
        REQUIRE(store->write(writeOfEntries(from, from + 19, 2000)).ok());
        Write snapshot;
        snapshot.snapshot = proto::Snapshot();
        snapshot.snapshot->set_index(from + 19);
        snapshot.snapshot->set_data(std::string(200000, 's'));
        REQUIRE(store->write(snapshot).ok());
        if (from == 201) settledSize = std::filesystem::file_size(folder.path / "a/raft.mdb");
    }
    CHECK(std::filesystem::file_size(folder.path / "a/raft.mdb") <= 2 * settledSize);
    CHECK(settledSize < 4000000);
}

// Each change is a whole configuration; the production compaction policy decides on snapshots.
TEST_CASE("The file and what each change writes stay bounded over changes of 200 kB", "[raft]") {
    struct Load {
        const char* name;
        std::size_t state, change;
        Index changes;
        double fileBytes, writtenPerChange;  // upper limits
    };
    const bool all = std::getenv("MARLDALE_RAFT_FIGURES") != nullptr;
    const auto load = GENERATE_COPY(
        Load{"state 200 kB, changes 200 kB", 200000, 200000, static_cast<Index>(all ? 2000 : 200), 16e6, 3e5},
        Load{"state 8 MB, changes 2 kB", 8000000, 2000, static_cast<Index>(all ? 2000 : 600), 40e6, 1e5});
    const Folder folder;
    auto store = openStore(folder.under("a"), true, true, std::size_t{160} << 20U);
    const auto path = folder.path / "a/raft.mdb";
    CompactionPolicy policy;
    std::uint64_t random = 1;
    const auto varied = [&](std::size_t size) {  // by up to a quarter in either direction
        random = marldale::bytes::mixed(random);
        return size * 3 / 4 + random % (size / 2);
    };
    const std::uint64_t before = bytesWrittenByProcess();
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
    const std::uint64_t perChange = (bytesWrittenByProcess() - before) / load.changes;
    const auto size = std::filesystem::file_size(path);
    if (all)
        std::cout << load.name << ", " << load.changes << " changes: file " << size << " bytes (" << after300
                  << " after 300), written for each change " << perChange << " bytes\n";
    CHECK(static_cast<double>(size) <= load.fileBytes);
    CHECK(static_cast<double>(perChange) <= load.writtenPerChange);
    store.reset();
    CHECK(loadState(*openStore(folder.under("a"), true, true, std::size_t{160} << 20U)).snapshot.index() > 0);
}

// Replicas with a store each in one process. Messages arrive at once, and time advances to the next timer.
TEST_CASE("Three replicas with stores elect, commit, and continue after all were stopped", "[raft]") {
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
            auto& machine = machines[name];
            auto store = Store::open(folder.under(name), name, true, true, std::size_t{8} << 20U);
            REQUIRE(store.ok());
            machine.store = std::move(*store);
            machine.replica = std::make_unique<Replica>(settings, loadState(*machine.store), now);
        }
    };
    const auto settle = [&] {
        for (bool progressed = true; progressed;) {
            progressed = false;
            for (auto& [name, machine] : machines) {
                auto ready = machine.replica->take();
                for (const auto& message : ready.messages) {
                    progressed = true;
                    machines.at(message.to().address()).replica->receive(now, message);
                }
                for (const auto& write : ready.writes) {
                    progressed = true;
                    REQUIRE(machine.store->write(write).ok());
                    machine.replica->persisted(now, write.number);
                }
                if (ready.install) machine.applied = {ready.install->data()};
                for (const auto& entry : ready.committed)
                    if (entry.kind() == proto::Entry::CHANGE) machine.applied.push_back(entry.data());
            }
        }
    };
    const auto run = [&](Micros span) {
        for (const Micros end = now + span; now < end;) {
            settle();
            Micros due = end;
            for (auto& [name, machine] : machines) due = std::min(due, machine.replica->nextDue());
            now = std::max(now, due);
            for (auto& [name, machine] : machines) machine.replica->tick(now);
        }
        settle();
    };
    const auto leader = [&]() -> Machine& {
        for (auto& [name, machine] : machines)
            if (machine.replica->leads()) return machine;
        FAIL("no leader");
        return machines.begin()->second;
    };
    start();
    run(3000000);
    for (int k = 0; k < 5; ++k) {
        REQUIRE(leader().replica->propose(now, std::to_string(k)));
        settle();
    }
    for (auto& [name, machine] : machines)
        CHECK(machine.applied == std::vector<std::string>{"0", "1", "2", "3", "4"});
    auto& first = leader();
    first.replica->compact(now, first.replica->committed(), "01234");
    settle();
    const Term before = first.replica->term();
    start();
    run(3000000);
    CHECK(leader().replica->term() > before);
    REQUIRE(leader().replica->propose(now, "5"));
    settle();
    for (auto& [name, machine] : machines) {
        std::string all;
        for (const auto& a : machine.applied) all += a;
        CHECK(all == "012345");
    }
    leader().replica->read(now, 7);
    auto ready = leader().replica->take();
    CHECK(ready.reads.empty());
    for (const auto& message : ready.messages)
        machines.at(message.to().address()).replica->receive(now, message);
    for (auto& [name, machine] : machines) {
        if (machine.replica->leads()) continue;
        for (const auto& message : machine.replica->take().messages)
            machines.at(message.to().address()).replica->receive(now, message);
    }
    ready = leader().replica->take();
    REQUIRE(ready.reads.size() == 1);
    CHECK(ready.reads[0].confirmed);
    CHECK(ready.reads[0].index == leader().replica->committed());
    for (auto& [name, machine] : machines) CHECK(machine.replica->quorumContactAge(now) >= 0);
}
