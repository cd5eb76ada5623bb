#include "gateway/configuration/configuration_difference.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

namespace marldale::configuration {
namespace {

using RouteKey = std::pair<std::string_view, std::string_view>;

RouteKey keyOf(const proto::RouteResource& route) { return {route.host_name(), route.path_start()}; }
std::string_view keyOf(const proto::ServiceResource& service) { return service.name(); }

template <class Item>
struct ListDifference {
    std::vector<const Item*> put, removed;
    bool keysDiffer = false;
};

// The common prefix and suffix of keys are compared item by item; items in between are looked up by key.
template <class Item>
ListDifference<Item> differenceOf(const SharedList<Item>& before, const SharedList<Item>& after) {
    ListDifference<Item> difference;
    if (before.sharesStorageWith(after)) return difference;
    const auto recordIfChanged = [&](const Item& oldItem, const Item& newItem) {
        if (keyOf(oldItem) != keyOf(newItem)) return false;
        if (!same(oldItem, newItem)) difference.put.push_back(&newItem);
        return true;
    };
    const std::size_t shorter = std::min(before.size(), after.size());
    std::size_t head = 0, tail = 0;
    while (head < shorter && recordIfChanged(before[head], after[head])) ++head;
    while (head + tail < shorter &&
           recordIfChanged(before[before.size() - 1 - tail], after[after.size() - 1 - tail]))
        ++tail;
    std::map<decltype(keyOf(after[0])), const Item*> old;
    for (std::size_t at = head; at + tail < before.size(); ++at) old.emplace(keyOf(before[at]), &before[at]);
    for (std::size_t at = head; at + tail < after.size(); ++at) {
        const auto known = old.find(keyOf(after[at]));
        if (known == old.end()) {
            difference.keysDiffer = true;
            difference.put.push_back(&after[at]);
            continue;
        }
        if (!same(*known->second, after[at])) difference.put.push_back(&after[at]);
        old.erase(known);
    }
    for (const auto& [key, item] : old) difference.removed.push_back(item);
    difference.keysDiffer = difference.keysDiffer || !difference.removed.empty();
    return difference;
}

}  // namespace

bool same(const proto::RouteResource& left, const proto::RouteResource& right) {
    return left.name() == right.name() && left.host_name() == right.host_name() &&
           left.path_start() == right.path_start() && left.kind() == right.kind() &&
           left.target() == right.target() && left.give_up() == right.give_up() &&
           left.tries() == right.tries() && left.rank() == right.rank() &&
           std::equal(left.shares().begin(), left.shares().end(), right.shares().begin(),
                      right.shares().end(), [](const proto::Share& a, const proto::Share& b) {
                          return a.service() == b.service() && a.share() == b.share();
                      });
}

bool same(const proto::ServiceResource& left, const proto::ServiceResource& right) {
    return left.name() == right.name() && left.health_path() == right.health_path() &&
           left.max_connections() == right.max_connections() && left.warm_up() == right.warm_up() &&
           left.cold_per_s() == right.cold_per_s();
}

bool same(const proto::LimitsResource& left, const proto::LimitsResource& right) {
    return left.max_header_bytes() == right.max_header_bytes() &&
           left.max_body_bytes() == right.max_body_bytes() && left.header_wait() == right.header_wait() &&
           left.quiet() == right.quiet();
}

ConfigurationDifference differenceOf(const Configuration& before, const Configuration& after) {
    auto routes = differenceOf(before.routes, after.routes);
    auto services = differenceOf(before.services, after.services);
    ConfigurationDifference difference;
    difference.routesPut = std::move(routes.put);
    difference.routesRemoved = std::move(routes.removed);
    difference.servicesPut = std::move(services.put);
    difference.servicesRemoved = std::move(services.removed);
    difference.serviceNamesChanged = services.keysDiffer;
    difference.limitsChanged = !same(before.limits, after.limits);
    return difference;
}

}  // namespace marldale::configuration
