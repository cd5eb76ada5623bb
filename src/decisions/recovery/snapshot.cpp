// Encoding, atomic replacement and reading of snapshot files.
#include "recovery/snapshot.h"

#define XXH_INLINE_ALL
#include <fcntl.h>
#include <unistd.h>
#include <xxhash.h>

#include <array>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <stdexcept>

#include "bytes/varint.h"

namespace marldale::recovery {
namespace {

constexpr std::string_view kMagic = "MRLS";
constexpr std::size_t kHeaderBytes = 20, kChecksumOffset = 12;

// XXH64 of all bytes except the magic and the checksum field.
std::uint64_t checksumOf(std::string_view bytes) {
    XXH64_state_t state;
    XXH64_reset(&state, 0);
    XXH64_update(&state, bytes.data() + kMagic.size(), kChecksumOffset - kMagic.size());
    XXH64_update(&state, bytes.data() + kHeaderBytes, bytes.size() - kHeaderBytes);
    return XXH64_digest(&state);
}

[[noreturn]] void throwErrno(const std::string& what) {
    throw std::runtime_error(what + ": " + std::strerror(errno));
}

// Closes a file descriptor at the end of its scope.
class ScopedFd {
public:
    explicit ScopedFd(int fd) : fd_(fd) {}
    ~ScopedFd() {
        if (fd_ >= 0) ::close(fd_);
    }
    ScopedFd(const ScopedFd&) = delete;
    ScopedFd& operator=(const ScopedFd&) = delete;
    [[nodiscard]] int get() const { return fd_; }

private:
    int fd_;
};

}  // namespace

std::string encode(const Snapshot& snapshot) {
    std::string out(kMagic);
    bytes::putFixed<std::int64_t>(out, snapshot.exportedAtUs);
    bytes::putFixed<std::uint64_t>(out, 0);
    out += encode(snapshot.handover);
    std::string checksum;
    bytes::putFixed<std::uint64_t>(checksum, checksumOf(out));
    return out.replace(kChecksumOffset, checksum.size(), checksum);
}

std::optional<Snapshot> decodeSnapshot(std::string_view bytes, std::string& error) {
    if (bytes.size() < kHeaderBytes || !bytes.starts_with(kMagic)) {
        error = "not a knowledge snapshot";
        return std::nullopt;
    }
    if (checksumOf(bytes) != bytes::fixedAt<std::uint64_t>(bytes, kChecksumOffset)) {
        error = "truncated or corrupt";
        return std::nullopt;
    }
    auto handover = decode(bytes.substr(kHeaderBytes), error);
    if (!handover) return std::nullopt;
    return Snapshot{std::move(*handover), bytes::fixedAt<std::int64_t>(bytes, kMagic.size())};
}

void writeSnapshot(const std::string& path, const Snapshot& snapshot) {
    const std::string temporary = path + ".part", bytes = encode(snapshot);
    {
        const ScopedFd file(::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
        if (file.get() < 0) throwErrno("cannot write " + temporary);
        std::size_t written = 0;
        while (written < bytes.size()) {
            const ssize_t count = ::write(file.get(), bytes.data() + written, bytes.size() - written);
            if (count < 0 && errno == EINTR) continue;
            if (count <= 0) {
                const int error = errno;
                ::unlink(temporary.c_str());
                errno = error;
                throwErrno("cannot write " + temporary);
            }
            written += static_cast<std::size_t>(count);
        }
        if (fsync(file.get()) != 0) throwErrno("cannot write " + temporary);
    }
    if (std::rename(temporary.c_str(), path.c_str()) != 0) throwErrno("cannot write " + path);
}

std::optional<Snapshot> readSnapshot(const std::string& path, std::string& error) {
    error.clear();
    const ScopedFd file(::open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK));
    if (file.get() < 0) {
        if (errno != ENOENT) error = std::string("cannot be opened: ") + std::strerror(errno);
        return std::nullopt;
    }
    std::string bytes;
    std::array<char, 65536> buffer{};
    for (;;) {
        const ssize_t count = ::read(file.get(), buffer.data(), buffer.size());
        if (count < 0 && errno == EINTR) continue;
        if (count < 0) {
            error = std::string("cannot be read: ") + std::strerror(errno);
            return std::nullopt;
        }
        if (count == 0) break;
        bytes.append(buffer.data(), static_cast<std::size_t>(count));
        if (bytes.size() > kMaxHandoverBytes + 64) {
            error = "file is too large";
            return std::nullopt;
        }
    }
    return decodeSnapshot(bytes, error);
}

std::optional<Micros> snapshotAge(const Snapshot& snapshot, std::int64_t wallNowUs) {
    if (snapshot.exportedAtUs > wallNowUs || snapshot.exportedAtUs <= 0) return std::nullopt;
    return wallNowUs - snapshot.exportedAtUs;
}

}  // namespace marldale::recovery
