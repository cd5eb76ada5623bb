// A plan carried out over HTTP/1.1 (evhttp): connections, time, the journal before the request.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "replay/journal_thread.h"
#include "replay/results.h"
#include "transport/address.h"
#include "transport/loop.h"

struct evhttp_connection;
struct evhttp_request;

namespace marldale::replay {

struct EngineSettings {
    std::vector<transport::Address> targets;
    std::size_t connectionsMost = 256;
    Micros answerWithin = 30 * 1000000LL;
    Micros durationMost = 3600 * 1000000LL;             // of the replay
    std::uint64_t bytesMost = std::uint64_t{4} << 30U;  // of replies
    Micros drainWithin = 10 * 1000000LL;                // for what is out when it is stopped
    std::size_t replyMost = std::size_t{64} << 20U;     // bytes of one reply's body
};

class Engine {
public:
    // `journal` may be null: then the plan must have no classes with effects. `progress`: a line a second, if
    // set.
    Engine(transport::Loop& loop, EngineSettings settings, Plan& plan, Results& results, JournalFile* journal,
           std::function<void(const std::string&)> progress);
    ~Engine();

    // Plays until the plan is done, a limit is reached or `stop`; runs the loop meanwhile. Throws where the
    // journal fails: nothing is sent then.
    [[nodiscard]] Summary run(std::uint64_t skip);
    void stop(const std::string& why);

private:
    struct Connection;
    struct Request;

    void fail(const std::string& why);
    void pump();
    void send(Send send, Micros now);
    [[nodiscard]] Connection& connectionFor(const Send& send);
    void done(Request& request, evhttp_request* reply);
    void finishIfDone();
    void tick();
    [[nodiscard]] static Micros steadyNow();

    transport::Loop& loop_;
    const EngineSettings settings_;
    Plan& plan_;
    Results& results_;
    JournalFile* const file_;
    std::optional<JournalThread> journal_;
    const std::function<void(const std::string&)> progress_;
    transport::Timer wake_, tick_, drain_;
    std::vector<std::unique_ptr<Connection>> connections_;
    std::map<std::uint64_t, std::unique_ptr<Request>> out_;
    Summary summary_;
    Micros begin_ = 0;
    bool over_ = false;
    std::string error_;
    std::uint64_t journaledReach_ = 0;
};

}  // namespace marldale::replay
