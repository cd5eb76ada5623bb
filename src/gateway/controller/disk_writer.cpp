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

constexpr auto kAgainAfter = std::chrono::milliseconds(150);

bool writeWhole(const std::string& path, const std::string& text) {
    const int file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
    if (file < 0) return false;
    std::size_t at = 0;
    while (at < text.size()) {
        const ssize_t wrote = ::write(file, text.data() + at, text.size() - at);
        if (wrote <= 0) break;
        at += static_cast<std::size_t>(wrote);
    }
    const bool whole = at == text.size() && ::fdatasync(file) == 0;
    return ::close(file) == 0 && whole;
}
bool syncFolderOf(const std::string& path) {
    const int folder = ::open(path.substr(0, path.rfind('/')).c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (folder < 0) return false;
    const bool synced = ::fsync(folder) == 0;
    return ::close(folder) == 0 && synced;
}

}  // namespace

DiskWriter::DiskWriter(boost::asio::io_context& io, std::unique_ptr<raft::Store> store,
                       std::function<void(std::uint64_t)> done, std::function<void(std::string)> failed)
    : io_(io), store_(std::move(store)), done_(std::move(done)), failed_(std::move(failed)), thread_([this] {
          run();
      }) {}

DiskWriter::~DiskWriter() {
    {
        const std::lock_guard lock(mutex_);
        ending_ = true;
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

void DiskWriter::keep(std::string path, std::string text, std::function<void(bool)> ended) {
    {
        const std::lock_guard lock(mutex_);
        keeping_[std::move(path)] = {std::move(text), std::move(ended)};
    }
    changed_.notify_one();
}

void DiskWriter::writeKept(const std::string& path, const Keep& keep) {
    std::string head;
    bytes::putFixed(head, static_cast<std::uint64_t>(XXH3_64bits(keep.text.data(), keep.text.size())));
    const std::string beside = path + ".new";
    const bool durable = writeWhole(beside, head + keep.text) &&
                         std::rename(beside.c_str(), path.c_str()) == 0 && syncFolderOf(path);
    if (keep.ended) boost::asio::post(io_, [ended = keep.ended, durable] { ended(durable); });
}

std::optional<std::string> DiskWriter::kept(const std::string& path) {
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
        changed_.wait(lock, [this] { return ending_ || !queue_.empty() || !keeping_.empty(); });
        if (queue_.empty() && !keeping_.empty() && !ending_) {
            const auto next = keeping_.extract(keeping_.begin());
            lock.unlock();
            writeKept(next.key(), next.mapped());
            lock.lock();
            continue;
        }
        if (queue_.empty()) return;
        const raft::Write next = std::move(queue_.front());
        queue_.pop_front();
        bool told = false;
        while (true) {
            lock.unlock();
            const absl::Status status = store_->write(next);
            lock.lock();
            if (status.ok()) break;
            if (!told) {
                told = true;
                boost::asio::post(io_, [this, text = std::string(status.message())] { failed_(text); });
            }
            changed_.wait_for(lock, kAgainAfter, [this] { return ending_; });
            if (ending_) return;
        }
        boost::asio::post(io_, [this, number = next.number] { done_(number); });
    }
}

}  // namespace marldale::controller
