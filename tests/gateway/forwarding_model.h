// Model test of the forwarding rules with clients, one edge proxy and servers. The production proxy code runs
// over a simulated network; servers misbehave as each history decides; the rules are checked from outside, by
// what clients and servers have seen.
#pragma once

#include <array>
#include <map>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "edge_proxy_support.h"
#include "gateway/edge_proxy/request_forwarder.h"
#include "simulated_network.h"

namespace marldale::edge_proxy::model {

// Thrown when a forwarding rule is violated.
struct RuleViolation : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Source of a history's decisions.
class Choices {
public:
    virtual ~Choices() = default;
    virtual unsigned below(unsigned n) = 0;
    template <std::size_t N, typename T>
    T of(const std::array<T, N>& all) {
        return all[below(N)];
    }
};

// Random decisions.
class RandomChoices final : public Choices {
public:
    explicit RandomChoices(std::uint64_t seed) : draw_(seed) {}
    unsigned below(unsigned n) override { return static_cast<unsigned>(draw_.next() % n); }

private:
    upstream::Draw draw_;
};

// Enumerates all histories, depth first over the choices that a history requests.
class AllChoices final : public Choices {
public:
    unsigned below(unsigned n) override {
        if (at_ == path_.size()) path_.push_back({0, n});
        return path_[at_++].first;
    }
    // Advances to the next history; false if none is left.
    bool next() {
        path_.resize(at_);
        at_ = 0;
        while (!path_.empty() && path_.back().first + 1 == path_.back().second) path_.pop_back();
        if (path_.empty()) return false;
        ++path_.back().first;
        return true;
    }

private:
    std::vector<std::pair<unsigned, unsigned>> path_;  // the choice and the number of alternatives
    std::size_t at_ = 0;
};

// A server's behavior on a request.
enum class Act : unsigned {
    answer,
    answerInChunks,
    answerThenClose,
    answerSayingClose,
    surplusAnswer,  // a second answer right behind the first
    lateBytes,      // surplus bytes some time after the answer
    wrongIdFirst,   // an answer with another id, then the right one
    cutByReset,
    cutByClose,
    cutAtOnce,   // runs the request, then closes without sending a byte
    resetUnrun,  // resets without running it, as overloaded servers do
    silentRun,
    silentUnrun,
    lateAnswer,   // after the request's deadline
    misdirected,  // 421
    notRun503,
    notRun429,
    notRunWrongId,  // X-Not-Run with another id, which proves nothing
    own503,         // without X-Not-Run: the request has run
    own500,
    noLength,  // delimited by the connection's end
    unsealed,
    encoded,
    garbage,
    interimFirst,  // 100 and 103 before the answer
    earlyAnswer,   // before the request's last byte has arrived
    earlyRefusal,  // the same, with X-Not-Run
    countOfActs,
};
inline constexpr unsigned kActs = static_cast<unsigned>(Act::countOfActs);

// Parameters of one history.
struct Plan {
    forwarding::Faults faults;
    std::vector<Act> firstActs, laterActs;  // choices for the first arrival of a request, and for later ones
    unsigned servers = 2;
    unsigned clients = 1, requestsPerClient = 2;
    std::optional<std::size_t> cutAt;         // byte of the answer; empty: drawn
    std::optional<std::size_t> requestCutAt;  // the server resets after this many bytes of the request
    std::optional<std::size_t> firstRoom;     // bytes that a connection accepts at first
    bool connectTrouble = false, linkTrouble = false, clientTrouble = false, limits = false;
    bool largeBodies = false;
    bool pipelining = true;          // allowed for some clients
    bool cutOffFirstServer = false;  // permanently, one second after the start
    ConnectResult serversAccept = ConnectResult::accepted;
    std::optional<Micros> terminateAfter;  // SIGTERM
    Micros grace = 6 * kSecond;
    std::optional<unsigned> keepAlive;  // seconds, as advertised by servers
    Micros thinkTime = 0;               // of clients, between an answer and the next request; 0: drawn
};

// Outcome of one request, as seen from outside.
struct RequestRecord {
    std::string id;
    bool writing = false;
    bool sent = false;  // its client has sent the last byte
    Micros sentAt = 0, timeLeft = 0;
    unsigned ran = 0;
    std::size_t bytesLeft = 0;       // bytes that the proxy wrote to servers
    std::set<Connection*> arrivals;  // connections on which a byte of it was sent
    std::set<Connection*> proven;    // of these, where the server stated that it has not run
    std::set<std::string> bodies;    // complete bodies sent by servers
    unsigned status = 0;             // received by its client
    bool whole = false;
};

// Plays a history and checks the rules.
class Model {
public:
    Model(Choices& choices, Plan plan);
    // Plays one history. Throws `RuleViolation`.
    void play();

