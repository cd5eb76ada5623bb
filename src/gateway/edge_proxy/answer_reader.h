// Reads answers from a server connection: a strict check of the head first, then Beast's parser. The result
// is ready to be forwarded to the client.
#pragma once

#include <boost/beast/http/basic_parser.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/http_server/head_check.h"
#include "gateway/http_server/request_reader.h"
#include "policy/types.h"

namespace marldale::edge_proxy {

// A server's answer, complete or in part.
struct Answer {
    unsigned status = 0;
    // Status line and fields, each with CRLF, without hop-by-hop and framing fields.
    std::string head;
    std::string body;  // received so far and not yet consumed
    std::string tryId;
    std::optional<std::uint64_t> length;  // value of Content-Length
    bool sealed = false, notRun = false, encoded = false;
    bool endless = false;           // delimited by the connection's end: completeness cannot be verified
    bool keepAlive = false;         // the connection remains usable
    std::optional<Micros> keepFor;  // timeout of the Keep-Alive field

    void clear();
};

// Incremental parser of answers on one connection.
class AnswerReader {
public:
    enum class State { idle, head, body, whole, bad };
    // Returns the number of bytes consumed; the caller must present the rest again at the next call.
    std::size_t feed(std::string_view bytes);
    [[nodiscard]] State state() const { return state_; }
    [[nodiscard]] bool headDone() const { return state_ == State::body || state_ == State::whole; }
    Answer& answer() { return answer_; }
    // Prepares for the next answer. `headOnly`: it has no body, whatever its fields say.
    void next(bool headOnly);

private:
    class Parser final : public boost::beast::http::basic_parser<false> {
    public:
        explicit Parser(AnswerReader& reader) : reader_(reader) {}

    private:
        using Error = boost::beast::error_code;
        using Text = boost::beast::string_view;
        void on_request_impl(boost::beast::http::verb, Text, Text, int, Error&) override {}
        void on_response_impl(int, Text, int, Error&) override;
        void on_field_impl(boost::beast::http::field, Text, Text, Error&) override;
        void on_header_impl(Error&) override;
        void on_body_init_impl(const boost::optional<std::uint64_t>&, Error&) override {}
        std::size_t on_body_impl(Text, Error&) override;
        void on_chunk_header_impl(std::uint64_t, Text, Error&) override {}
        std::size_t on_chunk_body_impl(std::uint64_t, Text, Error&) override;
        void on_finish_impl(Error&) override {}
        // Interprets a field that concerns the proxy. Returns true if it is forwarded even if Connection
        // lists it.
        bool readField(const http_server::Field& field, Error& error);
        AnswerReader& reader_;
        bool framed_ = false;  // the body is delimited by its framing
    };
    // Both return the number of bytes consumed.
    std::size_t readHead(std::string_view bytes);
    std::size_t readBody(std::string_view bytes);

    State state_ = State::idle;
    bool headOnly_ = false;
    http_server::HeadCheck check_;
    std::optional<Parser> parser_;
    std::vector<http_server::Field> fields_;
    Answer answer_;
};

}  // namespace marldale::edge_proxy
