#include "routing/intake.h"

#include <algorithm>

namespace marldale::routing {

Intake::Intake(transport::Loop& loop, const transport::Address& listen, std::vector<std::string> zones,
               std::size_t strangersMost, std::function<bool(Input)> post, Logger log)
    : loop_(loop),
      zones_(std::move(zones)),
      strangersMost_(strangersMost),
      post_(std::move(post)),
      log_(std::move(log)),
      sweep_(loop, [this] { sweep(); }),
      listener_(loop, listen, [this](evutil_socket_t fd) { accept(fd); }) {
    sweep_.after(limits::kSweepEvery);
}

Intake::~Intake() {
    for (Guests* guests : {&strangers_, &collectors_}) {
        for (Guest& guest : *guests) guest.connection->close();
    }
}

void Intake::accept(evutil_socket_t fd) {
    if (strangers_.size() >= strangersMost_) makeRoom();
    const auto guest = strangers_.insert(strangers_.end(), Guest{});
    guest->since = SteadyTime::clock::now();
    transport::Connection::Handlers handlers;
    handlers.received = [this, guest](std::string_view bytes) { received(guest, bytes); };
    handlers.ended = [this, guest](transport::Ended) { remove(guest); };
    guest->connection =
        std::make_unique<transport::Connection>(loop_, fd, limits::kReplyBuffer, std::move(handlers));
}

// Hundreds may come in one turn of the loop, with a collector or a probe among them whose bytes nobody has
// read yet: the oldest is heard before it is sent away.
void Intake::makeRoom() {
    log_("strangers", "too many who have not said who they are; the oldest is sent away");
    strangers_.front().connection->readNow();
    if (strangers_.size() >= strangersMost_) remove(strangers_.begin());
}

void Intake::remove(Guests::iterator guest, std::string_view lastWord) {
    guest->connection->close(lastWord);
    loop_.bury(std::move(guest->connection));
    listOf(guest).erase(guest);
}

void Intake::sweep() {
    const SteadyTime now = SteadyTime::clock::now();
    // Counted from connecting, whatever was said since: a sign of life asked for now and then is no joining.
    while (!strangers_.empty() && now - strangers_.front().since >= limits::kJoinWithin) {
        remove(strangers_.begin());
    }
    // Bytes that end in the middle of a message are a stream that has lost its framing or its sender.
    for (auto at = collectors_.begin(); at != collectors_.end();) {
        const auto guest = at++;
        if (guest->reader.held() == 0 || now - guest->since < limits::kHalfMessage) continue;
        log_("frames", "half a message of a collector, and no more of it; its connection is ended");
        remove(guest);
    }
    sweep_.after(limits::kSweepEvery);
}

void Intake::received(Guests::iterator guest, std::string_view bytes) {
    bool kept = true;
    const bool sound = guest->reader.feed(bytes, [&](std::string_view message) {
        kept = guest->joined() ? ofCollector(guest, message) : ofStranger(guest, message);
        return kept;
    });
    if (sound && kept) return;
    if (guest->joined()) {
        // Nothing is written to a collector; it dials anew, and begins at a message.
        log_("frames", "what a collector sends is no message; its connection is ended");
        return remove(guest);
    }
    remove(guest, protocol::errorAnswer());
}

bool Intake::ofStranger(Guests::iterator guest, std::string_view message) {
    const auto report = protocol::parseReport(message);
    if (!report) return false;
    if (std::holds_alternative<protocol::AliveProbe>(*report)) {
        return guest->connection->write(protocol::aliveAnswer());
    }
    const auto* hello = std::get_if<protocol::CollectorHello>(&*report);
    if (hello == nullptr || hello->zone.empty() ||
        std::find(zones_.begin(), zones_.end(), hello->zone) == zones_.end()) {
        return false;
    }
    join(guest, hello->zone);
    return true;
}

void Intake::join(Guests::iterator guest, const std::string& zone) {
    log_("collectors", "a collector of zone " + zone + " has come");
    // Those that a cut has left behind are silent for good: the most silent one makes room.
    const auto ofZone = [&](const Guest& other) { return other.zone == zone; };
    if (std::count_if(collectors_.begin(), collectors_.end(), ofZone) >=
        static_cast<std::ptrdiff_t>(limits::kCollectorsOfZone)) {
        remove(std::find_if(collectors_.begin(), collectors_.end(), ofZone));
    }
    collectors_.splice(collectors_.end(), strangers_, guest);
    guest->zone = zone;
    guest->since = SteadyTime::clock::now();
    guest->reader.allow(protocol::kFrameMost);
}

bool Intake::ofCollector(Guests::iterator guest, std::string_view message) {
    guest->since = SteadyTime::clock::now();
    collectors_.splice(collectors_.end(), collectors_, guest);
    const protocol::Json object = protocol::parseJson(message);
    // A field may be spoilt, a message never is: what is no object comes from a stream that has lost its way.
    if (!object.is_object()) return false;
    const auto report = protocol::readReport(object);
    if (!report) {
        log_("reports", "spoilt, left out: " + std::string(message));
        return true;
    }
    if (std::holds_alternative<protocol::AliveProbe>(*report)) {
        return guest->connection->write(protocol::aliveAnswer());
    }
    if (const auto* unknown = std::get_if<protocol::UnknownReport>(&*report)) {
        log_("reports", "a message of unknown type " + unknown->type.substr(0, 40) + " is left out");
        return true;
    }
    if (std::holds_alternative<protocol::CollectorHello>(*report)) return true;
    // Reports are lost when there is no room: the next ones come soon.
    if (!post_(*report)) log_("queue", "no room for reports; they are left out");
    return true;
}

}  // namespace marldale::routing
