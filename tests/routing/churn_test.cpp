// A long day: servers, proxies and streams are replaced generation after generation, and what is kept stays
// bounded by who is there now. Every byte that the module holds is counted.
#include <gtest/gtest.h>
#include <malloc.h>

#include <atomic>
#include <cstdlib>
#include <new>

#include "policy/policy.h"
#include "routing/proxy_news.h"
#include "support/sockets.h"

namespace {
std::atomic<long long> live{0};  // bytes
}

// The plain and the nothrow form, which sorting uses; a sanitizer's own would not match the delete below.
void* operator new(std::size_t size, const std::nothrow_t&) noexcept {
    void* const p = std::malloc(size);
    if (p != nullptr) live += static_cast<long long>(malloc_usable_size(p));
    return p;
}
void* operator new(std::size_t size) {
    void* const p = operator new(size, std::nothrow);
    if (p == nullptr) throw std::bad_alloc();
    return p;
}
void operator delete(void* p) noexcept {
    if (p != nullptr) live -= static_cast<long long>(malloc_usable_size(p));
    std::free(p);
}
void operator delete(void* p, std::size_t) noexcept { operator delete(p); }
void operator delete(void* p, const std::nothrow_t&) noexcept { operator delete(p); }

namespace marldale {
namespace {

constexpr Micros kMs = 1000, kSecond = 1000 * kMs;

// One generation takes a second: a server of each zone is replaced under a new id, a proxy leaves and comes
// back, and all servers are reported on.
class LongDay {
public:
    LongDay() : planner_(tests::smallConfig().settings) {
        for (ServerId id = 0; id < kServers; ++id) list_.push_back(entry(id));
        turn({ServerListUpdate{1, ServerListUpdateKind::full, list_}});
        for (ProxyId p = 0; p < kProxies; ++p) turn({ProxyJoined{p, static_cast<ZoneId>(p % 2), 5, true}});
    }
    void generation() {
        std::vector<ListEntry> changed;
        for (int k = 0; k < 2; ++k) {
            list_.front().state = ServerState::gone;
            changed.push_back(list_.front());
            list_.erase(list_.begin());
            list_.push_back(entry(next_));
            changed.push_back(list_.back());
        }
        turn({ServerListUpdate{++version_, ServerListUpdateKind::delta, changed}});
        const auto back = static_cast<ProxyId>(version_ % kProxies);
        turn({ProxyLeft{back}});
        turn({ProxyJoined{back, static_cast<ZoneId>(back % 2), 5, true}});
        std::vector<Event> sums;
        for (const ListEntry& e : list_)
            sums.push_back(ServerStats{e.server, 0, 10, 1, kSecond, 150 * kMs, {}});
        for (ProxyId p = 0; p < kProxies; ++p) sums.push_back(ProxyDemand{p, 0, 5, 0, kSecond});
        turn(sums);
        for (int i = 0; i < 5; ++i) turn({});
    }
    [[nodiscard]] std::size_t orders() const { return orders_; }

private:
    static constexpr ServerId kServers = 10;
    static constexpr ProxyId kProxies = 8;

    ListEntry entry(ServerId id) {
        next_ = id + 1;
        return {id, 0, 0, 0, static_cast<ZoneId>(id % 2), 1, ServerState::ready};
    }
    void turn(std::vector<Event> events) {
        for (const Event& ack : due_) events.push_back(ack);
        due_.clear();
        now_ += 120 * kMs;
        for (const Action& action : planner_.turn(now_, events)) {
            const auto* mark = std::get_if<Mark>(&action);
            orders_ += std::holds_alternative<SetLine>(action);
            for (ProxyId p = 0; mark != nullptr && p < kProxies; ++p) {
                due_.emplace_back(Acknowledged{p, mark->mark, kMs});
            }
        }
    }

    Planner planner_;
    std::vector<ListEntry> list_;
    std::vector<Event> due_;
    ServerId next_ = 0;
    std::uint64_t version_ = 1;
    Micros now_ = 100 * kSecond;
    std::size_t orders_ = 0;
};

TEST(LongDays, TheModuleHoldsNoMoreAfterAThousandGenerationsThanAfterThreeHundred) {
    LongDay day;
    for (int i = 0; i < 300; ++i) day.generation();
    const long long before = live;
    const std::size_t orders = day.orders();
    long long most = 0;
    for (int i = 0; i < 700; ++i) {
        day.generation();
        most = std::max<long long>(most, live);
    }
    EXPECT_GT(day.orders(), orders + 1400) << "the new servers are used";
    EXPECT_LT(most - before, 20000) << "1,400 servers have come and gone meanwhile";
}

TEST(LongDays, ProxiesThatComeAndGoAreKeptByTheirNumberOnly) {
    transport::Loop loop;
    tests::Scripted relay(loop, [](tests::Scripted::Client& c) {
        if (c.got != "WATCH\r\n") return;
        c.say("OK\r\n*\r\n");
        for (int i = 0; i < 3000; ++i) {
            const std::string id = std::to_string(i % 9);
            c.say("* hello " + id + " a 5 0\r\n* ack " + id + " " + std::to_string(i) + " 3\r\n* bye " + id +
                  "\r\n");
        }
    });
    std::size_t byes = 0;
    routing::ProxyNews news(
        loop, relay.address(), 1,
        [&](const routing::Input& input) {
            byes += std::holds_alternative<protocol::Bye>(std::get<protocol::News>(input));
            return true;
        },
        [](const char*, const std::string&) {});
    ASSERT_TRUE(tests::runUntil(loop, [&] { return byes >= 3000; }));
    EXPECT_EQ(news.known(), 9U);
    EXPECT_EQ(news.watches(), routing::limits::kNewsWatches);
}

}  // namespace
}  // namespace marldale
