// A client of marldale's assignments: keeps one stream open for a node and its relays, applies what comes,
// answers, and dials again when the stream breaks, with what it still holds.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "marldale/relay_tables.h"
#include "marldale/session.h"
#include "marldale/v1/assignments.grpc.pb.h"

namespace marldale::client {

struct Relay {
    std::uint32_t id = 0;
    std::string zone;
    double rps = 0;
    bool fresh = true;
};

struct AssignmentsOptions {
    std::string node;  // this node's id, the same after a restart
    std::string agent = "marldale-client/1";
    std::vector<std::string> classes;  // of requests, by name
    Redial redial;
};

struct AssignmentsHandlers {
    // A batch was applied to the tables. The relays that it concerns are to apply it too, and `answer` then.
    std::function<void(const v1::Batch& batch, const RelayTables::Outcome& outcome)> applied;
    std::function<void(std::uint32_t relay, const std::string& why)> released;
    std::function<void(bool kept)> welcomed;
    std::function<void(const ::grpc::Status& status)> ended;  // it dials again by itself, if it is to
};

class Assignments : public Session<v1::AssignRequest, v1::AssignResponse> {
public:
    Assignments(const std::shared_ptr<::grpc::Channel>& channel, AssignmentsOptions options,
                AssignmentsHandlers handlers);
    ~Assignments();  // breaks the stream off; no handler runs any more once it returns

    // A relay has come, or has left. While no stream is open they are kept for it.
    void join(const Relay& relay);
    void leave(std::uint32_t relay);
    // These relays have applied everything up to the mark.
    void answer(const std::set<std::uint32_t>& relays, std::uint32_t mark, std::chrono::microseconds took);
    void bye();  // the last word; it does not dial again

    // These relays have left, and the stream breaks without a word of it.
    void breakOffWithout(const std::set<std::uint32_t>& relays);

    // For handlers: the tables as they are.
    [[nodiscard]] const RelayTables& tables() const { return tables_; }
    [[nodiscard]] bool standing() const;  // welcomed, and not ended since
    // With the tables as they are now, while nothing changes them.
    template <class Look>
    auto look(const Look& look) const {
        const std::lock_guard lock(mutex_);
        return look(tables_);
    }

private:
    v1::AssignRequest hello() override;
    void greeted() override;
    void got(const v1::AssignResponse& response) override;
    void over(const ::grpc::Status& status) override;

    const std::shared_ptr<v1::Assignments::Stub> stub_;
    const AssignmentsOptions options_;
    const AssignmentsHandlers handlers_;
    const std::uint64_t incarnation_ = nowMicros();
    RelayTables tables_;
    std::map<std::uint32_t, Relay> relays_;
    bool standing_ = false;
};

}  // namespace marldale::client
