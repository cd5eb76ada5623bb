// The relay's news of proxies, merged out of several watches: while one of them stands, the break of another
// costs nothing, and the planner can move to a new relay without taking its proxies for gone or new.
//
// Every watch tells the same joins and leaves in the same order. So a proxy's joins are counted, for each
// watch and over all; a watch that tells a join or a leave which another has told already is behind, and says
// nothing new. What stands when a watch begins is taken for known where another watch has told of that join
// and turns out to be alive; else for new: a proxy that left and came back unseen is bound to none of our
// tables.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>

#include "routing/news_watch.h"
#include "routing/translator.h"

namespace marldale::routing {

class ProxyNews {
public:
    // `post` says whether there was room.
    ProxyNews(transport::Loop& loop, transport::Address relay, std::uint64_t seed,
              std::function<bool(Input)> post, Logger log);
    ~ProxyNews();
    ProxyNews(const ProxyNews&) = delete;
    ProxyNews& operator=(const ProxyNews&) = delete;

    // From here on the news is had there. The old watches stay until a new one stands.
    void moveTo(const transport::Address& relay);
    // The module has lost its proxies: all that are joined are told again.
    void tellAgain();
    [[nodiscard]] std::size_t watches() const { return sources_.size(); }
    [[nodiscard]] std::size_t known() const { return proxies_.size(); }

private:
    using Id = std::uint16_t;
    enum class State { down, standing, live };
    struct Source {
        std::unique_ptr<NewsWatch> watch;
        State state = State::down;
        bool retiring = false;              // at an address that is no longer ours
        std::map<Id, std::uint64_t> joins;  // by proxy, as it has told; 0 for what it has not named
        std::set<Id> onWord;  // taken for known because another watch knew them, which was not heard since
    };
    struct Proxy {
        protocol::Hello hello;
        std::uint64_t joins = 0;  // told by whichever watch was first
        std::uint64_t mark = 0;   // the last that it answered
        bool joined = false;
    };

    void watch(const transport::Address& relay);
    void add(const transport::Address& relay);
    void onBegins(Source& source);
    void onStands(Source& source);
    void onLost(Source& source);
    void onLine(Source& source, const protocol::News& news);
    void onHello(Source& source, const protocol::Hello& hello);
    void onBye(Source& source, const protocol::Bye& bye);
    void onAck(const protocol::Ack& ack);
    void heard(const Source& source);
    [[nodiscard]] bool vouched(const Source& source, Id id) const;
    void join(Source& source, const protocol::Hello& hello);
    void leave(Id id);
    bool tell(const protocol::News& news);
    void retire();

    transport::Loop& loop_;
    std::uint64_t seed_;
    const std::function<bool(Input)> post_;
    const Logger log_;
    std::list<Source> sources_;
    std::map<Id, Proxy> proxies_;
    transport::Timer startOver_;  // there was no room: all watches begin anew
};

}  // namespace marldale::routing
