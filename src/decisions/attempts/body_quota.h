// Room for kept bodies, shared by many requests. What is promised is counted when it is promised, so that the
// quota is never passed; each client with something kept has a fair part; who gives way when room is short is
// stated here and nowhere else. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace marldale::attempts {

using BodyId = std::uint64_t;

class BodyQuota {
public:
    struct Settings {
        std::size_t bytes = std::size_t{32} << 20U;  // of all bodies together
        std::size_t each = std::size_t{64} << 10U;   // of one body
    };
    explicit BodyQuota(Settings settings) : settings_(settings) {}

    // A request whose body begins to arrive; nothing is kept of it yet. `worth`: of its class, for whose
    // bodies give way first. Its id is not used by another one that is open.
    void open(BodyId id, std::uint64_t client, double worth);
    struct Grant {
        bool granted = false;
        std::vector<BodyId> evicted;  // their bodies are gone now: they are to be dropped
    };
    // So many bytes more are to be kept of it, or none at all: then its body is gone, and what was kept is
    // free.
    [[nodiscard]] Grant reserve(BodyId id, std::size_t bytes);
    // Its body is needed no more (its try is final), or was dropped.
    void release(BodyId id);
    // Another size, by reload; bodies give way until they fit.
    [[nodiscard]] std::vector<BodyId> resize(std::size_t bytes);

    [[nodiscard]] std::size_t used() const { return used_; }
    [[nodiscard]] std::size_t open() const { return bodies_.size(); }
    [[nodiscard]] std::size_t kept(BodyId id) const;
    [[nodiscard]] std::size_t fairPart(
        std::uint64_t client) const;  // bytes, of each client that keeps something, and of this one

private:
    struct Body {
        std::uint64_t client = 0;
        double worth = 1;
        std::size_t bytes = 0;
        bool gone = false;
    };
    // The one that gives way for a body of this client and worth; 0: none.
    [[nodiscard]] BodyId victim(std::uint64_t client, double worth, BodyId but, bool ownOnly) const;
    void drop(Body& body);

    Settings settings_;
    std::map<BodyId, Body> bodies_;
    std::unordered_map<std::uint64_t, std::size_t> byClient_;  // bytes; those without any are absent
    std::size_t used_ = 0;
};

}  // namespace marldale::attempts
