// Bytes of a log, plain or packed, from a file or from standard input.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>

namespace marldale::sources {

// Something that can't be read any further; what came before stands.
struct SourceError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class ByteSource {
public:
    virtual ~ByteSource() = default;
    ByteSource() = default;
    ByteSource(const ByteSource&) = delete;
    ByteSource& operator=(const ByteSource&) = delete;

    // Up to `room` bytes; 0: there are none now. Throws SourceError.
    [[nodiscard]] virtual std::size_t read(char* into, std::size_t room) = 0;
    // For a file that is still being written: whether a further read may bring more. A file that was rotated
    // away is read to its end first, then the new one under its name begins.
    [[nodiscard]] virtual bool mayGrow() const { return false; }
    // How often the file under the name was replaced, or cut to nothing, while it was read.
    [[nodiscard]] virtual std::uint64_t rotations() const { return 0; }
};

struct OpenSettings {
    bool follow = false;  // it is still being written
};

// `-` is standard input. gzip and zstd are told by their first bytes. Throws SourceError.
[[nodiscard]] std::unique_ptr<ByteSource> openSource(const std::string& path, OpenSettings settings = {});
// The same over bytes in memory, for tests.
[[nodiscard]] std::unique_ptr<ByteSource> sourceOf(std::string bytes);

}  // namespace marldale::sources
