#include "sources/byte_source.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>
#include <zlib.h>
#include <zstd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>
#include <vector>

namespace marldale::sources {
namespace {

constexpr std::size_t kPackedPiece = std::size_t{64} << 10U;
constexpr int kZstdWindowMost = 27;  // 128 MiB, what zstd itself allows without being asked

[[noreturn]] void failed(const std::string& what) { throw SourceError(what + ": " + std::strerror(errno)); }

class Descriptor {
public:
    explicit Descriptor(int fd) : fd_(fd) {}
    ~Descriptor() { close(); }
    Descriptor(Descriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
    Descriptor& operator=(Descriptor&& other) noexcept {
        close();
        fd_ = std::exchange(other.fd_, -1);
        return *this;
    }
    [[nodiscard]] int get() const { return fd_; }

private:
    void close() {
        if (fd_ > STDERR_FILENO) ::close(fd_);
    }
    int fd_;
};

int openForReading(const std::string& path) {
    const int fd = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (fd < 0) failed("can't open " + path);
    struct stat s {};
    if (fstat(fd, &s) == 0 && S_ISDIR(s.st_mode)) {
        ::close(fd);
        throw SourceError(path + " is a folder");
    }
    return fd;
}

class FileSource : public ByteSource {
public:
    FileSource(std::string path, int fd, bool follow) : path_(std::move(path)), fd_(fd), follow_(follow) {}

    std::size_t read(char* into, std::size_t room) override {
        for (;;) {
            const ssize_t got = ::read(fd_.get(), into, room);
            if (got < 0 && errno == EINTR) continue;
            if (got < 0) failed("can't read " + path_);
            offset_ += got;
            if (got > 0 || !follow_ || !turned()) return static_cast<std::size_t>(got);
        }
    }
    bool mayGrow() const override { return follow_; }
    std::uint64_t rotations() const override { return rotations_; }

private:
    // Whether there is another file under the name, or this one has been cut to nothing; it is opened then.
    bool turned() {
        struct stat open {
        }, named{};
        if (fstat(fd_.get(), &open) != 0 || stat(path_.c_str(), &named) != 0) return false;
        const bool another = open.st_ino != named.st_ino || open.st_dev != named.st_dev;
        if (!another && named.st_size >= offset_) return false;
        const int fd = ::open(path_.c_str(), O_RDONLY | O_CLOEXEC);
        if (fd < 0) return false;
        fd_ = Descriptor(fd);
        offset_ = 0;
        ++rotations_;
        return true;
    }
    const std::string path_;
    Descriptor fd_;
    const bool follow_;
    off_t offset_ = 0;
    std::uint64_t rotations_ = 0;
};

class MemorySource : public ByteSource {
public:
    explicit MemorySource(std::string bytes) : bytes_(std::move(bytes)) {}
    std::size_t read(char* into, std::size_t room) override {
        const std::size_t size = std::min(room, bytes_.size() - at_);
        std::memcpy(into, bytes_.data() + at_, size);
        at_ += size;
        return size;
    }

private:
    const std::string bytes_;
    std::size_t at_ = 0;
};

// Another source whose first bytes were read already to tell what it is.
class Begun : public ByteSource {
public:
    Begun(std::unique_ptr<ByteSource> inner, std::string first)
        : inner_(std::move(inner)), first_(std::move(first)) {}
    std::size_t read(char* into, std::size_t room) override {
        if (at_ == first_.size()) return inner_->read(into, room);
        const std::size_t size = std::min(room, first_.size() - at_);
        std::memcpy(into, first_.data() + at_, size);
        at_ += size;
        return size;
    }
    bool mayGrow() const override { return inner_->mayGrow(); }
    std::uint64_t rotations() const override { return inner_->rotations(); }

private:
    std::unique_ptr<ByteSource> inner_;
    const std::string first_;
    std::size_t at_ = 0;
};

// What packed sources share: packed bytes come in pieces, and a stream that ends in its middle is cut.
class Packed : public ByteSource {
public:
    explicit Packed(std::unique_ptr<ByteSource> inner) : inner_(std::move(inner)), piece_(kPackedPiece) {}

