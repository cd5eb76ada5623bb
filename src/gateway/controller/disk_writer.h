// Performs disk writes on a thread of its own, so that the event loop never blocks on the disk. A log write
// that fails, for example on a full disk, is retried until it succeeds; the writes queued behind it wait.
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

/// Writes the replicated log and small files, and reports the results on the event loop.
class DiskWriter {
public:
    /// `onWritten` is called on the loop with the number of each durable write, `onFailed` with the first
    /// error of a write.
    DiskWriter(boost::asio::io_context& io, std::unique_ptr<raft::Store> store,
               std::function<void(std::uint64_t)> onWritten, std::function<void(std::string)> onFailed);
    ~DiskWriter();
    DiskWriter(const DiskWriter&) = delete;
    DiskWriter& operator=(const DiskWriter&) = delete;
    /// Queues a write of the log.
    void write(raft::Write write);
    /// Replaces a file atomically (written to a temporary file, then renamed), after all queued log writes.
    /// `onEnd`, if given, is called on the loop with whether the file is durable. It is not called for a text
    /// that a newer one for the same path replaced before it was written.
    void writeFile(std::string path, std::string text, std::function<void(bool)> onEnd = nullptr);
    /// Reads a file written by `writeFile`; nothing if it is missing or its checksum does not match.
    [[nodiscard]] static std::optional<std::string> readFile(const std::string& path);

private:
    struct PendingFile {
        std::string text;
        std::function<void(bool)> onEnd;
    };
    void run();
    void writePendingFile(const std::string& path, const PendingFile& file);

    boost::asio::io_context& io_;
    std::unique_ptr<raft::Store> store_;
    std::function<void(std::uint64_t)> onWritten_;
    std::function<void(std::string)> onFailed_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<raft::Write> queue_;
    std::map<std::string, PendingFile> pendingFiles_;  // by path, the newest text
    bool stopping_ = false;
    std::thread thread_;
};

}  // namespace marldale::controller
