// Reads requests: the strict check first, then Beast's parser. What comes out is ready to be forwarded.
#pragma once

#include <boost/beast/http/basic_parser.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/http_server/head_check.h"
#include "gateway/upstream/tables.h"
#include "policy/types.h"

namespace marldale::http_server {

struct Field {
    std::string_view name, value;
};

struct Request {
    // Start line and fields as they go on, each ending with CRLF: without those that concern one connection
    // only, the framing, X-Time-Left and X-Meant-Server. The empty line at its end is missing.
    std::string head;
    std::size_t targetAt = 0, targetSize = 0;  // in `head`
    std::string host;                          // lower case, without a port
    std::string body;
    std::string tryId;
    std::optional<Micros> timeLeft;
    bool hasLength = false;  // a body was told of, even an empty one
    bool headOnly = false;   // HEAD
    bool http10 = false;
    bool keepAlive = false;  // its client would keep the connection
    bool expectContinue = false;
    Micros began = 0;  // when its first byte was read

    [[nodiscard]] std::string_view target() const {
        return std::string_view(head).substr(targetAt, targetSize);
    }
    [[nodiscard]] std::string_view path() const {
        const std::string_view whole = target();
        return whole.substr(0, whole.find('?'));
    }
    void clear();
};

class RequestReader {
public:
    enum class State {
        idle,  // not a byte of a request has come
        head,
        body,
        whole,
        fault,
    };
    // Takes what it can use of `bytes` and says how much that was; what is left has to be there again at the
    // next call, with more behind it. Stops behind a whole request.
    std::size_t feed(std::string_view bytes, const upstream::Limits& limits);
    [[nodiscard]] State state() const { return state_; }
    // Of `fault`: 400, 413 or 431.
    [[nodiscard]] unsigned status() const { return status_; }
    Request& request() { return request_; }
    [[nodiscard]] std::uint64_t bodyExpected() const { return bodyExpected_; }
    void next();

private:
    class Parser;
    friend class Parser;
    class Parser final : public boost::beast::http::basic_parser<true> {
    public:
        explicit Parser(RequestReader& reader) : reader_(reader) {}

    private:
        using Error = boost::beast::error_code;
        using Text = boost::beast::string_view;
        void on_request_impl(boost::beast::http::verb, Text, Text, int, Error&) override;
        void on_response_impl(int, Text, int, Error&) override {}
        void on_field_impl(boost::beast::http::field, Text, Text, Error&) override;
        void on_header_impl(Error&) override;
        void on_body_init_impl(const boost::optional<std::uint64_t>&, Error&) override;
        std::size_t on_body_impl(Text, Error&) override;
        void on_chunk_header_impl(std::uint64_t, Text, Error&) override;
        std::size_t on_chunk_body_impl(std::uint64_t, Text, Error&) override;
        void on_finish_impl(Error&) override {}
        RequestReader& reader_;
    };

    // What Connection says, in one field or several.
    struct ConnectionOptions {
        bool close = false, keepAlive = false;
        std::string named;  // the tokens, where there are others than close or keep-alive
    };
    // What becomes of a field of a request.
    enum class FieldUse : std::uint8_t {
        forward,
        keep,  // forwarded even if Connection names it
        drop,
    };

    void fail(unsigned status);
    void headDone();
    [[nodiscard]] ConnectionOptions readConnectionOptions() const;
    // Takes from a field what concerns the proxy; a faulty one ends in `fault`.
    FieldUse takeField(const Field& field);
    FieldUse takeHost(std::string_view host);
    FieldUse takeTimeLeft(std::string_view value);
    FieldUse takeLength(std::string_view value);
    // Both return how much they could use.
    std::size_t readHead(std::string_view bytes, const upstream::Limits& limits);
    std::size_t readBody(std::string_view bytes);

    State state_ = State::idle;
    unsigned status_ = 0;
    HeadCheck check_;
    std::optional<Parser> parser_;
    std::vector<Field> fields_;  // of the head that is being parsed
    Request request_;
    std::uint64_t bodyMost_ = 0, bodyExpected_ = 0;
    bool chunked_ = false, timeLeftSeen_ = false;
};

inline constexpr std::size_t kLastChunk = 5;  // the bytes of "0", CRLF, CRLF

// Names of fields that concern one connection only, besides those that Connection names.
[[nodiscard]] bool hopByHop(std::string_view name);
// Whether one of the comma-separated tokens of a value is this one, without regard to case.
[[nodiscard]] bool listed(std::string_view value, std::string_view token);

}  // namespace marldale::http_server
