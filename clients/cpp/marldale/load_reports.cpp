#include "marldale/load_reports.h"

namespace marldale::client {
namespace {

v1::ReportRequest requestOf(const v1::ReportBatch& batch) {
    v1::ReportRequest out;
    *out.mutable_batch() = batch;
    return out;
}

}  // namespace

LoadReports::LoadReports(const std::shared_ptr<::grpc::Channel>& channel, LoadReportsOptions options,
                         LoadReportsHandlers handlers)
    : Session([this](auto* context, auto* call) { stub_->async()->Report(context, call); }, options.redial),
      stub_(v1::LoadReports::NewStub(channel)),
      options_(std::move(options)),
      handlers_(std::move(handlers)),
      interval_(options_.interval) {}

LoadReports::~LoadReports() {
    tickAlarm_.Cancel();
    close();
}

v1::ReportRequest LoadReports::hello() {
    v1::ReportRequest out;
    auto* node = out.mutable_hello()->mutable_node();
    node->set_id(options_.node);
    node->set_incarnation(incarnation_);
    node->set_agent(options_.agent);
    node->set_speaks(1);
    return out;
}

void LoadReports::got(const v1::ReportControl& control) {
    answered();
    taken_ = std::max(taken_, control.taken());
    while (!kept_.empty() && kept_.front().sequence() <= taken_) kept_.pop_front();
    if (control.interval_us() > 0) interval_ = std::chrono::microseconds(control.interval_us());
    if (!std::exchange(standing_, true)) {
        for (const auto& batch : kept_) say(requestOf(batch));  // what the last stream may have lost
        if (options_.paced && !std::exchange(ticking_, true)) tick();
    }
    if (handlers_.told) handlers_.told(control);
}

void LoadReports::tick() {
    later(tickAlarm_, interval_, [this] {
        if (handlers_.collect) send(handlers_.collect());
        tick();
    });
}

void LoadReports::send(v1::ReportBatch batch) {
    const std::lock_guard lock(mutex_);
    batch.set_sequence(++sequence_);
    if (standing_) say(requestOf(batch));
    kept_.push_back(std::move(batch));
    while (kept_.size() > options_.keptMost) kept_.pop_front();
}

void LoadReports::over(const ::grpc::Status& status) {
    standing_ = false;
    if (handlers_.ended) handlers_.ended(status);
}

void LoadReports::bye() {
    const std::lock_guard lock(mutex_);
    v1::ReportRequest out;
    out.mutable_bye();
    sayLast(std::move(out));
}

bool LoadReports::standing() const {
    const std::lock_guard lock(mutex_);
    return standing_;
}

std::size_t LoadReports::kept() const {
    const std::lock_guard lock(mutex_);
    return kept_.size();
}

std::uint64_t LoadReports::taken() const {
    const std::lock_guard lock(mutex_);
    return taken_;
}

}  // namespace marldale::client
