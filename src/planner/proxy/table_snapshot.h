// The tables in force on disk, for a proxy that starts while no planner can be had. One line,
// "marldale-tables 1 HASH" (XXH64 of the rest, hexadecimal), then a JSON object. Replaced as a whole.
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

#include "proxy/steering.h"

namespace marldale::proxy {

struct TableSnapshot {
    Orders orders;
    std::string node;
    std::int64_t wallUs = 0;  // of its writing, since 1970
};

[[nodiscard]] std::string encode(const TableSnapshot& snapshot);
[[nodiscard]] std::string sealed(std::string_view body);  // with its first line
[[nodiscard]] std::optional<TableSnapshot> decodeTables(std::string_view bytes, std::string& wrong);

// What of it may be used: nothing, and why in `wrong`, if it is another node's, older than `most`, or from a
// time that the wall clock has not come to.
[[nodiscard]] std::optional<Orders> usable(const TableSnapshot& snapshot, const std::string& node,
                                           std::int64_t wallNowUs, Micros most, std::string& wrong);

// Throws std::runtime_error: what failed, and why.
void writeTables(const std::string& path, const std::string& bytes);
// Nothing and no words if there is no such file.
[[nodiscard]] std::optional<TableSnapshot> readTables(const std::string& path, std::string& wrong);

// Writes on a thread of its own, so that a slow disk holds up nobody; of what waits only the newest.
class TableWriter {
public:
    // `failed`: called on the writer's thread.
    TableWriter(std::string path, std::function<void(const std::string& why)> failed);
    ~TableWriter();  // what waits is still written
    TableWriter(const TableWriter&) = delete;
    TableWriter& operator=(const TableWriter&) = delete;
    void write(std::string bytes);

private:
    void work();
    const std::string path_;
    const std::function<void(const std::string&)> failed_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::optional<std::string> waits_;
    bool ends_ = false;
    std::thread thread_;
};

}  // namespace marldale::proxy
