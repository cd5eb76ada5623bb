// The disk writer: the order of writes, a disk that rejects a write, and shutdown.
#include <utility>  // Boost 1.74 forgets it

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <filesystem>
#include <numeric>

#include "gateway/controller/disk_writer.h"

namespace marldale::controller {
namespace {

using raft::Store;
using raft::Write;

struct Fixture {
    explicit Fixture(std::size_t mapBytes = std::size_t{16} << 20U) {
        std::string name = (std::filesystem::temp_directory_path() / "disk-writer-XXXXXX").string();
        directory = ::mkdtemp(name.data());
        openWriter(mapBytes);
    }
    ~Fixture() {
        writer.reset();
        std::filesystem::remove_all(directory);
    }
    Fixture(const Fixture&) = delete;
    Fixture& operator=(const Fixture&) = delete;

    void openWriter(std::size_t mapBytes) {
        auto store = Store::open(directory, "10.0.0.1:7540", true, true, mapBytes);
        REQUIRE(store.ok());
        writer = std::make_unique<DiskWriter>(
            io, std::move(*store), [this](std::uint64_t number) { written.push_back(number); },
            [this](std::string text) { errors.push_back(std::move(text)); });
    }
    void runUntil(const std::function<bool()>& done) {
        while (!done()) REQUIRE(io.run_one_for(std::chrono::seconds(20)) == 1);
    }
    static Write entry(std::uint64_t number, std::size_t size) {
        Write out;
        out.number = number;
        auto& entry = out.entries.emplace_back();
        entry.set_index(number);
        entry.set_term(1);
        entry.set_data(std::string(size, 'x'));
        return out;
    }

    std::string directory;
    boost::asio::io_context io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> open =
        boost::asio::make_work_guard(io);
    std::vector<std::uint64_t> written;
    std::vector<std::string> errors;
    std::unique_ptr<DiskWriter> writer;
};

}  // namespace

TEST_CASE("Disk writer: writes reported as durable are on disk, in order", "[controller][threads]") {
    Fixture fixture;
    for (std::uint64_t number = 1; number <= 100; ++number)
        fixture.writer->write(Fixture::entry(number, 200));
    fixture.runUntil([&] { return fixture.written.size() == 50; });
    for (std::uint64_t number = 101; number <= 150; ++number)
        fixture.writer->write(Fixture::entry(number, 200));
    fixture.runUntil([&] { return fixture.written.size() == 150; });
    std::vector<std::uint64_t> all(150);
    std::iota(all.begin(), all.end(), 1);
    CHECK(fixture.written == all);
    CHECK(fixture.errors.empty());
    fixture.writer.reset();
    auto again = Store::open(fixture.directory, "10.0.0.1:7540", false, true, std::size_t{16} << 20U);
    REQUIRE(again.ok());
    const auto stored = (*again)->load();
    REQUIRE(stored.ok());
    CHECK(stored->entries.size() == 150);
}

TEST_CASE(
    "Disk writer: a failing write is reported once, blocks the writes behind it, and does not block shutdown",
    "[controller][threads]") {
    Fixture fixture(std::size_t{1} << 20U);
    fixture.writer->write(Fixture::entry(1, 200));
    fixture.writer->write(
        Fixture::entry(2, std::size_t{4} << 20U));  // larger than the database, so it always fails
    fixture.writer->write(Fixture::entry(3, 200));
    fixture.runUntil([&] { return !fixture.errors.empty(); });
    CHECK(fixture.written == std::vector<std::uint64_t>{1});
    fixture.writer.reset();
    fixture.io.poll();
    CHECK(fixture.written == std::vector<std::uint64_t>{1});
    CHECK(fixture.errors.size() == 1);
}

}  // namespace marldale::controller
