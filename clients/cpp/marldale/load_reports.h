// A client of marldale's load reports: sends what its owner has counted at the interval that the planner
// tells, and sends again after a break what was not told as taken.
#pragma once

#include <deque>
#include <string>

#include "marldale/session.h"
#include "marldale/v1/reports.grpc.pb.h"

namespace marldale::client {

struct LoadReportsOptions {
    std::string node;  // this node's id, the same after a restart
    std::string agent = "marldale-client/1";
    std::size_t keptMost = 32;  // batches that are kept until they are told as taken; the oldest go first
    // Before the planner has told one.
    std::chrono::microseconds interval{2000000};
    bool paced = true;  // false: batches go when `send` is called, and only then
    Redial redial;
};

struct LoadReportsHandlers {
    // What was counted since the last call; its sequence number is set by the client. Called once an
    // interval.
    std::function<v1::ReportBatch()> collect;
    std::function<void(const v1::ReportControl& control)> told;
    std::function<void(const ::grpc::Status& status)> ended;  // it dials again by itself, if it is to
};

class LoadReports : public Session<v1::ReportRequest, v1::ReportControl> {
public:
    LoadReports(const std::shared_ptr<::grpc::Channel>& channel, LoadReportsOptions options,
                LoadReportsHandlers handlers);
    ~LoadReports();  // breaks the stream off; no handler runs any more once it returns

    void send(v1::ReportBatch batch);
    void bye();  // the last word; it does not dial again

    [[nodiscard]] bool standing() const;  // answered, and not ended since
    [[nodiscard]] std::size_t kept() const;
    [[nodiscard]] std::uint64_t taken() const;  // the last sequence number that was told as taken

private:
    v1::ReportRequest hello() override;
    void got(const v1::ReportControl& control) override;
    void over(const ::grpc::Status& status) override;
    void tick();

    const std::shared_ptr<v1::LoadReports::Stub> stub_;
    const LoadReportsOptions options_;
    const LoadReportsHandlers handlers_;
    const std::uint64_t incarnation_ = nowMicros();
    std::uint64_t sequence_ = 0, taken_ = 0;
    std::deque<v1::ReportBatch> kept_;  // sent, or to be sent, and not told as taken
    std::chrono::microseconds interval_;
    bool standing_ = false, ticking_ = false;
    ::grpc::Alarm tickAlarm_;
};

}  // namespace marldale::client
