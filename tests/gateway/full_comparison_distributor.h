// A reference implementation of the distributor without a journal, which compares every resource for every
// proxy in each turn. A proxy that is bound to a table gets what the table holds, not the newest desired
// resources: a resource that the table has not been pushed yet would never be revoked if it changed back
// before the table's next push.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "gateway/distribution/resource_distributor.h"

namespace marldale::distribution {

/// Determines what each proxy is sent by comparing all resources.
class FullComparisonDistributor {
public:
    std::map<std::string, DesiredResource> desired;

    void join(ProxyId proxy, const std::string& zone) { joining_[proxy] = zone; }
    void leave(ProxyId proxy) {
        joining_.erase(proxy);
        sent_.erase(proxy);
        if (tables_.proxyStates.count(proxy) != 0) tables_.leave(proxy);
    }
    void answered(ProxyId proxy, std::uint64_t mark) { tables_.acknowledge(proxy, mark); }

    struct Batch {
        std::uint64_t mark = 0;
        bool fresh = false, complete = false;
        std::vector<std::string> lines;  // serialized
    };
    std::map<ProxyId, Batch> turn(Micros now) {
        out_.clear();
        tables_.now = now;
        ++tables_.turn;
        std::map<std::string, std::set<ProxyId>> fresh;
        for (const auto& [proxy, zone] : joining_) {
            tables_.proxyStates[proxy];
            fresh[zone].insert(proxy);
        }
        for (const auto& [zone, proxies] : fresh) tables_.bindFresh(proxies, zone, false);
        tables_.run();
        for (auto& [proxy, batch] : out_) {
            batch.fresh = joining_.count(proxy) != 0;
            std::map<std::string, Hash> hashes;
            for (const auto& [key, resource] : desired) hashes[key] = resource.hash;
            batch.complete = sent_[proxy] == hashes;
        }
        joining_.clear();
        return std::exchange(out_, {});
    }

private:
    struct Port {
        FullComparisonDistributor& distributor;
        const std::map<std::string, DesiredResource>& wanted(const std::string& /*zone*/) const {
            return distributor.desired;
        }
        static Hash hash(const DesiredResource& line) { return line.hash; }
        static double priority(const std::string& /*zone*/, const std::string& key,
                               const DesiredResource* now, Hash /*held*/) {
            const bool urgent = now != nullptr ? now->urgent : key[0] == 'v' || key[0] == 'z';
            if (urgent) return policy::kUrgentPriority;
            return key[0] == 'v' ? 0 : 1;
        }
        static std::size_t slot(const std::string& /*zone*/) { return 0; }
        static double lineBudget(std::size_t /*proxies*/, bool /*urgent*/) { return 1e9; }
        static bool mayWrite(const std::set<ProxyId>& /*proxies*/, double /*lines*/, bool /*urgent*/) {
            return true;
        }
        static bool mayCopy(const std::set<ProxyId>& /*proxies*/) { return true; }
        void line(TableId table, const std::string& key, const DesiredResource* now) const {
            for (const ProxyId proxy : distributor.tables_.tables.at(table).bound)
                distributor.send(proxy, key, now);
        }
        static void drop(TableId /*table*/) {}
        void bind(ProxyId proxy, TableId table) const {
            const auto& target = distributor.tables_.tables.at(table);
            auto& sent = distributor.sent_[proxy];
            for (const auto& [key, line] : distributor.desired) {
                const auto has = sent.find(key);
                const Hash held = target.held(key);
                if (held != 0 && (has == sent.end() || has->second != held))
                    distributor.send(proxy, key, &line);
            }
            std::vector<std::string> surplus;
            for (const auto& [key, hash] : sent) {
                if (target.held(key) == 0) surplus.push_back(key);
            }
            for (const std::string& key : surplus) distributor.send(proxy, key, nullptr);
        }
        void wrote(ProxyId proxy, double /*lines*/) const {
            distributor.out_[proxy].mark = distributor.tables_.turn;
        }
    };
    void send(ProxyId proxy, const std::string& key, const DesiredResource* line) {
        auto& sent = sent_[proxy];
        if (line != nullptr) {
            sent[key] = line->hash;
            out_[proxy].lines.push_back(line->resource.SerializeAsString());
            return;
        }
        sent.erase(key);
        proto::Resource drop;
        if (key[0] == 'r') drop.set_route_drop(key.substr(2));
        if (key[0] == 'v') drop.set_server_drop(key.substr(2));
        if (key[0] == 'z') drop.set_zone_filled(key.substr(2));
        if (drop.what_case() != proto::Resource::WHAT_NOT_SET)
            out_[proxy].lines.push_back(drop.SerializeAsString());
    }

    Port port_{*this};
    policy::Distribution<std::string, DesiredResource, std::string, ProxyId, Port> tables_{port_, 500000,
                                                                                           2000000};
    std::map<ProxyId, std::string> joining_;
    std::map<ProxyId, std::map<std::string, Hash>> sent_;
    std::map<ProxyId, Batch> out_;
};

}  // namespace marldale::distribution
