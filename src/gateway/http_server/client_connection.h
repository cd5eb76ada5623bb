// One connection of a client: reads a request, hands it to the handler, writes the answer; one at a time.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "gateway/http_server/request_reader.h"
#include "gateway/http_server/timers.h"

namespace marldale::http_server {

class ClientConnection;

// Whom a listener's connections belong to.
class RequestHandler {
public:
    virtual ~RequestHandler() = default;
    // A whole request is there; it is answered now or later.
    virtual void onRequest(const std::shared_ptr<ClientConnection>& client) = 0;
    // Its client has gone before it was answered: nothing can be written any more.
    virtual void onClientGone(ClientConnection& client) = 0;
    // All that was written of a stream has left.
    virtual void onDrained(ClientConnection& client) = 0;
    // It is closed; called once.
    virtual void onClosed(ClientConnection& client) = 0;
    [[nodiscard]] virtual const upstream::Limits& limits() const = 0;
    // Answers say that the connection is closed after them.
    [[nodiscard]] virtual bool closing() const = 0;
    // Bytes have come from a client.
    virtual void onClientBytes() {}
    // Bytes of bodies held in memory: false if that would be too much.
    virtual bool hold(std::int64_t bytes) = 0;
};

// What a request has with the handler while it is answered.
struct ClientHandle {
    virtual ~ClientHandle() = default;
};

class ClientConnection final : public std::enable_shared_from_this<ClientConnection>,
                               public StreamHandler,
                               private Timers::Item {
public:
    ClientConnection(std::unique_ptr<ByteStream> stream, RequestHandler& handler, Timers& timers);
    ~ClientConnection() override;

    void start();
    Request& request() { return reader_.request(); }
    std::shared_ptr<ClientHandle> exchange;

    // The answer whole. `head`: status line and fields, each with CRLF, without framing and without the empty
    // line. `length`: of Content-Length; nothing where the status has none. The body may be shorter only for
    // HEAD and 304.
    void answer(std::string_view head, std::string_view body, std::optional<std::uint64_t> length);
    // One of our own, without a body. `retryAfter` 0: none.
    void answerOwn(unsigned status, Micros retryAfter = 0);
    // An answer in pieces: with a length, or in chunks.
    void begin(std::string_view head, std::optional<std::uint64_t> length);
    void more(std::string_view bytes);
    void end();
    // An answer that has begun can't be ended: it must look cut.
    void cut();
    [[nodiscard]] std::size_t pending() const { return outNow_.size() - outFrom_ + outNext_.size(); }
    [[nodiscard]] bool http10() { return reader_.request().http10; }

    // Closes it unless a request has begun to come, also one that has been read and not looked at yet, or
    // that lies in the socket.
    void closeIfUnused();
    [[nodiscard]] bool isClosed() const { return state_ == State::closed; }
    [[nodiscard]] Micros openedAt() const { return openedAt_; }
    void close();

private:
    enum class State { reading, serving, answering, lingering, closed };

    void due(Micros now) override;
    void closeIfQuiet(Micros now);
    void read();
    void onRead(const boost::system::error_code& error, std::size_t bytes) override;
    void onWritable(const boost::system::error_code& error) override;
    void process(Micros now);
    void send(std::string_view head, std::string_view body);
    void flush();
    void flushed();
    void afterAnswer();
    void fault(unsigned status, Micros retryAfter = 0);
    void appendEnd(std::string& head);
    void linger();
    void release();
    [[nodiscard]] bool idle() const {
        return state_ == State::reading && reader_.state() == RequestReader::State::idle && inFrom_ == inTo_;
    }

    std::unique_ptr<ByteStream> stream_;
    Timers& timers_;
    RequestHandler& handler_;
    Micros openedAt_ = 0, idleSince_ = 0;
    RequestReader reader_;
    State state_ = State::reading;
    std::string in_;  // its size is the room for reading
    std::size_t inFrom_ = 0, inTo_ = 0;
    bool reading_ = false, peerDone_ = false;
    bool closing_ = false;          // once the pending read has ended without a byte
    std::string outNow_, outNext_;  // what is being written, and what follows
    std::size_t outFrom_ = 0;
    bool writing_ = false;
    bool answered_ = false;  // all of the answer was given to `send`
    bool keep_ = false;      // the connection stays after this answer
    bool unread_ = false;    // there may be bytes of the request that nobody reads
    bool chunked_ = false;
    bool continueSent_ = false;
    std::int64_t held_ = 0;
};

[[nodiscard]] std::string_view reason(unsigned status);

}  // namespace marldale::http_server