    std::map<std::string, RequestRecord> requests;
    unsigned connectsMade = 0;

private:
    struct ServerSide {
        std::string id;
        std::vector<std::shared_ptr<Connection>> connections;
        ConnectResult accepts = ConnectResult::accepted;
        bool cutOff = false;
    };
    // A server's side of one connection.
    struct Session {
        ServerSide* server = nullptr;
        Connection* connection = nullptr;
        std::string in;
        std::size_t skip = 0;   // remaining bytes of a request that was answered early
        std::string requestId;  // current request
        Act act = Act::answer;
        bool closed = false;
        bool largeAnswer = false;
        // As seen by the proxy.
        std::string writing;   // id of the request being written
        bool answered = true;  // the last request got a complete answer
        std::optional<std::size_t> surplusFrom;
    };
    struct ClientSide {
        std::shared_ptr<Connection> connection;
        std::vector<std::string> ids;
        std::size_t next = 0;  // request to be sent
        std::size_t answered = 0;
        std::string in;
        bool proxyClosed = false, left = false, pipelines = false;
    };

    void addServers();
    proto::ResourceBatch batch() const;
    void onAccepted(unsigned short port, const std::shared_ptr<Connection>& connection);
    void onProxyWrite(const std::shared_ptr<Session>& session, std::string_view all, std::size_t accepted);
    void onServerBytes(const std::shared_ptr<Session>& session, std::string_view bytes);
    void serve(const std::shared_ptr<Session>& session, RequestRecord& request);
    bool serveAnswer(const std::shared_ptr<Session>& session, RequestRecord& request);
    bool serveTrouble(const std::shared_ptr<Session>& session, RequestRecord& request);
    void serveStatus(Session& session, RequestRecord& request);
    void run(RequestRecord& request);
    static void endConnection(Session& session, bool byReset);
    static void answer(Session& session, const std::string& bytes);
    std::string bodyOf(const RequestRecord& request, const Session& session) const;
    std::string goodAnswer(const RequestRecord& request, Session& session, bool chunked);
    void startClient(ClientSide& client);
    void sendNext(ClientSide& client);
    void onClientBytes(ClientSide& client, std::string_view bytes);
    bool takeAnswer(ClientSide& client);
    void checkAnswer(const ClientSide& client, RequestRecord& request, const std::string& head,
                     const std::string& body);
    void checkEnd();
    void troubleLinks();
    void cutOffFirstServer();
    void troubleClients();
    [[noreturn]] void violated(const std::string& rule, const std::string& id) const;

    Choices& choices_;
    Plan plan_;
    SimulatedLoop loop_;
    upstream::Tables tables_;
    std::unique_ptr<RequestForwarder> forwarder_;
    bool ended_ = false;  // the proxy reported the end of its shutdown
    std::vector<ServerSide> servers_;
    std::vector<std::unique_ptr<ClientSide>> clients_;
    std::map<unsigned short, std::size_t> ports_;
    std::vector<std::shared_ptr<Session>> sessions_;
    std::string trace_;
};

}  // namespace marldale::edge_proxy::model
