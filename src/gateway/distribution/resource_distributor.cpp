#include "gateway/distribution/resource_distributor.h"

namespace marldale::distribution {
namespace {

constexpr TableId kNoTable = 0;  // tables are numbered from 1

// Returns the resource that revokes the key; an empty one if the key is never revoked.
proto::Resource revocationOf(const std::string& key) {
    proto::Resource out;
    switch (key[0]) {
        case 'r': out.set_route_drop(key.substr(2)); break;
        case 's': out.set_service_drop(key.substr(2)); break;
        case 'v': out.set_server_drop(key.substr(2)); break;
        case 'z': out.set_zone_filled(key.substr(2)); break;
        default: break;
    }
    return out;
}

void append(std::vector<proto::Resource>& lines, const std::string& key, const DesiredResource* desired) {
    if (desired != nullptr) {
        lines.push_back(desired->resource);
        return;
    }
    proto::Resource revocation = revocationOf(key);
    if (revocation.what_case() != proto::Resource::WHAT_NOT_SET) lines.push_back(std::move(revocation));
}

}  // namespace

// ---- Port of the distribution algorithm ----

double ResourceDistributor::Port::priority(const std::string& /*zone*/, const std::string& key,
                                           const DesiredResource* now, Hash /*held*/) const {
    // Removed servers and emptied or refilled zones do not wait for the slowest proxy.
    const bool urgent = now != nullptr ? now->urgent : key[0] == 'v' || key[0] == 'z';
    if (urgent) return policy::kUrgentPriority;
    return key[0] == 'v' ? 0 : 1;  // other resources before servers
}

void ResourceDistributor::Port::line(TableId table, const std::string& key,
                                     const DesiredResource* now) const {
    const auto& bound = distributor.tables_.tables.at(table).bound;
    if (bound.empty()) return;
    auto part = distributor.pushParts_.find(table);
    if (part == distributor.pushParts_.end()) {
        part = distributor.pushParts_.emplace(table, distributor.addPart({})).first;
        for (const ProxyId proxy : bound) distributor.outgoing_[proxy].push_back(part->second);
    }
    append(distributor.parts_[part->second], key, now);
}

void ResourceDistributor::Port::bind(ProxyId proxy, TableId table) const {
    // The proxy is sent the difference to what it was sent before, even if that is another copy of the table.
    const auto& tables = distributor.tables_.tables;
    const auto held = distributor.heldTables_.find(proxy);
    const TableId from = held == distributor.heldTables_.end() ? kNoTable : held->second;
    distributor.heldTables_[proxy] = table;
    auto part = distributor.bindParts_.find({from, table});
    if (part == distributor.bindParts_.end()) {
        const auto* before = from == kNoTable ? nullptr : &tables.at(from);
        const PartNumber made = distributor.addPart(distributor.difference(before, tables.at(table)));
        part = distributor.bindParts_.emplace(std::pair(from, table), made).first;
    }
    distributor.outgoing_[proxy].push_back(part->second);
}

void ResourceDistributor::Port::wrote(ProxyId proxy, double /*lines*/) const {
    distributor.outgoing_[proxy];  // makes sure that the proxy gets the mark, even without resources
}

// ---- Tables ----

void ResourceDistributor::Tables::pushChanges(TableId id, Table& table) {
    const ResourceDistributor& distributor = port.distributor;
    ChangeNumber& position = positions.at(id);
    if (position == distributor.journal_.last()) return;
    std::vector<Change> changes;
    std::vector<std::string> removed;
    const auto add = [&](const std::string& key, const DesiredResource* desired) {
        const Hash held = table.held(key);
        const Hash now = desired == nullptr ? 0 : desired->hash;
        if (held != now) changes.push_back({port.priority(table.scope, key, desired, held), key, desired});
    };
    for (const std::string& key : distributor.journal_.changedAfter(position)) {
        const auto desired = distributor.desired_.find(key);
        if (desired == distributor.desired_.end()) {
            removed.push_back(key);
        } else {
            add(key, &desired->second);
        }
    }
    for (const std::string& key : removed) add(key, nullptr);
    std::stable_sort(changes.begin(), changes.end(),
                     [](const Change& a, const Change& b) { return a.priority > b.priority; });
    if (changes.empty()) {
        position = distributor.journal_.last();
        return;
    }
    const bool urgent = changes.front().priority >= policy::kUrgentPriority;
    if (!table.unacknowledged.empty() && !urgent) return;
    for (const Change& change : changes) {
        port.line(id, change.key, change.now);
        table.pending[change.key] = change.now == nullptr ? 0 : change.now->hash;
    }
    position = distributor.journal_.last();
    table.mark(turn, now, table.bound);
    for (const ProxyId proxy : table.bound) write(proxy, static_cast<double>(changes.size()));
    if (table.bound.empty()) table.acknowledgePending();
}

void ResourceDistributor::Tables::run() {
    updatePositions();
    for (auto& [id, table] : tables) pushChanges(id, table);
    releaseSilent();
    foldCopies();
    updatePositions();
}

// Sets the position of tables that were created in this turn, which contain all desired resources.
void ResourceDistributor::Tables::updatePositions() {
    std::erase_if(positions, [&](const auto& position) { return tables.count(position.first) == 0; });
    for (const auto& [id, table] : tables) positions.try_emplace(id, port.distributor.journal_.last());
}

// ---- The distributor ----

bool ResourceDistributor::put(const std::string& key, DesiredResource desired) {
    DesiredResource& present = desired_[key];
    const bool differs = present.hash != desired.hash;
    present = std::move(desired);
    if (differs) journal_.record(key);
    return differs;
}

void ResourceDistributor::remove(const std::string& key) {
    if (desired_.erase(key) > 0) journal_.record(key);
}

void ResourceDistributor::join(ProxyId proxy, const std::string& zone) { joiningProxies_[proxy] = zone; }

void ResourceDistributor::leave(ProxyId proxy) {
    joiningProxies_.erase(proxy);
    heldTables_.erase(proxy);
    if (tables_.proxyStates.count(proxy) != 0) tables_.leave(proxy);
}

void ResourceDistributor::answered(ProxyId proxy, std::uint64_t mark) { tables_.acknowledge(proxy, mark); }

ResourceDistributor::PartNumber ResourceDistributor::addPart(std::vector<proto::Resource> lines) {
    parts_.push_back(std::move(lines));
    return parts_.size() - 1;
}

// Returns what to send to a proxy that holds `from` (null: nothing) so that it holds `to`.
std::vector<proto::Resource> ResourceDistributor::difference(const Tables::Table* from,
                                                             const Tables::Table& to) const {
    std::vector<proto::Resource> lines;
    for (const auto& [key, desired] : desired_) {
        const Hash held = from == nullptr ? 0 : from->held(key);
        if (to.held(key) != 0 && to.held(key) != held) append(lines, key, &desired);
    }
    if (from == nullptr) return lines;
    struct Content {
        const Tables::Table& table;
        [[nodiscard]] bool count(const std::string& key) const { return table.held(key) != 0; }
    };
    for (const std::string& key : from->unwanted(Content{to})) append(lines, key, nullptr);
    return lines;
}

std::vector<ResourceDistributor::Batch> ResourceDistributor::batches() {
    std::map<std::tuple<bool, bool, std::vector<PartNumber>>, std::vector<ProxyId>> groups;
    for (const auto& [proxy, parts] : outgoing_) {
        const bool fresh = joiningProxies_.count(proxy) != 0;
        const bool complete = tables_.positions.at(heldTables_.at(proxy)) == journal_.last();
        groups[{fresh, complete, parts}].push_back(proxy);
    }
    std::vector<Batch> out;
    for (auto& [what, proxies] : groups) {
        const auto& [fresh, complete, parts] = what;
        Batch batch{tables_.turn, fresh, complete, {}, std::move(proxies)};
        for (const PartNumber part : parts)
            batch.lines.insert(batch.lines.end(), parts_[part].begin(), parts_[part].end());
        out.push_back(std::move(batch));
    }
    return out;
}

std::vector<ResourceDistributor::Batch> ResourceDistributor::turn(Micros now) {
    parts_.clear();
    pushParts_.clear();
    bindParts_.clear();
    outgoing_.clear();
    tables_.now = now;
    ++tables_.turn;
    std::map<std::string, std::set<ProxyId>> fresh;  // by zone
    for (const auto& [proxy, zone] : joiningProxies_) {
        tables_.proxyStates[proxy];
        heldTables_.erase(proxy);
        fresh[zone].insert(proxy);
    }
    for (const auto& [zone, proxies] : fresh) tables_.bindFresh(proxies, zone, false);
    tables_.run();
    std::vector<Batch> out = batches();
    joiningProxies_.clear();
    ChangeNumber oldestPosition = journal_.last();
    for (const auto& [table, position] : tables_.positions)
        oldestPosition = std::min(oldestPosition, position);
    journal_.trim(oldestPosition);
    return out;
}

Micros ResourceDistributor::nextDue() const {
    Micros due = INT64_MAX;
    for (const auto& [id, table] : tables_.tables) {
        if (!table.unacknowledged.empty()) {
            due = std::min(due, table.markedAt + kAcknowledgementTimeoutUs);
        } else if (tables_.positions.at(id) != journal_.last()) {
            due = std::min(due, tables_.now);  // its last mark has just been acknowledged
        }
    }
    return due;
}

std::optional<std::uint64_t> ResourceDistributor::oldestUnanswered() const {
    std::optional<std::uint64_t> oldest;
    for (const auto& [proxy, state] : tables_.proxyStates) {
        if (!state.marks.empty() && (!oldest || state.marks.front() < *oldest)) oldest = state.marks.front();
    }
    return oldest;
}

bool ResourceDistributor::unanswered(ProxyId proxy) const {
    const auto at = tables_.proxyStates.find(proxy);
    return at != tables_.proxyStates.end() && !at->second.marks.empty();
}

}  // namespace marldale::distribution
