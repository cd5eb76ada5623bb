// Servers' calls, what controllers pass on to each other of them, and the copy on disk that a restart begins
// with.
#include <fstream>
#include <random>

#include "gateway/controller/controller.h"
#include "gateway/controller/update_age.h"
#include "gateway/log/log.h"

namespace marldale::controller {
namespace {

using transport::Link;
using transport::steadyNow;

constexpr Micros kHintsEvery = 2000000;

constexpr std::size_t kBootIdSize = 36;
constexpr Micros kAgeUnknown = -1;

// Of the kernel's present run; without one, a text that never equals itself on disk.
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

bool Controller::whole(Micros now) const {
    return gotWhole_ || now - startedAt_ > settings_.beatEvery * 5 / 2;
}

proto::Frame Controller::updatesOf(const std::vector<std::string>& ids, bool all, Micros now) const {
    proto::Frame out;
    auto* news = out.mutable_updates();
    news->set_whole(all);
    news->set_sender_whole(whole(now));
    for (const std::string& id : ids) {
        const auto at = registry_.servers().find(id);
        if (at != registry_.servers().end()) {
            *news->add_servers() = registry_.wordOf(at->second, now);
        } else if (!all && registry_.departed().count(id) != 0) {
            *news->add_servers() = registry_.departure(id, now);
        }
    }
    // Also those that have gone: whoever was down or cut off when they went has not heard of it.
    if (all) {
        for (proto::Server& departed : registry_.departures(now)) *news->add_servers() = std::move(departed);
    }
    return out;
}

void Controller::sendUpdates(Micros now) {
    if (updatesDue_.empty()) return;
    const std::vector<std::string> ids(updatesDue_.begin(), updatesDue_.end());
    updatesDue_.clear();
    sendToPeers(updatesOf(ids, false, now));
}

void Controller::receiveUpdates(const std::shared_ptr<Link>& link, const proto::ServerUpdates& news) {
    const Micros now = steadyNow();
    bool changed = false;
    std::vector<std::string> ids;
    const Micros delay = delayOf(link.get());
    for (const proto::Server& update : news.servers()) {
        ids.push_back(update.id());
        const proto::Server said = agedUpdate(update, delay);
        const auto what = registry_.heard(now, said);
        changed =
            changed || what == registry::Registry::News::changed || what == registry::Registry::News::urgent;
        if (what != registry::Registry::News::urgent) continue;
        noteDeparture(said.id());
        // Passed on once, with the next updates: whoever heard it first may be gone before it has told
        // everyone.
        updatesDue_.insert(said.id());
    }
    if (news.whole() && news.sender_whole()) gotWhole_ = true;
    if (changed) registryChanged(now);
    if (news.number() != 0) confirmDepartures(link, news.number(), ids);
}

// Hints only: what is on disk is late by some seconds, so servers of it go soon if they don't beat. It spares
// a system that starts over the wait for everyone's beat. Its age counts on the clock of the machine's boot,
// which no step of the time of day moves; after another boot the age is unknown.
void Controller::keepHints(Micros now) {
    if (now < nextHints_ || settings_.dataFolder.empty() || registry_.servers().empty()) return;
    nextHints_ = now + kHintsEvery;
    std::vector<std::string> all;
    for (const auto& [id, server] : registry_.servers()) all.push_back(id);
    proto::Frame frame = updatesOf(all, true, now);
    frame.mutable_updates()->set_number(static_cast<std::uint64_t>(now));
    disk_->keep(settings_.dataFolder + "/servers", bootId() + frame.updates().SerializeAsString());
}

void Controller::readHints(Micros now) {
    const auto text = DiskWriter::kept(settings_.dataFolder + "/servers");
    const std::string boot = bootId();
    proto::ServerUpdates news;
    if (!text || text->size() < kBootIdSize || !news.ParseFromString(text->substr(kBootIdSize))) return;
    const bool sameBoot = text->compare(0, kBootIdSize, boot) == 0;
    const Micros ago = sameBoot ? now - static_cast<Micros>(news.number()) : kAgeUnknown;
    for (const proto::Server& server : news.servers()) registry_.hint(now, server, ago);
    log::info("servers_recalled", {{"servers", registry_.servers().size()}, {"same_boot", sameBoot}});
}

void Controller::beat(proto::Server said, Answer answer) {
    const Micros now = steadyNow();
    const auto what = registry_.heard(now, said);
    if (what != registry::Registry::News::old) updatesDue_.insert(said.id());
    if (what == registry::Registry::News::changed || what == registry::Registry::News::urgent)
        registryChanged(now);
    if (what == registry::Registry::News::urgent) noteDeparture(said.id());
    const bool leaves = what == registry::Registry::News::urgent || said.emptying() || said.gone();
    if (!leaves) return answer({});
    acknowledgeDeparture(said.id(), std::move(answer), now);
}

void Controller::leave(const std::string& id, Answer answer) {
    proto::Server said;
    const auto at = registry_.servers().find(id);
    if (at != registry_.servers().end()) said = at->second.said;
    said.set_id(id);
    said.set_gone(true);
    beat(std::move(said), std::move(answer));
}

Micros Controller::delayOf(const Link* link) const {
    const auto name = names_.find(link);
    if (name == names_.end()) return 0;
    const auto clock = peerClocks_.find(name->second);
    return clock == peerClocks_.end() ? 0 : clock->second.delay;
}

}  // namespace marldale::controller
