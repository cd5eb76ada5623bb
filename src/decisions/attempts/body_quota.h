// The memory for buffered request bodies, shared by all requests of a process. Bytes are counted when they
// are reserved, so the quota is never exceeded. Each client that buffers something is guaranteed a fair
// share; which bodies are evicted when memory is short is decided here alone. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace marldale::attempts {

using BodyId = std::uint64_t;

/// Accounts for the bytes of buffered bodies; the bytes themselves stay with the caller.
class BodyQuota {
public:
    struct Settings {
        std::size_t bytes = std::size_t{32} << 20U;  // of all bodies together
        std::size_t each = std::size_t{64} << 10U;   // of one body
    };
    explicit BodyQuota(Settings settings) : settings_(settings) {}

    /// Registers a request whose body begins to arrive; nothing of it is buffered yet. `worth` is its
    /// class's: bodies of less worth are evicted first. The id must not be in use.
    void open(BodyId id, std::uint64_t client, double worth);
    struct Grant {
        bool granted = false;
        std::vector<BodyId> evicted;  // the caller must drop the buffers of these bodies
    };
    /// Reserves that many more bytes for a body. If they are not granted, the body is gone: what was buffered
    /// of it is freed, and nothing more will be granted.
    [[nodiscard]] Grant reserve(BodyId id, std::size_t bytes);
    /// Forgets a body: the request's last try is over, or the caller has dropped the buffer.
    void release(BodyId id);
    /// Changes the total size, on a reload of the settings. Returns the bodies that were evicted to fit.
    [[nodiscard]] std::vector<BodyId> resize(std::size_t bytes);

    [[nodiscard]] std::size_t used() const { return used_; }
    [[nodiscard]] std::size_t open() const { return bodies_.size(); }
    /// The bytes that are reserved for a body.
    [[nodiscard]] std::size_t kept(BodyId id) const;
    /// The bytes for each client, when shared evenly among this client and all that buffer something.
    [[nodiscard]] std::size_t fairShare(std::uint64_t client) const;

private:
    struct Body {
        std::uint64_t client = 0;
        double worth = 1;
        std::size_t bytes = 0;
        bool gone = false;
    };
    // The body to evict in favour of a body of this client and worth; 0 if there is none.
    [[nodiscard]] BodyId victim(std::uint64_t client, double worth, BodyId except, bool ownOnly) const;
    void drop(Body& body);

    Settings settings_;
    std::map<BodyId, Body> bodies_;
    std::unordered_map<std::uint64_t, std::size_t> byClient_;  // bytes; clients without any are absent
    std::size_t used_ = 0;
};

}  // namespace marldale::attempts
