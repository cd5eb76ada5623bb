// One connection to a server, with one request at a time. It is read from while idle, so that a close or
// unsolicited bytes end it at once.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <string_view>

#include "gateway/edge_proxy/answer_reader.h"
#include "gateway/forwarding/faults.h"
#include "gateway/http_server/client_connection.h"

namespace marldale::edge_proxy {

class ServerConnection;

// Receives the events of server connections.
class ServerConnectionOwner {
public:
    virtual ~ServerConnectionOwner() = default;
    // `connect` has succeeded or failed.
    virtual void onConnected(ServerConnection& connection, bool succeeded) = 0;
    // Part of the answer has arrived: see `reader`. Complete or invalid at most once.
    virtual void onAnswer(ServerConnection& connection) = 0;
    // The connection was closed or reset by the server, or data stayed unacknowledged for too long, while a
    // request was pending. It is closed already.
    virtual void onBroken(ServerConnection& connection) = 0;
    // The connection may take the next request.
    virtual void onIdle(ServerConnection& connection) = 0;
    // The connection is closed, by either side; called once.
    virtual void onClosed(ServerConnection& connection) = 0;
};

// The connections to one server (connection_pool.h).
struct Pool;

class ServerConnection final : public std::enable_shared_from_this<ServerConnection>,
                               public http_server::StreamHandler,
                               private http_server::Timers::Item {
public:
    enum class State { connecting, busy, settling, idle, closed };

    ServerConnection(ServerConnectionOwner& owner, http_server::Timers& timers, Pool& pool,
                     const forwarding::Faults& faults);

    // The result arrives through `onConnected`, unless the connection is closed before. False: no socket is
    // available.
    bool connect(const boost::asio::ip::tcp::endpoint& endpoint);
    // How long the server's host may leave sent data unacknowledged.
    static constexpr Micros kPeerTimeout = 250000;
    // Sends a request. False: nothing was sent, and the connection is closed.
    bool send(std::string_view head, std::string_view rest, std::string_view body, bool headOnly);
    // The answer was consumed: the connection is reused or closed.
    void finished(bool keep);
    // Detaches the request: `onIdle` follows in a later loop turn if nothing arrives until then.
    void release();
    void pause() { paused_ = true; }
    void resume();
    void close();

    [[nodiscard]] State state() const { return state_; }
    [[nodiscard]] Pool& pool() { return pool_; }
    AnswerReader& reader() { return reader_; }
    [[nodiscard]] bool surplus() const { return inputBegin_ != inputEnd_; }  // bytes after the answer
    [[nodiscard]] bool stillSending() const { return !output_.empty(); }
    [[nodiscard]] unsigned answers() const { return answers_; }
    [[nodiscard]] Micros usedAt() const { return usedAt_; }
    // No byte of the request was sent, so it certainly has not run.
    [[nodiscard]] bool nothingSent() const { return sentBytes_ == 0; }
    // Sent bytes are unacknowledged, and the server's host has sent nothing for `kPeerTimeout`.
    [[nodiscard]] bool peerUnresponsive(Micros now);
    // Idle, not known to be closed, and the server's host was reachable a moment ago: suitable for a request
    // that must not run twice.
    [[nodiscard]] bool verifiedOpen(Micros now);
    // Until when the server keeps the connection open, as advertised; sufficient for repeatable requests.
    [[nodiscard]] Micros openUntil() const { return openUntil_; }

    std::shared_ptr<http_server::ClientHandle> user;  // whose request uses the connection or waits for it

private:
    void due(Micros now) override;
    void onConnect(const boost::system::error_code& error) override;
    void onRead(const boost::system::error_code& error, std::size_t bytes) override;
    void onWritable(const boost::system::error_code& error) override;
    void read();
    void keepOpenFor(Micros advertised, bool isAdvertised);
    void flush();
    void onConnectionLost();

    http_server::Timers& timers_;
    std::unique_ptr<http_server::ByteStream> stream_;
    ServerConnectionOwner& owner_;
    Pool& pool_;
    const forwarding::Faults& faults_;
    AnswerReader reader_;
    State state_ = State::connecting;
    std::string input_;
    std::size_t inputBegin_ = 0, inputEnd_ = 0;
    bool reading_ = false, paused_ = false;
    std::string output_;
    std::size_t outputBegin_ = 0;
    std::size_t sentBytes_ = 0;  // of the current request
    Micros sentAt_ = 0;
    unsigned answers_ = 0;
    Micros usedAt_ = 0;             // connected, or answered the last request
    Micros openUntil_ = 0;          // see `openUntil`
    Micros verifiedOpenUntil_ = 0;  // earlier, since the advertised time is in whole seconds
};

}  // namespace marldale::edge_proxy
