#include "gateway/edge_proxy/binding.h"

#include <algorithm>
#include <random>

#include "gateway/log/log.h"

namespace marldale::edge_proxy {
namespace {

using transport::steadyNow;

constexpr Micros kTickInterval = 250000;
constexpr Micros kSearchTickInterval = 60000;  // during the first `kFastSearchTime` of a search
constexpr Micros kFastSearchTime = 3000000;
constexpr Micros kReportInterval = 1000000;

std::uint64_t randomIncarnation() {
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

Binding::Binding(boost::asio::io_context& io, const settings::Settings& settings, Callbacks callbacks)
    : io_(io),
      incarnation_(randomIncarnation()),
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
                     if (auto letter = view_.receive(shuffle)) datagrams_.send(letter->to, letter->shuffle);
                     choose(steadyNow());
                 }),
      callbacks_(std::move(callbacks)),
      timer_(io),
      selection_(selectionLimits(settings.bounds), settings.node, settings.zone, incarnation_, steadyNow()),
      settledAt_(steadyNow()) {}

absl::Status Binding::start() {
    if (auto s = datagrams_.open(); !s.ok()) return s;
    timerDueAt_ = steadyNow();
    tick();
    return absl::OkStatus();
}

void Binding::reload(const settings::Settings& settings) { view_.seeds(settings.insideSeeds()); }

void Binding::stop() {
    stopping_ = true;
    if (link_) sendLoadReport(steadyNow());
}

void Binding::sendLoadReport(Micros now) {
    nextReport_ = now + kReportInterval;
    proto::Frame frame;
    *frame.mutable_load_report() = callbacks_.takeLoadReport(now);
    link_->send(frame);
}

void Binding::sendMark(Micros now) {
    proto::Frame frame;
    frame.mutable_mark()->set_mark(selection_.mark(now));
    link_->send(frame);
}

void Binding::startTimer(Micros after) {
    timerDueAt_ = steadyNow() + after;
    timer_.expires_after(std::chrono::microseconds(after));
    timer_.async_wait([this](boost::system::error_code wrong) {
        if (!wrong) tick();
    });
}

void Binding::tick() {
    const Micros now = steadyNow();
    if (const auto late = lateness_.ran(timerDueAt_, now)) log::warn("loop_late", {{"at_most_us", *late}});
    while (auto letter = view_.due(now)) datagrams_.send(letter->to, letter->shuffle);
    if (link_) checkLink(now);
    choose(now);
    updateIsolated(now);
    logViewChange(now);
    if (!search_.searching()) settledAt_ = now;
    startTimer(search_.searching() && now - settledAt_ < kFastSearchTime ? kSearchTickInterval
                                                                         : kTickInterval);
}

// A suspected controller is followed until another one is found.
void Binding::checkLink(Micros now) {
    if (const auto reason = selection_.check(now, link_->heardAt())) {
        if (search_.suspect(*reason)) {
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
        search_.settled();  // not when `check` only grants time after a late loop
    }
    if (now >= nextReport_ && !stopping_) sendLoadReport(now);
}

void Binding::updateIsolated(Micros now) {
    const bool is = selection_.isolated(now);
    if (is == isolated_) return;
    isolated_ = is;
    log::info(is ? "stranded" : "steered", {});
    callbacks_.setIsolated(is);
}

// Logs changes of the view lease: while it has expired, requests queue and are refused after a timeout.
void Binding::logViewChange(Micros now) {
    const bool mayChoose = callbacks_.view.mayChoose(now);
    if (mayChoose == couldChoose_) return;
    couldChoose_ = mayChoose;
    log::info(mayChoose ? "view_in_force" : "view_late", {{"controller", selection_.address()},
                                                          {"until_us", callbacks_.view.until() - now},
                                                          {"round_trip_us", selection_.delay().roundTrip},
                                                          {"held_us", selection_.delay().held}});
}

void Binding::choose(Micros now) {
    if (stopping_ || !search_.mayDial(now)) return;
    for (const proto::Peer& peer : view_.control()) selection_.know(peer);
    for (const std::string& seed : view_.seedAddresses()) selection_.knowAddress(seed);
    const auto chosen = selection_.choose(
        now, [this](const std::string& address) { return view_.peers().count(address) != 0; });
    if (chosen) dial(*chosen, now);
}

void Binding::dial(const std::string& address, Micros now) {
    search_.dialed(now);
    selection_.failed(now, address);  // so that the next dial goes to another one, if any
    transport::dial(
        io_, address, search_.limits().dialTimeout,
        [this, address](std::shared_ptr<transport::Link> link) { dialEnded(std::move(link), address); });
}

void Binding::dialEnded(std::shared_ptr<transport::Link> link, const std::string& address) {
    const bool isWanted = search_.dialEnded() && !stopping_;
    if (!link) {
        selection_.failed(steadyNow(), address);
        view_.remove(address);
        return;  // the next tick dials another one
    }
    if (!isWanted) return link->close();
    if (link_) closeLink(search_.suspectedReason().value_or(LeaveReason::noQuorumContact));
    onLinkOpened(std::move(link), address);
}

void Binding::onLinkOpened(std::shared_ptr<transport::Link> link, const std::string& address) {
    const Micros now = steadyNow();
    link_ = std::move(link);
    search_.settled();
    selection_.bound(now, address);
    callbacks_.view.bound(now);
    const transport::Link* raw = link_.get();
    link_->start({[this, raw](const proto::Frame& frame) {
                      if (link_.get() != raw) return;
                      const auto keep = link_;
                      onFrame(frame);
                  },
                  [this, raw] {
                      if (link_.get() == raw) leave(LeaveReason::closed);
                  }});
    proto::Frame hello;
    *hello.mutable_hello()->mutable_self() = self_;
    hello.mutable_hello()->set_index(callbacks_.configurationIndex());
    hello.mutable_hello()->set_edge_proxies(proxies_);
    hello.mutable_hello()->set_mark(selection_.mark(now));
    link_->send(hello);
    nextReport_ = now + kReportInterval;
    log::info("bound", {{"controller", address}});
}

void Binding::onFrame(const proto::Frame& frame) {
    const Micros now = steadyNow();
    callbacks_.view.heard(now);
    if (frame.has_batch()) {
        const proto::ResourceBatch& batch = frame.batch();
        if (batch.fresh()) callbacks_.view.copied();
        if (!callbacks_.applyBatch(batch, now)) return leave(LeaveReason::olderConfiguration);
        if (batch.mark() != 0) {
            proto::Frame answer;
            answer.mutable_answer()->set_mark(batch.mark());
            link_->send(answer);
        }
    } else if (frame.has_heartbeat()) {
        onHeartbeat(frame.heartbeat(), now);
    }
}

void Binding::onHeartbeat(const proto::Heartbeat& heartbeat, Micros now) {
    if (heartbeat.edge_proxies() > 0) proxies_ = heartbeat.edge_proxies();
    selection_.heartbeat(now, heartbeat, callbacks_.configurationIndex());
    if (const auto sentAt = selection_.sentNoEarlier(heartbeat))
        callbacks_.view.proven(std::min(now, *sentAt));
    for (const proto::Peer& peer : heartbeat.controllers()) {
        selection_.know(peer);
        view_.recordContact(peer);
    }
    sendMark(now);
    updateIsolated(now);
}

void Binding::closeLink(LeaveReason reason) {
    const Micros now = steadyNow();
    log::info("unbound", {{"controller", selection_.address()},
                          {"why", textOf(reason)},
                          {"contact_age_us", selection_.contactAge(now)}});
    selection_.left(now, reason);
    callbacks_.view.unbound();
    std::exchange(link_, nullptr)->close();
}

void Binding::leave(LeaveReason reason) {
    closeLink(reason);
    search_.unbound();
    boost::asio::post(io_, [this] { choose(steadyNow()); });
}

}  // namespace marldale::edge_proxy
