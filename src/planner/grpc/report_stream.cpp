#include "grpc/report_stream.h"

#include <algorithm>

#include "grpc/convert.h"

namespace marldale::grpc_front {
namespace {

using ::grpc::Status;
using ::grpc::StatusCode;

constexpr Micros kRoomWithin = 5000000;  // a report for which there is no room for so long is given up
constexpr std::size_t kRowsOfAnInput =
    512;  // a large report goes to the module in pieces, so that others get in between

}  // namespace

ReportStream::ReportStream(Server& server, v1::LoadReports::AsyncService& service) : server_(server) {
    listen([&](auto* context, auto* io, void* tag) {
        service.RequestReport(context, io, server.queue(), server.queue(), tag);
    });
}

void ReportStream::onOpened() {
    server_.opened();
    server_.reportsOpened();
    opened_ = server_.now();
    guest_ = server_.guest(context());
    if (!guest_.refused.ok()) return end(guest_.refused);
    if (server_.full()) end({StatusCode::RESOURCE_EXHAUSTED, "too many streams are open"});
}

void ReportStream::onRequest(v1::ReportRequest& request) {
    switch (request.message_case()) {
        case v1::ReportRequest::kHello: return hello(request.hello());
        case v1::ReportRequest::kBatch:
            if (node_.empty()) return end({StatusCode::FAILED_PRECONDITION, "say hello first"});
            return batch(request.batch());
        case v1::ReportRequest::kBye:
            if (!node_.empty()) waiting_.emplace_back(routing::SourceEnded{source_});
            flush();
            return end(Status::OK);
        case v1::ReportRequest::MESSAGE_NOT_SET: break;  // of a later version: left out
    }
}

void ReportStream::hello(const v1::ReportHello& hello) {
    const std::string& id = hello.node().id();
    if (!node_.empty()) return end({StatusCode::FAILED_PRECONDITION, "hello was said already"});
    if (!isNodeId(id)) return end({StatusCode::INVALID_ARGUMENT, "node.id must be 1 to 128 printable bytes"});
    Server::Node* node = server_.node(id);
    if (node == nullptr) return end({StatusCode::RESOURCE_EXHAUSTED, "too many nodes"});
    if (node->reports != nullptr) node->reports->end({StatusCode::ABORTED, "this node has a newer stream"});
    node->reports = this;
    node_ = id;
    source_ = node->source;
    (void)server_.ledger().begin(node_, hello.node().incarnation(), server_.now());
    server_.host().log("grpc", "load reports of " + node_ + " from " + guest_.peer);
    toTell_ = true;
    tell();
}

void ReportStream::batch(const v1::ReportBatch& batch) {
    const Micros now = server_.now();
    toTell_ = true;
    if (batch.sequence() != 0 && !server_.ledger().take(node_, batch.sequence(), now)) return tell();
    std::vector<protocol::Report> rows;
    std::vector<routing::BoxLoads> loads;
    std::uint32_t spoilt = 0;
    read(batch, rows, loads, spoilt);
    server_.pacer().reported(source_, rows.size() + loads.size(), now);
    routing::SourceRows part{source_, {}, std::move(loads), spoilt};
    for (protocol::Report& row : rows) {
        part.rows.push_back(std::move(row));
        if (part.rows.size() < kRowsOfAnInput) continue;
        waiting_.emplace_back(std::move(part));
        part = {source_, {}, {}, 0};
    }
    waiting_.emplace_back(std::move(part));
    flush();
    tell();
}

void ReportStream::read(const v1::ReportBatch& batch, std::vector<protocol::Report>& rows,
                        std::vector<routing::BoxLoads>& loads, std::uint32_t& spoilt) {
    std::string why;
    const auto bad = [&] {
        ++spoilt;
        leaveOut(why);
    };
    for (const auto& row : batch.outcomes()) {
        auto out = readOutcomes(row, "", why);
        if (out && !guest_.passport.mayReport(out->zone)) {
            out.reset();
            why = "it may not report for zone " + row.zone();
        }
        out ? rows.emplace_back(std::move(*out)) : (bad(), rows.emplace_back(protocol::AliveProbe{}));
    }
    for (const auto& row : batch.demand()) {
        auto out = readDemand(row, why);
        out ? rows.emplace_back(std::move(*out)) : (bad(), rows.emplace_back(protocol::AliveProbe{}));
    }
    for (const auto& box : batch.loads()) {
        if (box.server().empty() || !guest_.passport.mayReportAs(box.server())) {
            why = box.server().empty() ? "a load without a server" : "it may not report as " + box.server();
            bad();
            continue;
        }
        loads.push_back({box.server(), readLoad(box.load())});
        for (const auto& row : box.outcomes()) {
            auto out = readOutcomes(row, box.server(), why);
            if (out && out->server != box.server()) {
                out.reset();
                why = "a box tells of another one";
            }
            if (out) rows.emplace_back(std::move(*out));
            if (!out) bad();
        }
    }
    std::erase_if(rows,
                  [](const protocol::Report& r) { return std::holds_alternative<protocol::AliveProbe>(r); });
}

void ReportStream::leaveOut(const std::string& why) {
    ++leftOut_;
    leftOutWhy_ = why.substr(0, 200);
    server_.host().log("reports", node_ + ": left out: " + leftOutWhy_);
}

// Where there is no room nothing more is read: the sender's window fills, and it waits.
void ReportStream::flush() {
    while (!waiting_.empty() && server_.host().post(waiting_.front())) waiting_.pop_front();
    if (waiting_.empty()) {
        waitingSince_ = 0;
        return resume();
    }
    if (waitingSince_ == 0) waitingSince_ = server_.now();
    server_.pacer().overloaded(server_.now());
    pause();
}

void ReportStream::tell() {
    const Micros interval = server_.pacer().interval(server_.now());
    if (node_.empty() || (!toTell_ && interval == told_) || writing()) return;
    v1::ReportControl control;
    control.set_interval_us(static_cast<std::uint64_t>(interval));
    control.set_taken(server_.ledger().taken(node_));
    control.set_left_out(leftOut_);
    control.set_left_out_why(leftOutWhy_);
    toTell_ = false;
    told_ = interval;
    write(std::move(control));
}

void ReportStream::tick(Micros now) {
    endInTime(now);
    if (over() || ending() || !accepted()) return;
    if (node_.empty() && now - opened_ >= server_.helloWithin()) {
        return end({StatusCode::DEADLINE_EXCEEDED, "no hello in time"});
    }
    if (!waiting_.empty()) {
        flush();
        if (!waiting_.empty() && now - waitingSince_ >= kRoomWithin) {
            leaveOut("there was no room for it");
            waiting_.clear();
            resume();
        }
    }
    tell();
}

void ReportStream::goodbye(Micros /*until*/) { end({StatusCode::UNAVAILABLE, "the planner goes away"}); }

void ReportStream::renew() {
    if (!accepted() || over() || guest_.names.empty()) return;
    const auto passport = server_.passport(guest_.names);
    if (!passport) return end({StatusCode::PERMISSION_DENIED, "this identity is no longer in the settings"});
    guest_.passport = *passport;
}

void ReportStream::onOver() {
    server_.closed();
    if (node_.empty()) return;
    server_.leaveBehind(std::move(waiting_));
    Server::Node* node = server_.node(node_);
    if (node != nullptr && node->reports == this) {
        node->reports = nullptr;
        server_.pacer().ended(source_);
    }
}

}  // namespace marldale::grpc_front
