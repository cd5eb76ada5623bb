// Server heartbeats and sign-offs, the updates about servers that controllers exchange, and the copy on disk
// that is loaded after a restart.
#include <fstream>
#include <random>

#include "gateway/controller/controller.h"
#include "gateway/controller/update_age.h"
#include "gateway/log/log.h"

namespace marldale::controller {
namespace {

using transport::Link;
using transport::steadyNow;

constexpr Micros kHintIntervalUs = 2000000;

constexpr std::size_t kBootIdSize = 36;
constexpr Micros kUnknownAge = -1;

// The boot id of the kernel. If there is none, a random text, which never matches the one on disk.
std::string bootId() {
    std::string out;
    std::ifstream("/proc/sys/kernel/random/boot_id") >> out;
    if (out.size() != kBootIdSize) {
        std::random_device device;
        out = std::to_string(device());
        out.resize(kBootIdSize, '?');
    }
    return out;
}

}  // namespace

bool Controller::knowsAllServers(Micros now) const {
    return receivedAllServers_ || now - startedAt_ > settings_.beatEvery * 5 / 2;
}

// With `all`, a complete list: it includes all departures.
proto::Frame Controller::updatesFrame(const std::vector<std::string>& ids, bool all, Micros now) const {
    proto::Frame out;
    auto* updates = out.mutable_updates();
    updates->set_whole(all);
    updates->set_sender_whole(knowsAllServers(now));
    for (const std::string& id : ids) {
        const auto found = registry_.servers().find(id);
        if (found != registry_.servers().end()) {
            *updates->add_servers() = registry_.reportOf(found->second, now);
        } else if (!all && registry_.departed().count(id) != 0) {
            *updates->add_servers() = registry_.departure(id, now);
        }
    }
    // Includes departed servers, because a controller that was down or cut off has not heard of them.
    if (all) {
        for (proto::Server& departed : registry_.departures(now))
            *updates->add_servers() = std::move(departed);
    }
    return out;
}

void Controller::sendUpdates(Micros now) {
    if (updatesDue_.empty()) return;
    const std::vector<std::string> ids(updatesDue_.begin(), updatesDue_.end());
    updatesDue_.clear();
    sendToPeers(updatesFrame(ids, false, now));
}

void Controller::onServerUpdates(const std::shared_ptr<Link>& link, const proto::ServerUpdates& updates) {
    const Micros now = steadyNow();
    bool changed = false;
    std::vector<std::string> ids;
    const Micros delay = maxDelayOf(link.get());
    for (const proto::Server& update : updates.servers()) {
        ids.push_back(update.id());
        const proto::Server server = agedUpdate(update, delay);
        const auto effect = registry_.applyReport(now, server);
        changed = changed || effect == registry::Registry::ReportEffect::changed ||
                  effect == registry::Registry::ReportEffect::urgent;
        if (effect != registry::Registry::ReportEffect::urgent) continue;
        recordDeparture(server.id());
        // Passed on once, with the next updates, because the controller that heard it first may fail before
        // it has told all others.
        updatesDue_.insert(server.id());
    }
    if (updates.whole() && updates.sender_whole()) receivedAllServers_ = true;
    if (changed) onRegistryChanged(now);
    if (updates.number() != 0) confirmDepartures(link, updates.number(), ids);
}

// The copy on disk is only a hint: it is some seconds old, so servers from it are dropped soon unless they
// send a heartbeat. It saves a deployment that restarts as a whole from waiting for the heartbeats of all
// servers. Its age is measured on the clock since boot, which changes of the time of day do not affect; after
// another boot the age is unknown.
void Controller::saveServerHints(Micros now) {
    if (now < nextHints_ || settings_.dataFolder.empty() || registry_.servers().empty()) return;
    nextHints_ = now + kHintIntervalUs;
    std::vector<std::string> all;
    for (const auto& [id, server] : registry_.servers()) all.push_back(id);
    proto::Frame frame = updatesFrame(all, true, now);
    frame.mutable_updates()->set_number(static_cast<std::uint64_t>(now));
    disk_->writeFile(settings_.dataFolder + "/servers", bootId() + frame.updates().SerializeAsString());
}

void Controller::loadServerHints(Micros now) {
    const auto text = DiskWriter::readFile(settings_.dataFolder + "/servers");
    const std::string boot = bootId();
    proto::ServerUpdates updates;
    if (!text || text->size() < kBootIdSize || !updates.ParseFromString(text->substr(kBootIdSize))) return;
    const bool sameBoot = text->compare(0, kBootIdSize, boot) == 0;
    const Micros age = sameBoot ? now - static_cast<Micros>(updates.number()) : kUnknownAge;
    for (const proto::Server& server : updates.servers()) registry_.restore(now, server, age);
    log::info("servers_recalled", {{"servers", registry_.servers().size()}, {"same_boot", sameBoot}});
}

void Controller::beat(const proto::Server& server, ReplyCallback sendReply) {
    const Micros now = steadyNow();
    const auto effect = registry_.applyReport(now, server);
    if (effect != registry::Registry::ReportEffect::none) updatesDue_.insert(server.id());
    if (effect == registry::Registry::ReportEffect::changed ||
        effect == registry::Registry::ReportEffect::urgent)
        onRegistryChanged(now);
    if (effect == registry::Registry::ReportEffect::urgent) recordDeparture(server.id());
    const bool leaves =
        effect == registry::Registry::ReportEffect::urgent || server.emptying() || server.gone();
    if (!leaves) return sendReply({});
    acknowledgeDeparture(server.id(), std::move(sendReply), now);
}

void Controller::leave(const std::string& id, ReplyCallback sendReply) {
    proto::Server server;
    const auto found = registry_.servers().find(id);
    if (found != registry_.servers().end()) server = found->second.report;
    server.set_id(id);
    server.set_gone(true);
    beat(server, std::move(sendReply));
}

Micros Controller::maxDelayOf(const Link* link) const {
    const auto address = peerAddresses_.find(link);
    if (address == peerAddresses_.end()) return 0;
    const auto clock = peerClocks_.find(address->second);
    return clock == peerClocks_.end() ? 0 : clock->second.maxDelay;
}

}  // namespace marldale::controller
