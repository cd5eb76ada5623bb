#include "proxy/box_pool.h"

#include <algorithm>

namespace marldale::proxy {

BoxPool::Lease BoxPool::lease(const std::string& box, const std::string& endpoint, bool freshOnly) {
    Box& b = boxes_[box];
    if (b.endpoint != endpoint) {
        b.idle.clear();  // it has moved
        b.endpoint = endpoint;
    }
    while (!freshOnly && !b.idle.empty()) {
        std::unique_ptr<Stream> stream = std::move(b.idle.back().stream);
        b.idle.pop_back();
        // One that has ended, or says something unasked, is no answer to what will be asked.
        if (!stream->open() || stream->available() > 0) continue;
        ++b.used;
        stream->setHandlers({});
        return {std::move(stream), false};
    }
    const auto address = transport::parseAddress(endpoint);
    if (!address || b.used >= limits_.perBox) return {nullptr, true};
    tls::SslHandle tls;
    if (tls_.context) tls = tls_.context->connection(tls_.name.empty() ? address->host : tls_.name);
    auto stream = std::make_unique<Stream>(loop_, *address, limits_.connectWithin, std::move(tls));
    ++b.used;
    return {std::move(stream), true};
}

void BoxPool::giveBack(const std::string& box, std::unique_ptr<Stream> stream, Micros now) {
    lost(box);
    Box& b = boxes_[box];
    if (!stream->open() || stream->available() > 0 || stream->pending() > 0 ||
        b.idle.size() >= limits_.idlePerBox)
        return;
    // It stays in its place until the next sweep or lease finds that it has ended.
    stream->setHandlers({});
    b.idle.push_back({std::move(stream), now});
}

void BoxPool::lost(const std::string& box) {
    Box& b = boxes_[box];
    b.used -= b.used > 0 ? 1 : 0;
}

void BoxPool::sweep(Micros now, const std::function<bool(const std::string&)>& may) {
    for (auto at = boxes_.begin(); at != boxes_.end();) {
        Box& b = at->second;
        const bool wanted = may(at->first);
        std::erase_if(b.idle, [&](const Idle& i) {
            return !wanted || !i.stream->open() || i.stream->available() > 0 ||
                   now - i.since >= limits_.idleFor;
        });
        at = b.idle.empty() && b.used == 0 ? boxes_.erase(at) : std::next(at);
    }
}

std::size_t BoxPool::idle(const std::string& box) const {
    const auto at = boxes_.find(box);
    return at == boxes_.end() ? 0 : at->second.idle.size();
}
std::size_t BoxPool::inUse(const std::string& box) const {
    const auto at = boxes_.find(box);
    return at == boxes_.end() ? 0 : at->second.used;
}

}  // namespace marldale::proxy
