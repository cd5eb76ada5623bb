// One node's stream of assignments: a lane.
#pragma once

#include <set>

#include "grpc/server.h"

namespace marldale::grpc_front {

class AssignStream : public Stream<v1::AssignRequest, v1::AssignResponse> {
public:
    AssignStream(Server& server, v1::Assignments::AsyncService& service);

    void tick(Micros now) override;
    void goodbye(Micros until) override;
    void renew() override;

    // Commands of the core.
    void welcome(const dispatch::Welcome& welcome);
    void send(const dispatch::Batch& batch);
    void release(ProxyId relay, const std::string& why);

private:
    void onOpened() override;
    void onRequest(v1::AssignRequest& request) override;
    void onOver() override;

    void hello(const v1::AssignHello& hello);
    void joined(const v1::RelayJoined& joined);
    void taken(const v1::Taken& taken);
    void answers(const v1::RelayAnswers& answers);
    [[nodiscard]] bool mayHold(const protocol::Hello& hello, std::string& why) const;
    void post(routing::Input input);
    void flush();
    void closeLane();

    Server& server_;
    Guest guest_;
    std::string node_;
    dispatch::LaneId lane_ = 0;  // 0: none, or it is closed already
    std::set<ProxyId> relays_;
    Micros opened_ = 0;
    std::deque<routing::Input> waiting_;  // no room for them yet
};

}  // namespace marldale::grpc_front
