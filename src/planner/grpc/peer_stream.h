// Another instance's stream to us: its words on who is there, and its asking for what we know.
#pragma once

#include <memory>
#include <string>

#include "grpc/server.h"

namespace marldale::grpc_front {

class PeerStream : public Stream<v1::PeerRequest, v1::PeerResponse> {
public:
    PeerStream(Server& server, v1::Peers::AsyncService& service);

    void tick(Micros now) override;
    void goodbye(Micros until) override;
    void renew() override;

private:
    void onOpened() override;
    void onRequest(v1::PeerRequest& request) override;
    void onOver() override;
    void onDrained() override { sendPart(); }

    void hello(const v1::PeerHello& hello);
    void ask(const v1::PeerAsk& ask);
    void word(const v1::PeerWord& word);
    void refuse(std::uint64_t number, const std::string& why);
    void sendPart();
    void doneHanding();

    Server& server_;
    Guest guest_;
    std::string name_;
    Micros opened_ = 0, asked_ = 0;
    bool hasAsked_ = false;
    // What is being handed over: a copy that all askers of the moment share.
    std::shared_ptr<const std::string> handed_;
    std::size_t sent_ = 0;
    std::uint64_t number_ = 0;
    Micros handingSince_ = 0;
};

}  // namespace marldale::grpc_front
