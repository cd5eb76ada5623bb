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
constexpr std::size_t kHead = 20, kHashAt = 12;

std::uint64_t hashOf(std::string_view bytes) {
    XXH64_state_t state;
    XXH64_reset(&state, 0);
    XXH64_update(&state, bytes.data() + kMagic.size(), kHashAt - kMagic.size());
    XXH64_update(&state, bytes.data() + kHead, bytes.size() - kHead);
    return XXH64_digest(&state);
}

[[noreturn]] void failed(const std::string& what) {
    throw std::runtime_error(what + ": " + std::strerror(errno));
}

class Descriptor {
public:
    explicit Descriptor(int fd) : fd_(fd) {}
    ~Descriptor() {
        if (fd_ >= 0) ::close(fd_);
    }
    Descriptor(const Descriptor&) = delete;
    Descriptor& operator=(const Descriptor&) = delete;
    [[nodiscard]] int get() const { return fd_; }

private:
    int fd_;
};

}  // namespace

std::string encode(const Snapshot& snapshot) {
    std::string out(kMagic);
    bytes::putFixed<std::int64_t>(out, snapshot.wallUs);
    bytes::putFixed<std::uint64_t>(out, 0);
    out += encode(snapshot.handover);
    std::string hash;
    bytes::putFixed<std::uint64_t>(hash, hashOf(out));
    return out.replace(kHashAt, hash.size(), hash);
}

std::optional<Snapshot> decodeSnapshot(std::string_view bytes, std::string& wrong) {
    if (bytes.size() < kHead || !bytes.starts_with(kMagic)) {
        wrong = "this is no snapshot of knowledge";
        return std::nullopt;
    }
    if (hashOf(bytes) != bytes::fixedAt<std::uint64_t>(bytes, kHashAt)) {
        wrong = "it is torn or damaged";
        return std::nullopt;
    }
    auto handover = decode(bytes.substr(kHead), wrong);
    if (!handover) return std::nullopt;
    return Snapshot{std::move(*handover), bytes::fixedAt<std::int64_t>(bytes, kMagic.size())};
}

void writeSnapshot(const std::string& path, const Snapshot& snapshot) {
    const std::string part = path + ".part", bytes = encode(snapshot);
    {
        const Descriptor file(::open(part.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
        if (file.get() < 0) failed("can't write " + part);
        std::size_t done = 0;
        while (done < bytes.size()) {
            const ssize_t wrote = ::write(file.get(), bytes.data() + done, bytes.size() - done);
            if (wrote < 0 && errno == EINTR) continue;
            if (wrote <= 0) {
                const int error = errno;
                ::unlink(part.c_str());
                errno = error;
                failed("can't write " + part);
            }
            done += static_cast<std::size_t>(wrote);
        }
        if (fsync(file.get()) != 0) failed("can't write " + part);
    }
    if (std::rename(part.c_str(), path.c_str()) != 0) failed("can't write " + path);
}

std::optional<Snapshot> readSnapshot(const std::string& path, std::string& wrong) {
    wrong.clear();
    const Descriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK));
    if (file.get() < 0) {
        if (errno != ENOENT) wrong = std::string("can't be opened: ") + std::strerror(errno);
        return std::nullopt;
    }
    std::string bytes;
    std::array<char, 65536> piece{};
    for (;;) {
        const ssize_t got = ::read(file.get(), piece.data(), piece.size());
        if (got < 0 && errno == EINTR) continue;
        if (got < 0) {
            wrong = std::string("can't be read: ") + std::strerror(errno);
            return std::nullopt;
        }
        if (got == 0) break;
        bytes.append(piece.data(), static_cast<std::size_t>(got));
        if (bytes.size() > kHandoverMost + 64) {
            wrong = "is too large";
            return std::nullopt;
        }
    }
    return decodeSnapshot(bytes, wrong);
}

std::optional<Micros> ageOf(const Snapshot& snapshot, std::int64_t wallNowUs) {
    if (snapshot.wallUs > wallNowUs || snapshot.wallUs <= 0) return std::nullopt;
    return wallNowUs - snapshot.wallUs;
}

}  // namespace marldale::recovery
