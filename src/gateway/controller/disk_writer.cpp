#include "gateway/controller/disk_writer.h"

#include <fcntl.h>
#include <unistd.h>
#include <xxhash.h>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <sstream>

#include "bytes/varint.h"

namespace marldale::controller {
namespace {

constexpr auto kRetryDelay = std::chrono::milliseconds(150);

bool writeAndSync(const std::string& path, const std::string& text) {
    const int file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
    if (file < 0) return false;
    std::size_t at = 0;
    while (at < text.size()) {
        const ssize_t wrote = ::write(file, text.data() + at, text.size() - at);
        if (wrote <= 0) break;
        at += static_cast<std::size_t>(wrote);
    }
    const bool complete = at == text.size() && ::fdatasync(file) == 0;
    return ::close(file) == 0 && complete;
}
bool syncDirectoryOf(const std::string& path) {
    const int directory = ::open(path.substr(0, path.rfind('/')).c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (directory < 0) return false;
    const bool synced = ::fsync(directory) == 0;
    return ::close(directory) == 0 && synced;
}

}  // namespace

DiskWriter::DiskWriter(boost::asio::io_context& io, std::unique_ptr<raft::Store> store,
                       std::function<void(std::uint64_t)> onWritten,
                       std::function<void(std::string)> onFailed)
    : io_(io),
      store_(std::move(store)),
      onWritten_(std::move(onWritten)),
      onFailed_(std::move(onFailed)),
      thread_([this] { run(); }) {}

DiskWriter::~DiskWriter() {
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_one();
    thread_.join();
}

void DiskWriter::write(raft::Write write) {
    {
        const std::lock_guard lock(mutex_);
        queue_.push_back(std::move(write));
    }
    changed_.notify_one();
}

void DiskWriter::writeFile(std::string path, std::string text, std::function<void(bool)> onEnd) {
    {
        const std::lock_guard lock(mutex_);
        pendingFiles_[std::move(path)] = {std::move(text), std::move(onEnd)};
    }
    changed_.notify_one();
}

void DiskWriter::writePendingFile(const std::string& path, const PendingFile& file) {
    std::string checksum;
    bytes::putFixed(checksum, static_cast<std::uint64_t>(XXH3_64bits(file.text.data(), file.text.size())));
    const std::string temporary = path + ".new";
    const bool durable = writeAndSync(temporary, checksum + file.text) &&
                         std::rename(temporary.c_str(), path.c_str()) == 0 && syncDirectoryOf(path);
    if (file.onEnd) boost::asio::post(io_, [onEnd = file.onEnd, durable] { onEnd(durable); });
}

std::optional<std::string> DiskWriter::readFile(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    std::ostringstream all;
    if (!file || !(all << file.rdbuf())) return std::nullopt;
    const std::string text = all.str();
    if (text.size() < 8 ||
        bytes::fixedAt<std::uint64_t>(text, 0) != XXH3_64bits(text.data() + 8, text.size() - 8))
        return std::nullopt;
    return text.substr(8);
}

void DiskWriter::run() {
    std::unique_lock lock(mutex_);
    while (true) {
        changed_.wait(lock, [this] { return stopping_ || !queue_.empty() || !pendingFiles_.empty(); });
        if (queue_.empty() && !pendingFiles_.empty() && !stopping_) {
            const auto next = pendingFiles_.extract(pendingFiles_.begin());
            lock.unlock();
            writePendingFile(next.key(), next.mapped());
            lock.lock();
            continue;
        }
        if (queue_.empty()) return;
        const raft::Write next = std::move(queue_.front());
        queue_.pop_front();
        bool reported = false;
        while (true) {
            lock.unlock();
            const absl::Status status = store_->write(next);
            lock.lock();
            if (status.ok()) break;
            if (!reported) {
                reported = true;
                boost::asio::post(io_, [this, text = std::string(status.message())] { onFailed_(text); });
            }
            changed_.wait_for(lock, kRetryDelay, [this] { return stopping_; });
            if (stopping_) return;
        }
        boost::asio::post(io_, [this, number = next.number] { onWritten_(number); });
    }
}

}  // namespace marldale::controller
