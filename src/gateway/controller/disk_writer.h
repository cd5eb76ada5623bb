// The thread that waits for the disk, so that the loop never does. A write that fails (a full disk) is tried
// again until it succeeds; those behind it wait.
#pragma once

#include <utility>  // Boost 1.74 forgets it

#include <boost/asio.hpp>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "gateway/raft/store.h"

namespace marldale::controller {

class DiskWriter {
public:
    // `done` is called on the loop with the number of each write that is durable; `failed` with a write's
    // first error.
    DiskWriter(boost::asio::io_context& io, std::unique_ptr<raft::Store> store,
               std::function<void(std::uint64_t)> done, std::function<void(std::string)> failed);
    ~DiskWriter();
    DiskWriter(const DiskWriter&) = delete;
    DiskWriter& operator=(const DiskWriter&) = delete;
    void write(raft::Write write);
    // A file that is written whole beside the old one and moved over it, behind all writes that wait.
    // `ended`, if given, is called on the loop and told whether the file is durable; it isn't called for a
    // text that a newer one for the same path has replaced before it was written.
    void keep(std::string path, std::string text, std::function<void(bool)> ended = nullptr);
    // Nothing if it isn't there or isn't whole.
    [[nodiscard]] static std::optional<std::string> kept(const std::string& path);

private:
    struct Keep {
        std::string text;
        std::function<void(bool)> ended;
    };
    void run();
    void writeKept(const std::string& path, const Keep& keep);

    boost::asio::io_context& io_;
    std::unique_ptr<raft::Store> store_;
    std::function<void(std::uint64_t)> done_;
    std::function<void(std::string)> failed_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<raft::Write> queue_;
    std::map<std::string, Keep> keeping_;  // by path, the newest text
    bool ending_ = false;
    std::thread thread_;
};

}  // namespace marldale::controller
