// One node's load reports.
#pragma once

#include "grpc/server.h"

namespace marldale::grpc_front {

class ReportStream : public Stream<v1::ReportRequest, v1::ReportControl> {
public:
    ReportStream(Server& server, v1::LoadReports::AsyncService& service);

    void tick(Micros now) override;
    void goodbye(Micros until) override;
    void renew() override;

private:
    void onOpened() override;
    void onRequest(v1::ReportRequest& request) override;
    void onOver() override;

    void hello(const v1::ReportHello& hello);
    void batch(const v1::ReportBatch& batch);
    void read(const v1::ReportBatch& batch, std::vector<protocol::Report>& rows,
              std::vector<routing::BoxLoads>& loads, std::uint32_t& spoilt);
    void leaveOut(const std::string& why);
    void flush();
    void tell();

    Server& server_;
    Guest guest_;
    std::string node_;
    routing::SourceId source_ = 0;
    Micros opened_ = 0, waitingSince_ = 0;
    std::deque<routing::Input> waiting_;  // no room for them yet
    std::uint64_t leftOut_ = 0;
    std::string leftOutWhy_;
    Micros told_ = 0;      // the interval
    bool toTell_ = false;  // something has changed
};

}  // namespace marldale::grpc_front
