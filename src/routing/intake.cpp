#include "routing/intake.h"

namespace marldale::routing {
namespace {

constexpr transport::Millis kSweepEvery{1000};

}  // namespace

Intake::Intake(transport::Loop& loop, const transport::Address& listen, std::size_t strangersMost,
               std::function<bool(Input)> post, Logger log)
    : loop_(loop),
      strangersMost_(strangersMost),
      post_(std::move(post)),
      log_(std::move(log)),
      sweep_(loop, [this] { sweep(); }),
      listener_(loop, listen, [this](evutil_socket_t fd) { accept(fd); }) {
    sweep_.after(kSweepEvery);
}

Intake::~Intake() {
    for (Guests* guests : {&strangers_, &collectors_}) {
        for (Guest& guest : *guests) guest.connection->close();
    }
}

void Intake::accept(evutil_socket_t fd) {
    // Strangers who say nothing are never waited for; the oldest makes room for who comes now.
    if (strangers_.size() >= strangersMost_) {
        log_("strangers", "too many who have not said who they are; the oldest is sent away");
        remove(strangers_.begin());
    }
    const auto guest = strangers_.insert(strangers_.end(), Guest{});
    guest->since = SteadyTime::clock::now();
    transport::Connection::Handlers handlers;
    handlers.received = [this, guest](std::string_view bytes) { received(guest, bytes); };
    handlers.ended = [this, guest](transport::Ended) { remove(guest); };
    guest->connection =
        std::make_unique<transport::Connection>(loop_, fd, limits::kReplyBuffer, std::move(handlers));
}

void Intake::remove(Guests::iterator guest) {
    guest->connection->close();
    loop_.bury(std::move(guest->connection));
    listOf(guest).erase(guest);
}

void Intake::sweep() {
    const SteadyTime before = SteadyTime::clock::now() - limits::kStrangerStays;
    while (!strangers_.empty() && strangers_.front().since < before) remove(strangers_.begin());
    sweep_.after(kSweepEvery);
}

void Intake::received(Guests::iterator guest, std::string_view bytes) {
    bool kept = true;
    const bool sound = guest->reader.feed(bytes, [&](std::string_view message) {
        kept = handle(guest, message);
        return kept;
    });
    if (sound && kept) return;
    if (!sound) log_("frames", "a length that no message has; its connection is ended");
    remove(guest);
}

bool Intake::handle(Guests::iterator guest, std::string_view message) {
    const auto report = protocol::parseReport(message);
    if (!report) {
        log_("reports", "a message that can't be read is left out");
        return true;
    }
    // Whoever says something that can be read has been heard from, also one that only probes now and then.
    guest->since = SteadyTime::clock::now();
    Guests& guests = listOf(guest);
    guests.splice(guests.end(), guests, guest);
    if (std::holds_alternative<protocol::AliveProbe>(*report)) {
        return guest->connection->write(protocol::aliveAnswer());
    }
    if (const auto* hello = std::get_if<protocol::CollectorHello>(&*report)) {
        if (guest->collector) return true;
        log_("collectors", "a collector of zone " + hello->zone + " has come");
        // Those that a cut has left behind are silent for good: the most silent one makes room.
        if (collectors_.size() >= limits::kCollectorsMost) remove(collectors_.begin());
        collectors_.splice(collectors_.end(), strangers_, guest);
        guest->collector = true;
        guest->reader.allow(protocol::kFrameMost);
        return true;
    }
    if (const auto* unknown = std::get_if<protocol::UnknownReport>(&*report)) {
        log_("reports", "a message of unknown type " + unknown->type.substr(0, 40) + " is left out");
        return true;
    }
    // Reports are read whoever brings them, and lost when there is no room: the next ones come soon.
    if (!post_(*report)) log_("queue", "no room for reports; they are left out");
    return true;
}

}  // namespace marldale::routing
