#include "gateway/packages.h"

#include <cstdlib>
#include <deque>
#include <filesystem>
#include <map>
#include <memory>
#include <stdexcept>

#include "gateway/configuration/configuration_store.h"
#include "gateway/distribution/steering.h"
#include "gateway/gauge.h"
#include "gateway/gossip/view.h"
#include "gateway/raft/store.h"
#include "gateway/registry/registry.h"
#include "gateway/upstream/tables.h"

namespace marldale::capacity {
namespace {

constexpr Micros kSecond = 1000000;

void add(std::vector<Slope>& out, const char* name, const char* sizeName, const char* unit,
         std::vector<Point> points) {
    Slope slope{name, sizeName, unit, std::move(points)};
    slope.line = fit(slope.points);
    out.push_back(std::move(slope));
}

std::size_t servicesOf(std::size_t servers) { return std::max<std::size_t>(1, servers / kServersAService); }

proto::ResourceBatch serverOrders(std::size_t servers) {
    proto::ResourceBatch orders;
    orders.set_index(1);
    orders.set_fresh(true);
    orders.set_servers_whole(true);
    for (std::size_t k = 0; k < servers; ++k)
        *orders.add_resources()->mutable_server() = serverLine(k, servicesOf(servers));
    return orders;
}
// One table a service, all of its servers in it, bound for all kinds.
proto::ResourceBatch weightOrders(std::size_t servers) {
    proto::ResourceBatch orders;
    const std::size_t services = servicesOf(servers);
    for (std::size_t k = 0; k < servers; ++k) {
        auto* line = orders.add_resources()->mutable_weight();
        line->set_service(serviceName(k % services));
        line->set_table(1);
        line->set_server(serverId(k));
        line->set_weight(1.5F);
    }
    for (std::size_t k = 0; k < services; ++k) {
        auto* bind = orders.add_resources()->mutable_bind();
        bind->set_service(serviceName(k));
        bind->set_table(1);
    }
    return orders;
}

void routes(std::vector<Slope>& out) {
    std::vector<Point> memory, seconds, bytes, lookups;
    for (const std::size_t n : {2000U, 8000U, 32000U}) {
        proto::ResourceBatch orders;
        orders.set_index(1);
        orders.set_fresh(true);
        for (std::size_t k = 0; k < n; ++k) *orders.add_resources()->mutable_route() = routeLine(k, 100);
        const auto size = static_cast<double>(n);
        const double before = heapBytes();
        upstream::Tables tables;
        tables.apply(orders, 1);
        memory.push_back({size, heapBytes() - before});
        seconds.push_back({size, 1e6 * leastOf(3, [&] {
                                     upstream::Tables other;
                                     other.apply(orders, 1);
                                 })});
        bytes.push_back({size, static_cast<double>(orders.ByteSizeLong())});
        constexpr std::size_t kLookups = 20000;
        std::vector<std::pair<std::string, std::string>> asked;
        for (std::size_t k = 0; k < kLookups; ++k)
            asked.emplace_back(hostName(k * 7919 % n), pathStart(k * 7919 % n) + "item/17");
        std::size_t found = 0;
        lookups.push_back({size, 1e9 / kLookups * leastOf(3, [&] {
                                     for (const auto& [host, path] : asked)
                                         found += tables.route(host, path) ? 1 : 0;
                                 })});
        if (found != 3 * kLookups) throw std::runtime_error("a route was not found");
    }
    add(out, "proxy: memory of routes", "routes", "B", memory);
    add(out, "proxy: processor time to take routes", "routes", "us", seconds);
    add(out, "wire: bytes of route lines", "routes", "B", bytes);
    add(out, "proxy: finding a route", "routes", "ns", lookups);
}

void servers(std::vector<Slope>& out) {
    std::vector<Point> memory, seconds, bytes, weights, weightSeconds, weightBytes, sums;
    for (const std::size_t n : {1800U, 7200U, 28800U}) {
        const auto size = static_cast<double>(n);
        const proto::ResourceBatch lines = serverOrders(n), tablesOf = weightOrders(n);
        double before = heapBytes();
        upstream::Tables tables;
        tables.apply(lines, 1);
        memory.push_back({size, heapBytes() - before});
        seconds.push_back({size, 1e6 * leastOf(3, [&] {
                                     upstream::Tables other;
                                     other.apply(lines, 1);
                                 })});
        bytes.push_back({size, static_cast<double>(lines.ByteSizeLong())});
        before = heapBytes();
        const auto fill = [&] {
            tables.apply(tablesOf, 2);
            for (std::size_t k = 0; k < servicesOf(n); ++k) {
                upstream::Route route;
                route.shares = {{serviceName(k), 1}};
                (void)tables.pick(tables.serviceOf(route), upstream::Kind::readOnly, {}, 3);
            }
        };
        fill();
        weights.push_back({size, heapBytes() - before});
        weightSeconds.push_back({size, 1e6 * leastOf(3, fill)});
        weightBytes.push_back({size, static_cast<double>(tablesOf.ByteSizeLong())});
        sums.push_back({size, 1e6 * leastOf(5, [&] {
                                  proto::LoadReport told;
                                  tables.takeLoadReport(told);
                              })});
    }
    add(out, "proxy: memory of server lines", "servers", "B", memory);
    add(out, "proxy: processor time to take server lines", "servers", "us", seconds);
    add(out, "wire: bytes of server lines", "servers", "B", bytes);
    add(out, "proxy: memory of weights and candidates", "servers", "B", weights);
    add(out, "proxy: processor time to take weights and make candidates", "servers", "us", weightSeconds);
    add(out, "wire: bytes of weight lines and binds", "servers", "B", weightBytes);
    add(out, "proxy: one making of sums, nothing asked", "servers", "us", sums);
}

void services(std::vector<Slope>& out) {
    std::vector<Point> memory, bytes;
    for (const std::size_t n : {500U, 2000U, 8000U}) {
        proto::ResourceBatch orders;
        orders.set_index(1);
        for (std::size_t k = 0; k < n; ++k) {
            auto* line = orders.add_resources()->mutable_service();
            line->set_name(serviceName(k));
            line->set_health_path("/health");
            line->set_max_connections(96);
            line->set_warm_up(3 * kSecond);
            line->set_cold_per_s(19);
            auto* budget = orders.add_resources()->mutable_budget();
            budget->set_service(serviceName(k));
            budget->set_per_request(0.17);
            budget->set_per_s(0.3);
            budget->set_burst(3);
        }
        const double before = heapBytes();
        upstream::Tables tables;
        tables.apply(orders, 1);
        memory.push_back({static_cast<double>(n), heapBytes() - before});
        bytes.push_back({static_cast<double>(n), static_cast<double>(orders.ByteSizeLong())});
    }
    add(out, "proxy: memory of services and budgets", "services", "B", memory);
    add(out, "wire: bytes of service and budget lines", "services", "B", bytes);
}

void picks(std::vector<Slope>& out) {
    std::vector<Point> seconds;
    for (const std::size_t n : {6U, 18U, 54U}) {
        proto::ResourceBatch orders;
        orders.set_index(1);
        for (std::size_t k = 0; k < n; ++k) *orders.add_resources()->mutable_server() = serverLine(k, 1);
        for (std::size_t k = 0; k < n; ++k) {
            auto* line = orders.add_resources()->mutable_weight();
            line->set_service(serviceName(0));
            line->set_table(1);
            line->set_server(serverId(k));
            line->set_weight(1 + static_cast<float>(k % 3));
        }
        auto* bind = orders.add_resources()->mutable_bind();
        bind->set_service(serviceName(0));
        bind->set_table(1);
        upstream::Tables tables;
        tables.apply(orders, 1);
        upstream::Route route;
        route.shares = {{serviceName(0), 1}};
        upstream::Service& service = tables.serviceOf(route);
        constexpr int kPicks = 20000;
        std::size_t found = 0;
        seconds.push_back({static_cast<double>(n),
                           1e9 / kPicks * leastOf(3, [&] {
                               for (int k = 0; k < kPicks; ++k) {
                                   found += tables.pick(service, upstream::Kind::readOnly, {}, 10).room ==
                                                    upstream::Room::found
                                                ? 1
                                                : 0;
                               }
                           })});
        if (found != 3 * kPicks) throw std::runtime_error("no server was picked");
    }
    add(out, "proxy: one pick", "servers of the service", "ns", seconds);
}

void wire(std::vector<Slope>& out) {
    std::vector<Point> words, sums;
    for (const std::size_t n : {3U, 6U, 12U}) {
        proto::Frame frame;
        frame.mutable_heartbeat()->set_age(150000);
        frame.mutable_heartbeat()->set_index(61000);
        frame.mutable_heartbeat()->set_edge_proxies(4200);
        for (std::size_t k = 0; k < n; ++k) {
            auto* peer = frame.mutable_heartbeat()->add_controllers();
            peer->set_address(serverAddress(k));
            peer->set_control(serverAddress(k));
            peer->set_zone(zoneName(k));
            peer->set_incarnation(0x9e3779b97f4a7c15ULL);
            peer->set_node("core-" + std::to_string(10 + k));
        }
        words.push_back({static_cast<double>(n), static_cast<double>(frame.ByteSizeLong()) + 4});
    }
    for (const std::size_t n : {50U, 200U, 800U}) {
        proto::Frame frame;
        frame.mutable_load_report()->set_period(kSecond);
        for (std::size_t k = 0; k < n; ++k) {
            auto* server = frame.mutable_load_report()->add_servers();
            server->set_server(serverId(k));
            server->set_tries(2);
            server->set_mean_time(90000);
        }
        sums.push_back({static_cast<double>(n), static_cast<double>(frame.ByteSizeLong()) + 4});
    }
    add(out, "wire: bytes of a word", "controller named", "B", words);
    add(out, "wire: bytes of sums", "servers asked", "B", sums);
}

void registry(std::vector<Slope>& out) {
    std::vector<Point> memory, beats, ticks, bytes;
    for (const std::size_t n : {2000U, 6000U, 18000U}) {
        const auto size = static_cast<double>(n);
        const double before = heapBytes();
        registry::Registry registry{registry::Settings{}};
        for (std::size_t k = 0; k < n; ++k) (void)registry.applyReport(kSecond, serverWord(k, servicesOf(n)));
        memory.push_back({size, heapBytes() - before});
        if (registry.servers().size() != n) throw std::runtime_error("the registry did not take all servers");
        std::vector<std::string> told;  // as another controller passes them on
        for (std::uint64_t count = 2; count < 5; ++count) {
            proto::ServerUpdates words;
            for (std::size_t k = 0; k < n; ++k) {
                auto* word = words.add_servers();
                *word = serverWord(k, servicesOf(n));
                word->set_call_count(count);
            }
            told.push_back(words.SerializeAsString());
        }
        std::size_t round = 0;
        beats.push_back({size, 1e6 * leastOf(3, [&] {
                                   proto::ServerUpdates words;
                                   if (!words.ParseFromString(told[round++]))
                                       throw std::runtime_error("news could not be read");
                                   for (const proto::Server& word : words.servers())
                                       (void)registry.applyReport(kSecond, word);
                               })});
        ticks.push_back({size, 1e6 * leastOf(5, [&] { (void)registry.tick(kSecond + 100); })});
        proto::ServerUpdates news;
        for (const auto& [id, server] : registry.servers())
            *news.add_servers() = registry.reportOf(server, kSecond);
        bytes.push_back({size, static_cast<double>(news.ByteSizeLong())});
    }
    add(out, "controller: memory of the registry", "servers", "B", memory);
    add(out, "controller: news of each read and taken in", "servers", "us", beats);
    add(out, "controller: a look at who is silent", "servers", "us", ticks);
    add(out, "wire: bytes of news", "servers", "B", bytes);
}

void plansRoom(std::vector<Slope>& out) {
    std::vector<Point> memory, seconds, bytes, snapshots;
    for (const std::size_t n : {500U, 2000U, 8000U}) {
        const auto size = static_cast<double>(n);
        const std::string text = configurationText(n, n / 13 + 1, 1, 0);
        const std::string change = configuration::replaceChange(text);
        const double before = heapBytes();
        configuration::ConfigurationStore plans;
        if (plans.apply(1, change) != configuration::Verdict::taken)
            throw std::runtime_error("the configuration was not taken");
        memory.push_back({size, heapBytes() - before});
        bytes.push_back({size, static_cast<double>(text.size())});
        seconds.push_back(
            {size, 1e6 * leastOf(3, [&] { (void)configuration::ConfigurationStore{}.apply(1, change); })});
        snapshots.push_back({size, 1e6 * leastOf(5, [&] { (void)plans.snapshot(); })});
    }
    add(out, "controller: memory of a configuration", "routes", "B", memory);
    add(out, "controller: a change applied", "routes", "us", seconds);
    add(out, "log: bytes of a change", "routes", "B", bytes);
    add(out, "controller: a snapshot's text", "routes", "us", snapshots);
}

struct SteeringCost {
    double memory = 0, quietTurn = 0, sumsTurn = 0, sums = 0;
};
SteeringCost steering(std::size_t services, std::size_t serversEach, std::size_t proxies) {
    std::vector<std::string> zones;
    for (std::size_t k = 0; k < kZones; ++k) zones.push_back(zoneName(k));
    SteeringCost out;
    const double before = heapBytes();
    distribution::Steering steering(zones, zones[0], 7);
    std::vector<distribution::ServiceSpec> specs;
    for (std::size_t k = 0; k < services; ++k)
        specs.push_back({serviceName(k), 3 * kSecond, {300000, 400000, 0}, {2000000, 2500000, 0}, {}});
    std::vector<distribution::ServerSpec> servers;
    for (std::size_t k = 0; k < services * serversEach; ++k)
        servers.push_back({serverId(k), serviceName(k % services), zoneName(k / services), 4, false, 0});
    steering.services(specs);
    steering.servers(kSecond, servers);
    for (std::size_t k = 0; k < proxies; ++k)
        steering.join(static_cast<distribution::ProxyId>(k + 1), zoneName(k), 20);
    Micros now = kSecond;
    const auto turn = [&] {
        now += 1100000;
        for (const auto& batch : steering.turn(now)) {
            if (batch.mark != 0) steering.answered(batch.proxy, batch.mark, 10000);
        }
    };
    for (int k = 0; k < 6; ++k) turn();  // the first tables, and what follows from them
    out.memory = heapBytes() - before;
    out.quietTurn = 1e6 * leastOf(5, turn);
    // Each proxy tells of one server a service and of its demand there, once a second.
    const auto tell = [&] {
        for (std::size_t s = 0; s < proxies; ++s) {
            proto::LoadReport sums;
            sums.set_period(kSecond);
            for (std::size_t k = 0; k < services; ++k) {
                auto* server = sums.add_servers();
                server->set_server(serverId(k));
                server->set_tries(10);
                server->set_mean_time(90000);
                auto* demand = sums.add_demands();
                demand->set_service(serviceName(k));
                demand->set_came(10);
            }
            steering.recordLoad(static_cast<distribution::ProxyId>(s + 1), zoneName(s), sums);
        }
    };
    out.sums = out.sumsTurn = 1e99;
    for (int k = 0; k < 4; ++k) {
        out.sums = std::min(out.sums, 1e6 * leastOf(1, tell));
        out.sumsTurn = std::min(out.sumsTurn, 1e6 * leastOf(1, turn));
    }
    return out;
}

// More proxies than zones: tables are a zone's, and further proxies share them.
constexpr std::size_t kProxiesOfModules = 24, kServicesOfModules = 10;

void modules(std::vector<Slope>& out) {
    std::vector<Point> memory, quiet, sumsTurn, sum;
    for (const std::size_t n : {10U, 40U, 160U}) {
        const SteeringCost cost = steering(n, kServersAService, kProxiesOfModules);
        const auto size = static_cast<double>(n);
        memory.push_back({size, cost.memory});
        quiet.push_back({size, cost.quietTurn});
        sumsTurn.push_back({size, cost.sumsTurn});
        sum.push_back({size, cost.sums / static_cast<double>(kProxiesOfModules * n)});
    }
    add(out, "modules: memory by services (24 proxies)", "services", "B", memory);
    add(out, "modules: a quiet turn by services (24 proxies)", "services", "us", quiet);
    add(out, "modules: a turn with sums by services (24 proxies)", "services", "us", sumsTurn);
    add(out, "modules: finding one server of the sums", "services", "us", sum);
    memory.clear(), quiet.clear(), sumsTurn.clear();
    for (const std::size_t n : {24U, 72U, 200U}) {
        const SteeringCost cost = steering(kServicesOfModules, kServersAService, n);
        const auto size = static_cast<double>(n);
        memory.push_back({size, cost.memory});
        quiet.push_back({size, cost.quietTurn});
        sumsTurn.push_back({size, cost.sumsTurn});
    }
    add(out, "modules: memory by proxies (10 services)", "proxies", "B", memory);
    add(out, "modules: a quiet turn by proxies (10 services)", "proxies", "us", quiet);
    add(out, "modules: a turn with sums by proxies (10 services)", "proxies", "us", sumsTurn);
}

}  // namespace

void edgeProxyPackages(std::vector<Slope>& out) {
    routes(out);
    servers(out);
    services(out);
    picks(out);
    wire(out);
}

void controllerPackages(std::vector<Slope>& out) {
    registry(out);
    plansRoom(out);
    modules(out);
}

// Many views in one process, one in 200 serving control (at least four): an hour's shuffles would be the same
// as a minute's.
void gossipPackages(std::vector<Slope>& out) {
    std::vector<Point> seconds, bytes, memory;
    for (const std::size_t n : {60U, 240U, 960U}) {
        const double before = heapBytes();
        std::map<std::string, std::unique_ptr<gossip::View>> views;
        std::vector<std::string> seeds;
        const std::size_t control = std::max<std::size_t>(4, n / 200);
        for (std::size_t k = 0; k < n; ++k) {
            proto::Peer peer;
            peer.set_address(serverAddress(k));
            if (k < control) {
                peer.set_control(serverAddress(k + 100000));
                seeds.push_back(peer.address());
            }
            peer.set_zone(zoneName(k));
            peer.set_incarnation(0x9e3779b97f4a7c15ULL * (k + 1));
            peer.set_node("node-" + std::to_string(1000 + k));
            gossip::Settings settings;
            settings.seed = k + 1;
            views[peer.address()] = std::make_unique<gossip::View>(settings, peer, seeds);
        }
        double told = 0;
        const auto run = [&](Micros from, Micros to) {
            for (Micros now = from; now < to; now += 100000) {
                for (auto& [address, view] : views) {
                    const auto letter = view->due(now);
                    if (!letter) continue;
                    told += static_cast<double>(letter->shuffle.ByteSizeLong());
                    const auto at = views.find(letter->to);
                    if (at == views.end()) continue;
                    const auto answer = at->second->receive(letter->shuffle);
                    if (!answer) continue;
                    told += static_cast<double>(answer->shuffle.ByteSizeLong());
                    (void)view->receive(answer->shuffle);
                }
            }
        };
        run(0, 20 * kSecond);
        told = 0;
        const double begun = threadSeconds();
        run(20 * kSecond, 40 * kSecond);
        seconds.push_back({static_cast<double>(n), 1e6 * (threadSeconds() - begun) / 20});
        bytes.push_back({static_cast<double>(n), told / 20});
        memory.push_back({static_cast<double>(n), heapBytes() - before});
    }
    add(out, "views: a second of shuffles of all", "processes", "us", seconds);
    add(out, "views: bytes a second of all", "processes", "B", bytes);
    add(out, "views: memory of all", "processes", "B", memory);
}

namespace {

// One member alone with a real store: what a change costs from the proposal to its commit.
struct Alone {
    double processor = 0, wall = 0, disk = 0;
};
Alone alone(const std::string& folder, std::size_t changes, std::size_t bytes) {
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    auto store = raft::Store::open(folder, "10.0.0.1:1", true, true);
    if (!store.ok()) throw std::runtime_error(std::string(store.status().message()));
    auto stored = (*store)->load();
    if (!stored.ok()) throw std::runtime_error(std::string(stored.status().message()));
    raft::Settings settings;
    settings.seeds = {"10.0.0.1:1"};
    raft::Replica replica(settings, std::move(*stored), 1);
    Micros now = 1;
    std::size_t committed = 0;
    const auto work = [&] {
        for (;;) {
            raft::Ready ready = replica.take();
            for (const raft::Write& write : ready.writes) {
                const auto status = (*store)->write(write);
                if (!status.ok()) throw std::runtime_error(std::string(status.message()));
                replica.persisted(now, write.number);
            }
            for (const auto& entry : ready.committed) {
                if (entry.kind() != proto::Entry::CHANGE) continue;
                // As a controller does it: a snapshot of the whole state every 64 changes.
                if (++committed % 64 == 0) replica.compact(now, entry.index(), std::string(bytes, 's'));
            }
            if (ready.writes.empty() && ready.committed.empty()) break;
        }
    };
    while (!replica.leads()) {
        now += 50000;
        replica.tick(now);
        work();
    }
    const std::string change(bytes, 'c');
    const double begun = threadSeconds(), wallBegun = wallSeconds();
    for (std::size_t k = 0; k < changes; ++k) {
        now += 1000;
        if (!replica.propose(now, change)) throw std::runtime_error("the member doesn't lead");
        work();
    }
    Alone out{1e6 * (threadSeconds() - begun), 1e6 * (wallSeconds() - wallBegun), 0};
    if (committed != changes) throw std::runtime_error("a change was not committed");
    out.disk = static_cast<double>(std::filesystem::file_size(folder + "/raft.mdb"));
    store->reset();
    std::filesystem::remove_all(folder);
    return out;
}

// Members without disks and links: messages and bytes of all for one change, and the leader's processor time.
struct Together {
    double messages = 0, bytes = 0, processor = 0, idleMessages = 0, idleBytes = 0;
};
Together together(std::size_t members, std::size_t changes, std::size_t bytes) {
    std::vector<std::string> seeds;
    for (std::size_t k = 0; k < members; ++k) seeds.push_back("10.0.0." + std::to_string(k + 1) + ":1");
    std::map<std::string, std::unique_ptr<raft::Replica>> all;
    for (std::size_t k = 0; k < members; ++k) {
        raft::Settings settings;
        settings.seeds = seeds;
        settings.seed = k + 1;
        settings.maxVoters = members;
        raft::PersistentState stored;
        stored.self.set_address(seeds[k]);
        all[seeds[k]] = std::make_unique<raft::Replica>(settings, std::move(stored), 1);
    }
    Micros now = 1;
    Together out;
    const auto work = [&] {
        for (bool any = true; any;) {
            any = false;
            for (auto& [address, replica] : all) {
                raft::Ready ready = replica->take();
                for (const raft::Write& write : ready.writes) replica->persisted(now, write.number);
                for (const proto::RaftMessage& message : ready.messages) {
                    out.messages += 1;
                    out.bytes += static_cast<double>(message.ByteSizeLong());
                    all.at(message.to().address())->receive(now, message);
                }
                any = any || !ready.messages.empty() || !ready.writes.empty() || !ready.committed.empty();
            }
        }
    };
    const auto pass = [&](Micros span) {
        for (const Micros end = now + span; now < end;) {
            now += 10000;
            for (auto& [address, replica] : all) replica->tick(now);
            work();
        }
    };
    const auto leader = [&]() -> raft::Replica* {
        for (auto& [address, replica] : all) {
            if (replica->leads()) return replica.get();
        }
        return nullptr;
    };
    while (leader() == nullptr) pass(50000);
    pass(2 * kSecond);
    out = {};
    pass(2 * kSecond);
    out.idleMessages = out.messages / 2;
    out.idleBytes = out.bytes / 2;
    out.messages = out.bytes = 0;
    const std::string change(bytes, 'c');
    const double begun = threadSeconds();
    for (std::size_t k = 0; k < changes; ++k) {
        if (!leader()->propose(now, change)) throw std::runtime_error("no member leads");
        work();
    }
    out.processor = 1e6 * (threadSeconds() - begun) / static_cast<double>(changes);
    out.messages /= static_cast<double>(changes);
    out.bytes /= static_cast<double>(changes);
    return out;
}

}  // namespace

void raftPackages(std::vector<Slope>& out) {
    const std::string folder = (std::filesystem::temp_directory_path() / "marldale-capacity").string();
    std::vector<Point> processor, wall, bySize, diskBySize;
    for (const std::size_t n : {32U, 128U, 512U}) {
        const Alone cost = alone(folder, n, 1000);
        processor.push_back({static_cast<double>(n), cost.processor});
        wall.push_back({static_cast<double>(n), cost.wall});
    }
    add(out, "raft: changes of 1 kB committed, processor time", "changes", "us", processor);
    add(out, "raft: changes of 1 kB committed, time that passes", "changes", "us", wall);
    for (const std::size_t n : {100000U, 400000U, 1600000U}) {
        const Alone cost = alone(folder, 8, n);
        bySize.push_back({static_cast<double>(n), cost.processor / 8});
        diskBySize.push_back({static_cast<double>(n), cost.disk});
    }
    add(out, "raft: one change committed, by its bytes", "B", "us", bySize);
    add(out, "raft: file after 8 changes, by their bytes", "B", "B", diskBySize);
    std::vector<Point> messages, bytes, votersTime, idle, idleBytes;
    for (const std::size_t n : {3U, 5U, 7U, 21U}) {
        const auto size = static_cast<double>(n);
        const Together cost = together(n, 200, 1000);
        messages.push_back({size, cost.messages});
        bytes.push_back({size, cost.bytes});
        votersTime.push_back({size, cost.processor});
        idle.push_back({size, cost.idleMessages});
        idleBytes.push_back({size, cost.idleBytes});
    }
    add(out, "raft: messages of all members for one change", "voters", "messages", messages);
    add(out, "raft: bytes of all members for one change of 1 kB", "voters", "B", bytes);
    add(out, "raft: processor time of all members for one change of 1 kB", "voters", "us", votersTime);
    add(out, "raft: messages a second with no change", "voters", "messages", idle);
    add(out, "raft: bytes a second with no change", "voters", "B", idleBytes);
}

}  // namespace marldale::capacity