    std::size_t read(char* into, std::size_t room) override {
        for (;;) {
            if (from_ == to_ && !ended_) {
                from_ = 0;
                to_ = inner_->read(piece_.data(), piece_.size());
                ended_ = to_ == 0;
            }
            const std::size_t before = from_;
            const std::size_t got = unpack(into, room);
            if (got > 0) return got;
            if (ended_ && from_ == to_) {
                if (inside()) throw SourceError("the packed stream is cut");
                return 0;
            }
            if (from_ == before && from_ != to_) throw SourceError("the packed stream is damaged");
        }
    }

protected:
    // Takes from `from_` to `to_` of the piece, and gives what comes of it.
    virtual std::size_t unpack(char* into, std::size_t room) = 0;
    [[nodiscard]] virtual bool inside() const = 0;  // a packed stream

    std::unique_ptr<ByteSource> inner_;
    std::vector<char> piece_;
    std::size_t from_ = 0, to_ = 0;
    bool ended_ = false;
};

class GzipSource : public Packed {
public:
    explicit GzipSource(std::unique_ptr<ByteSource> inner) : Packed(std::move(inner)) {
        if (inflateInit2(&stream_, 15 + 16) != Z_OK) throw SourceError("no memory to unpack gzip");
    }
    ~GzipSource() override { inflateEnd(&stream_); }

protected:
    std::size_t unpack(char* into, std::size_t room) override {
        if (from_ == to_ && !inside_) return 0;
        stream_.next_in = reinterpret_cast<Bytef*>(piece_.data() + from_);
        stream_.avail_in = static_cast<uInt>(to_ - from_);
        stream_.next_out = reinterpret_cast<Bytef*>(into);
        stream_.avail_out = static_cast<uInt>(room);
        inside_ = true;
        const int code = inflate(&stream_, Z_NO_FLUSH);
        from_ = to_ - stream_.avail_in;
        const std::size_t got = room - stream_.avail_out;
        if (code == Z_STREAM_END) {  // another member may follow
            inside_ = false;
            inflateReset(&stream_);
        } else if (code != Z_OK && code != Z_BUF_ERROR) {
            throw SourceError(std::string("the gzip stream is damaged: ") +
                              (stream_.msg ? stream_.msg : "unreadable"));
        }
        return got;
    }
    bool inside() const override { return inside_; }

private:
    z_stream stream_{};
    bool inside_ = false;
};

class ZstdSource : public Packed {
public:
    explicit ZstdSource(std::unique_ptr<ByteSource> inner)
        : Packed(std::move(inner)), stream_(ZSTD_createDStream()) {
        if (!stream_) throw SourceError("no memory to unpack zstd");
        ZSTD_DCtx_setParameter(stream_.get(), ZSTD_d_windowLogMax, kZstdWindowMost);
    }

protected:
    std::size_t unpack(char* into, std::size_t room) override {
        ZSTD_inBuffer in{piece_.data(), to_, from_};
        ZSTD_outBuffer out{into, room, 0};
        const std::size_t code = ZSTD_decompressStream(stream_.get(), &out, &in);
        if (ZSTD_isError(code) != 0) {
            throw SourceError(std::string("the zstd stream is damaged: ") + ZSTD_getErrorName(code));
        }
        // At the end of a frame it asks for nothing; that it was begun is known by what it took.
        if (in.pos != from_ || out.pos != 0) inside_ = code != 0;
        from_ = in.pos;
        return out.pos;
    }
    bool inside() const override { return inside_; }

private:
    struct Free {
        void operator()(ZSTD_DStream* s) const { ZSTD_freeDStream(s); }
    };
    std::unique_ptr<ZSTD_DStream, Free> stream_;
    bool inside_ = false;
};

std::unique_ptr<ByteSource> unpacked(std::unique_ptr<ByteSource> plain) {
    std::string first(4, 0);
    std::size_t size = 0;
    while (size < first.size()) {
        const std::size_t got = plain->read(first.data() + size, first.size() - size);
        if (got == 0) break;
        size += got;
    }
    first.resize(size);
    auto begun = std::make_unique<Begun>(std::move(plain), first);
    if (first.starts_with("\x1f\x8b")) return std::make_unique<GzipSource>(std::move(begun));
    if (first == "\x28\xb5\x2f\xfd") return std::make_unique<ZstdSource>(std::move(begun));
    return begun;
}

}  // namespace

std::unique_ptr<ByteSource> openSource(const std::string& path, OpenSettings settings) {
    const bool standard = path == "-";
    const int fd = standard ? STDIN_FILENO : openForReading(path);
    return unpacked(std::make_unique<FileSource>(path, fd, settings.follow && !standard));
}

std::unique_ptr<ByteSource> sourceOf(std::string bytes) {
    return unpacked(std::make_unique<MemorySource>(std::move(bytes)));
}

}  // namespace marldale::sources
