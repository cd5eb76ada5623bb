#include "gateway/configuration/configuration_store.h"

#include "bytes/varint.h"

namespace marldale::configuration {
namespace {

constexpr char kReplace = 'R', kEmptyZone = 'B', kRefillZone = 'F';
constexpr char kSnapshotVersion = '2';
constexpr char kSnapshotVersionShortHashes = '1';  // of earlier releases: 64 bits for each version

OrderIdentity identityOf(const Configuration& configuration, std::string_view json) {
    return {configuration.builtOn, configuration.version, digestOf(json)};
}

void skipShortHashes(bytes::Reader& from) {
    for (std::uint64_t remaining = from.var(); from.good() && remaining > 0; --remaining) {
        (void)from.var();
        (void)from.fixed();
    }
}

}  // namespace

std::string replaceChange(const std::string& json) { return kReplace + json; }
std::string zoneChange(const std::string& zone, bool empty) {
    return (empty ? kEmptyZone : kRefillZone) + zone;
}

Verdict ConfigurationStore::judge(const std::string& change) const {
    if (change.empty()) return Verdict::invalid;
    if (change[0] == kReplace) {
        const std::string json = change.substr(1);
        const auto read = parseConfigurationCached(json);
        if (!read.ok()) return Verdict::invalid;
        return history_.judge(identityOf(*read, json), configuration_.version);
    }
    if (change[0] != kEmptyZone && change[0] != kRefillZone) return Verdict::invalid;
    return emptied_.count(change.substr(1)) == (change[0] == kEmptyZone ? 1U : 0U) ? Verdict::already
                                                                                   : Verdict::taken;
}

Verdict ConfigurationStore::applyReplace(std::uint64_t index, const std::string& json) {
    auto read = parseConfigurationCached(json);
    if (!read.ok()) return Verdict::invalid;
    const Verdict verdict = history_.decide(identityOf(*read, json), configuration_.version);
    if (verdict != Verdict::taken) return verdict;
    json_ = json;
    configuration_ = std::move(*read);
    index_ = index;
    return verdict;
}

Verdict ConfigurationStore::applyZone(std::uint64_t index, const std::string& change) {
    const Verdict verdict = judge(change);
    if (verdict != Verdict::taken) return verdict;
    if (change[0] == kEmptyZone) {
        emptied_.insert(change.substr(1));
    } else {
        emptied_.erase(change.substr(1));
    }
    index_ = index;
    return verdict;
}

Verdict ConfigurationStore::apply(std::uint64_t index, const std::string& change) {
    if (change.empty()) return Verdict::invalid;
    if (change[0] == kReplace) return applyReplace(index, change.substr(1));
    return applyZone(index, change);
}

std::string ConfigurationStore::snapshot() const {
    std::string out(1, kSnapshotVersion);
    bytes::putVar(out, index_);
    bytes::putText(out, json_);
    history_.encode(out);
    bytes::putVar(out, emptied_.size());
    for (const std::string& zone : emptied_) bytes::putText(out, zone);
    return out;
}

absl::Status ConfigurationStore::restore(const std::string& snapshot) {
    const bool hasShortHashes = !snapshot.empty() && snapshot[0] == kSnapshotVersionShortHashes;
    if (snapshot.empty() || (snapshot[0] != kSnapshotVersion && !hasShortHashes))
        return absl::DataLossError("a snapshot of configurations has an unknown format");
    bytes::Reader from(std::string_view(snapshot).substr(1), snapshot.size());
    ConfigurationStore next(history_);
    next.index_ = from.var();
    next.json_ = from.text();
    if (hasShortHashes) {
        skipShortHashes(from);
    } else {
        next.history_.decode(from);
    }
    for (std::uint64_t remaining = from.var(); from.good() && remaining > 0; --remaining)
        next.emptied_.emplace(from.text());
    if (!from.good() || !from.empty())
        return absl::DataLossError("a snapshot of configurations is not whole");
    if (!next.json_.empty()) {
        auto read = parseConfigurationCached(next.json_);
        if (!read.ok()) return absl::DataLossError("a snapshot's configuration is not valid");
        next.configuration_ = std::move(*read);
        if (hasShortHashes) next.history_.resetTo(identityOf(next.configuration_, next.json_));
    }
    *this = std::move(next);
    return absl::OkStatus();
}

}  // namespace marldale::configuration
