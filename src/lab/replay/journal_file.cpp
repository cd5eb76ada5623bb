#include "replay/journal_file.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <stdexcept>

namespace marldale::replay {
namespace {

[[noreturn]] void failed(const std::string& what) {
    throw std::runtime_error(what + ": " + std::strerror(errno));
}

std::string whole(int fd, const std::string& path) {
    std::string out;
    std::array<char, 65536> piece{};
    for (;;) {
        const ssize_t got = ::read(fd, piece.data(), piece.size());
        if (got < 0 && errno == EINTR) continue;
        if (got < 0) failed("can't read the journal " + path);
        if (got == 0) return out;
        out.append(piece.data(), static_cast<std::size_t>(got));
    }
}

}  // namespace

JournalFile::JournalFile(const std::string& path, Sync sync)
    : path_(path), sync_(sync), fd_(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC | O_APPEND, 0600)) {
    if (fd_ < 0) failed("can't open the journal " + path);
    try {
        struct stat s {};
        if (fstat(fd_, &s) != 0 || !S_ISREG(s.st_mode)) throw std::runtime_error(path + " is no plain file");
        if (flock(fd_, LOCK_EX | LOCK_NB) != 0)
            throw std::runtime_error("another replay holds the journal " + path);
        read_ = attempts::readJournal(whole(fd_, path));
        if (read_.damaged) {
            throw std::runtime_error("the journal " + path + " is damaged at byte " +
                                     std::to_string(read_.whole) +
                                     ": what was sent is not known any more, so nothing is sent");
        }
        if (read_.torn && ftruncate(fd_, static_cast<off_t>(read_.whole)) != 0)
            failed("can't mend the journal " + path);
    } catch (...) {
        ::close(fd_);
        throw;
    }
}

JournalFile::~JournalFile() { ::close(fd_); }

void JournalFile::append(const std::vector<attempts::JournalRecord>& records, bool mustStand) {
    if (records.empty()) return;
    std::string bytes;
    for (const auto& record : records) {
        const auto one = attempts::encode(record);
        bytes.append(one.data(), one.size());
    }
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t wrote = ::write(fd_, bytes.data() + done, bytes.size() - done);
        if (wrote < 0 && errno == EINTR) continue;
        if (wrote <= 0) failed("can't write the journal " + path_);
        done += static_cast<std::size_t>(wrote);
    }
    if (mustStand && sync_ == Sync::each && fdatasync(fd_) != 0) failed("can't write the journal " + path_);
}

}  // namespace marldale::replay
