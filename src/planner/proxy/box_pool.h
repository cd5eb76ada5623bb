// Connections to boxes: idle ones are used again, newest first; so many at most for each box.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "policy/types.h"
#include "proxy/stream.h"

namespace marldale::proxy {

struct PoolLimits {
    std::size_t perBox = 256;  // in use and idle
    std::size_t idlePerBox = 32;
    Micros idleFor = 15 * 1000000LL;
    transport::Millis connectWithin{1000};
};

// Boxes prove who they are to the authority's satisfaction, by `name`, or by the address that was dialled.
struct BoxTls {
    std::shared_ptr<const tls::Context> context;  // null: plain TCP
    std::string name;
};

class BoxPool {
public:
    BoxPool(transport::Loop& loop, PoolLimits limits, BoxTls tls = {})
        : loop_(loop), limits_(limits), tls_(std::move(tls)) {}

    struct Lease {
        std::unique_ptr<Stream> stream;  // null: there is no room, or the address is none
        bool fresh = true;               // it is being dialled
    };
    [[nodiscard]] Lease lease(const std::string& box, const std::string& endpoint, bool freshOnly);
    // It may carry another request: all of this one's answer was read, and nothing else came.
    void giveBack(const std::string& box, std::unique_ptr<Stream> stream, Micros now);
    void lost(const std::string& box);  // one that was leased is gone
    // Idle ones to boxes for which `may` is false, and those that have been idle for long, are closed.
    void sweep(Micros now, const std::function<bool(const std::string&)>& may);
    [[nodiscard]] std::size_t idle(const std::string& box) const;
    [[nodiscard]] std::size_t inUse(const std::string& box) const;

private:
    struct Idle {
        std::unique_ptr<Stream> stream;
        Micros since = 0;
    };
    struct Box {
        std::string endpoint;
        std::deque<Idle> idle;
        std::size_t used = 0;
    };
    transport::Loop& loop_;
    const PoolLimits limits_;
    const BoxTls tls_;
    std::map<std::string, Box> boxes_;
};

}  // namespace marldale::proxy
