#include "gateway/edge_proxy/binding.h"

#include <algorithm>
#include <random>

#include "gateway/log/log.h"

namespace marldale::edge_proxy {
namespace {

using transport::steadyNow;

constexpr Micros kTick = 250000;
constexpr Micros kTickSearching = 60000;  // for the first seconds of a search
constexpr Micros kSeekFor = 3000000;
constexpr Micros kReportEvery = 1000000;

std::uint64_t random64() {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) ^ device();
}
proto::Peer peerOf(const settings::Settings& settings, std::uint64_t incarnation) {
    proto::Peer out;
    out.set_address(settings.inside());
    out.set_zone(settings.zone);
    out.set_incarnation(incarnation);
    out.set_node(settings.node);
    return out;
}

}  // namespace

Binding::Binding(boost::asio::io_context& io, const settings::Settings& settings, Ends ends)
    : io_(io),
      incarnation_(random64()),
      view_(
          [&] {
              gossip::Settings s;
              s.seed = incarnation_;
              return s;
          }(),
          peerOf(settings, incarnation_), settings.insideSeeds()),
      self_(peerOf(settings, incarnation_)),
      datagrams_(io, settings.inside(),
                 [this](const proto::Shuffle& shuffle) {
                     if (auto letter = view_.heard(shuffle)) datagrams_.send(letter->to, letter->shuffle);
                     choose(steadyNow());
                 }),
      ends_(std::move(ends)),
      timer_(io),
      selection_(selectionLimits(settings.bounds), settings.node, settings.zone, incarnation_, steadyNow()),
      settledAt_(steadyNow()) {}

absl::Status Binding::start() {
    if (auto s = datagrams_.open(); !s.ok()) return s;
    armedFor_ = steadyNow();
    tick();
    return absl::OkStatus();
}

void Binding::reload(const settings::Settings& settings) { view_.seeds(settings.insideSeeds()); }

void Binding::stop() {
    stopping_ = true;
    if (link_) sendLoadReport(steadyNow());
}

void Binding::sendLoadReport(Micros now) {
    nextReport_ = now + kReportEvery;
    proto::Frame frame;
    *frame.mutable_load_report() = ends_.sums(now);
    link_->send(frame);
}

void Binding::sendMark(Micros now) {
    proto::Frame frame;
    frame.mutable_mark()->set_mark(selection_.mark(now));
    link_->send(frame);
}

void Binding::arm(Micros after) {
    armedFor_ = steadyNow() + after;
    timer_.expires_after(std::chrono::microseconds(after));
    timer_.async_wait([this](boost::system::error_code wrong) {
        if (!wrong) tick();
    });
}

void Binding::tick() {
    const Micros now = steadyNow();
    if (const auto late = lateness_.ran(armedFor_, now)) log::warn("loop_late", {{"at_most_us", *late}});
    while (auto letter = view_.due(now)) datagrams_.send(letter->to, letter->shuffle);
    if (link_) checkLink(now);
    choose(now);
    noteStranded(now);
    noteView(now);
    if (!search_.searching()) settledAt_ = now;
    arm(search_.searching() && now - settledAt_ < kSeekFor ? kTickSearching : kTick);
}

// A controller that is doubted is followed on until another one is found.
void Binding::checkLink(Micros now) {
    if (const auto reason = selection_.check(now, link_->heardAt())) {
        if (search_.doubt(*reason)) {
            log::info("controller_doubted", {{"controller", selection_.address()},
                                             {"why", textOf(*reason)},
                                             {"contact_age_us", selection_.contactAge(now)},
                                             {"heard_ago_us", now - link_->heardAt()},
                                             {"round_trip_us", selection_.delay().roundTrip},
                                             {"held_us", selection_.delay().held},
                                             {"controller_age_us", selection_.delay().controllerAge},
                                             {"counted", selection_.delay().counted}});
        }
    } else if (selection_.proven(now)) {
        search_.settled();  // not where the loop was late only, and the check grants time
    }
    if (now >= nextReport_ && !stopping_) sendLoadReport(now);
}

void Binding::noteStranded(Micros now) {
    const bool is = selection_.stranded(now);
    if (is == stranded_) return;
    stranded_ = is;
    log::info(is ? "stranded" : "steered", {});
    ends_.stranded(is);
}

