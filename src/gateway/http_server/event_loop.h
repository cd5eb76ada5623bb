// What the proxy's connections need of the process they run in: a clock, one alarm, deferred work and byte
// streams. Production code runs on Asio (asio_event_loop.h); tests put a simulated loop in its place, so that
// the same connections, pools and retry rules run under a virtual clock and scripted peers.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <functional>
#include <memory>
#include <span>

#include "policy/types.h"

namespace marldale::http_server {

// Receives the ends of the operations of one byte stream.
class StreamHandler {
public:
    virtual ~StreamHandler() = default;
    virtual void onConnect(const boost::system::error_code& error);
    virtual void onRead(const boost::system::error_code& error, std::size_t bytes) = 0;
    // Bytes may be written again.
    virtual void onWritable(const boost::system::error_code& error) = 0;
};

// One connection's bytes in both directions. At most one read and one wait for room to write are
// pending at a time; their handler is kept alive until it was called, also after `close`.
class ByteStream {
public:
    using HandlerPtr = std::shared_ptr<StreamHandler>;
    virtual ~ByteStream() = default;
    // Begins to connect. False: no socket can be had.
    virtual bool connect(const boost::asio::ip::tcp::endpoint& endpoint, HandlerPtr handler) = 0;
    virtual void readSome(boost::asio::mutable_buffer room, HandlerPtr handler) = 0;
    // Ends the pending operations: their handlers are called with operation_aborted, or with what had come of
    // them before. Bytes may have been read although their handler hasn't been called yet.
    virtual void cancel() = 0;
    virtual void awaitWritable(HandlerPtr handler) = 0;
    // Writes what fits without waiting and returns how much that was; 0 without an error: nothing fits now.
    // The only way to write: a caller who got 0 every time knows that not a byte has left.
    virtual std::size_t writeNow(std::span<const boost::asio::const_buffer> parts,
                                 boost::system::error_code& error) = 0;
    // Neither bytes nor an end of the stream are waiting to be read.
    [[nodiscard]] virtual bool quiet() = 0;
    // Time since the peer's machine last acknowledged or sent anything, a keep-alive probe included.
    [[nodiscard]] virtual Micros sincePeerAcknowledged() = 0;
    // Whether the peer's machine has acknowledged every byte written.
    [[nodiscard]] virtual bool allAcknowledged() = 0;
    virtual void shutdownSend() = 0;
    virtual void close() = 0;
    /// Closes it, and drops what was written and has not left this machine: after `close` that is still sent.
    virtual void abort() = 0;
};

class AlarmHandler {
public:
    virtual ~AlarmHandler() = default;
    virtual void onAlarm() = 0;
};

class EventLoop {
public:
    virtual ~EventLoop() = default;
    // Microseconds of a steady clock.
    [[nodiscard]] virtual Micros now() = 0;
    // Runs `work` in a later turn of the loop.
    virtual void post(std::function<void()> work) = 0;
    // Calls the handler once at `when`; replaces the alarm set before. Null: none.
    virtual void setAlarm(Micros when, AlarmHandler* handler) = 0;
    // For a connection that is to be made.
    virtual std::unique_ptr<ByteStream> newStream() = 0;
};

}  // namespace marldale::http_server
