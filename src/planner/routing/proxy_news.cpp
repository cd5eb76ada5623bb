#include "routing/proxy_news.h"

#include <algorithm>

namespace marldale::routing {

ProxyNews::ProxyNews(transport::Loop& loop, transport::Address relay, std::uint64_t seed,
                     std::function<bool(Input)> post, Logger log)
    : loop_(loop), seed_(seed), post_(std::move(post)), log_(std::move(log)), startOver_(loop, [this] {
          for (Source& source : sources_) source.watch->startOver("no room for news");
      }) {
    watch(relay);
}

ProxyNews::~ProxyNews() = default;

void ProxyNews::watch(const transport::Address& relay) {
    for (std::size_t i = 0; i < limits::kNewsWatches; ++i) add(relay);
}

void ProxyNews::add(const transport::Address& relay) {
    Source& source = sources_.emplace_back();
    NewsWatch::Handlers handlers;
    handlers.begins = [this, &source] { onBegins(source); };
    handlers.line = [this, &source](const protocol::News& news) { onLine(source, news); };
    handlers.stands = [this, &source] { onStands(source); };
    handlers.lost = [this, &source] { onLost(source); };
    source.watch = std::make_unique<NewsWatch>(loop_, relay, seed_++, std::move(handlers), log_);
}

void ProxyNews::moveTo(const transport::Address& relay) {
    for (Source& source : sources_) source.retiring = true;
    watch(relay);
    retire();
}

// Old watches go once a new one stands that needs nobody's word any more, and at once if they are of no use.
// They may be in the middle of a call to us.
void ProxyNews::retire() {
    const bool moved = std::any_of(sources_.begin(), sources_.end(), [](const Source& s) {
        return !s.retiring && s.state == State::live && s.onWord.empty();
    });
    for (auto at = sources_.begin(); at != sources_.end();) {
        const auto source = at++;
        if (!source->retiring || (!moved && source->state != State::down)) continue;
        source->watch->stop();
        auto gone = std::make_unique<std::list<Source>>();
        gone->splice(gone->begin(), sources_, source);
        loop_.bury(std::move(gone));
    }
}

void ProxyNews::tellAgain() {
    for (auto& [id, proxy] : proxies_) {
        if (proxy.joined && !tell(proxy.hello)) return;
    }
}

bool ProxyNews::tell(const protocol::News& news) {
    if (post_(news)) return true;
    // What stands is told again on new connections, so nothing is lost for good.
    startOver_.after(transport::Millis{0});
    return false;
}

void ProxyNews::onBegins(Source& source) { source.state = State::standing; }

void ProxyNews::onStands(Source& source) {
    source.state = State::live;
    // Who has not been named in it has left.
    for (auto& [id, proxy] : proxies_) {
        if (source.joins.count(id)) continue;
        if (proxy.joined) leave(id);
        source.joins[id] = proxy.joins;
    }
    heard(source);
    retire();
}

void ProxyNews::onLost(Source& lost) {
    lost.state = State::down;
    lost.joins.clear();
    lost.onWord.clear();
    // What was taken on its word may be wrong: it may have been mute for a while.
    for (Source& source : sources_) {
        if (source.state == State::down || source.onWord.empty()) continue;
        const std::set<Id> doubtful = std::move(source.onWord);
        source.onWord.clear();
        for (const Id id : doubtful) {
            const Proxy& proxy = proxies_[id];
            if (proxy.joined && !vouched(source, id)) join(source, proxy.hello);
        }
    }
    retire();
}

void ProxyNews::onLine(Source& source, const protocol::News& news) {
    heard(source);
    if (const auto* hello = std::get_if<protocol::Hello>(&news)) onHello(source, *hello);
    if (const auto* bye = std::get_if<protocol::Bye>(&news)) onBye(source, *bye);
    if (const auto* ack = std::get_if<protocol::Ack>(&news)) onAck(*ack);
    retire();
}

// A watch that speaks has told all that was told before: what others took on its word holds.
void ProxyNews::heard(const Source& source) {
    if (source.state != State::live) return;
    for (Source& other : sources_) {
        if (&other == &source || other.state != State::live) continue;
        std::erase_if(other.onWord, [&](Id id) { return !source.onWord.count(id); });
    }
}

bool ProxyNews::vouched(const Source& source, Id id) const {
    const auto proxy = proxies_.find(id);
    if (proxy == proxies_.end() || !proxy->second.joined) return false;
    return std::any_of(sources_.begin(), sources_.end(), [&](const Source& other) {
        if (&other == &source || other.state == State::down || other.onWord.count(id)) return false;
        const auto told = other.joins.find(id);
        return told != other.joins.end() && told->second == proxy->second.joins;
    });
}

void ProxyNews::join(Source& source, const protocol::Hello& hello) {
    Proxy& proxy = proxies_[hello.proxy];
    source.joins[hello.proxy] = ++proxy.joins;
    proxy.hello = hello;
    proxy.joined = true;
    (void)tell(hello);
}

void ProxyNews::leave(Id id) {
    if (tell(protocol::Bye{id})) proxies_[id].joined = false;
}

void ProxyNews::onHello(Source& source, const protocol::Hello& hello) {
    const auto told = source.joins.find(hello.proxy);
    Proxy& proxy = proxies_[hello.proxy];
    if (source.state == State::standing && told == source.joins.end()) {
        if (!vouched(source, hello.proxy)) return join(source, hello);
        source.joins[hello.proxy] = proxy.joins;
        source.onWord.insert(hello.proxy);
        return;
    }
    source.onWord.erase(hello.proxy);
    if (++source.joins[hello.proxy] <= proxy.joins) return;  // another watch was first
    source.joins[hello.proxy] = proxy.joins;
    join(source, hello);
}

void ProxyNews::onBye(Source& source, const protocol::Bye& bye) {
    const auto proxy = proxies_.find(bye.proxy);
    const auto told = source.joins.find(bye.proxy);
    if (proxy == proxies_.end() || told == source.joins.end()) return;
    source.onWord.erase(bye.proxy);
    if (proxy->second.joined && told->second >= proxy->second.joins) leave(bye.proxy);
}

void ProxyNews::onAck(const protocol::Ack& ack) {
    const auto proxy = proxies_.find(ack.proxy);
    if (proxy == proxies_.end() || !proxy->second.joined || proxy->second.mark == ack.mark) return;
    proxy->second.mark = ack.mark;
    (void)tell(ack);
}

}  // namespace marldale::routing