// For the log: while the view's lease has run out, requests wait, and are refused after a while.
void Binding::noteView(Micros now) {
    const bool mayChoose = ends_.view.mayChoose(now);
    if (mayChoose == mayChoose_) return;
    mayChoose_ = mayChoose;
    log::info(mayChoose ? "view_in_force" : "view_late", {{"controller", selection_.address()},
                                                          {"until_us", ends_.view.until() - now},
                                                          {"round_trip_us", selection_.delay().roundTrip},
                                                          {"held_us", selection_.delay().held}});
}

void Binding::choose(Micros now) {
    if (stopping_ || !search_.mayDial(now)) return;
    for (const proto::Peer& peer : view_.control()) selection_.know(peer);
    for (const std::string& seed : view_.entries()) selection_.knowAddress(seed);
    const auto chosen = selection_.choose(
        now, [this](const std::string& address) { return view_.peers().count(address) != 0; });
    if (chosen) dial(*chosen, now);
}

void Binding::dial(const std::string& address, Micros now) {
    search_.dialed(now);
    selection_.failed(now, address);  // the next dial goes to another one, if there is one
    transport::dial(
        io_, address, search_.limits().dialWithin,
        [this, address](std::shared_ptr<transport::Link> link) { dialEnded(std::move(link), address); });
}

void Binding::dialEnded(std::shared_ptr<transport::Link> link, const std::string& address) {
    const bool isWanted = search_.dialEnded() && !stopping_;
    if (!link) {
        selection_.failed(steadyNow(), address);
        view_.lost(address);
        return;  // the next tick tries another one
    }
    if (!isWanted) return link->close();
    if (link_) closeLink(search_.doubted().value_or(LeaveReason::noQuorumContact));
    bound(std::move(link), address);
}

void Binding::bound(std::shared_ptr<transport::Link> link, const std::string& address) {
    const Micros now = steadyNow();
    link_ = std::move(link);
    search_.settled();
    selection_.bound(now, address);
    ends_.view.bound(now);
    const transport::Link* raw = link_.get();
    link_->start({[this, raw](const proto::Frame& frame) {
                      if (link_.get() != raw) return;
                      const auto keep = link_;
                      heard(frame);
                  },
                  [this, raw] {
                      if (link_.get() == raw) leave(LeaveReason::closed);
                  }});
    proto::Frame hello;
    *hello.mutable_hello()->mutable_self() = self_;
    hello.mutable_hello()->set_index(ends_.index());
    hello.mutable_hello()->set_edge_proxies(proxies_);
    hello.mutable_hello()->set_mark(selection_.mark(now));
    link_->send(hello);
    nextReport_ = now + kReportEvery;
    log::info("bound", {{"controller", address}});
}

void Binding::heard(const proto::Frame& frame) {
    const Micros now = steadyNow();
    ends_.view.heard(now);
    if (frame.has_batch()) {
        const proto::ResourceBatch& batch = frame.batch();
        if (batch.fresh()) ends_.view.copied();
        if (!ends_.applyBatch(batch, now)) return leave(LeaveReason::olderConfiguration);
        if (batch.mark() != 0) {
            proto::Frame answer;
            answer.mutable_answer()->set_mark(batch.mark());
            link_->send(answer);
        }
    } else if (frame.has_heartbeat()) {
        heartbeat(frame.heartbeat(), now);
    }
}

void Binding::heartbeat(const proto::Heartbeat& heartbeat, Micros now) {
    if (heartbeat.edge_proxies() > 0) proxies_ = heartbeat.edge_proxies();
    selection_.heartbeat(now, heartbeat, ends_.index());
    if (const auto sentAt = selection_.sentNoEarlier(heartbeat)) ends_.view.proven(std::min(now, *sentAt));
    for (const proto::Peer& peer : heartbeat.controllers()) {
        selection_.know(peer);
        view_.met(peer);
    }
    sendMark(now);
    noteStranded(now);
}

void Binding::closeLink(LeaveReason reason) {
    const Micros now = steadyNow();
    log::info("unbound", {{"controller", selection_.address()},
                          {"why", textOf(reason)},
                          {"contact_age_us", selection_.contactAge(now)}});
    selection_.left(now, reason);
    ends_.view.unbound();
    std::exchange(link_, nullptr)->close();
}

void Binding::leave(LeaveReason reason) {
    closeLink(reason);
    search_.unbound();
    boost::asio::post(io_, [this] { choose(steadyNow()); });
}

}  // namespace marldale::edge_proxy
