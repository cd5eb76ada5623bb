#include "transport/http_get.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <netinet/in.h>

#include <array>

namespace marldale::transport {

const char* name(HttpEnd how) {
    switch (how) {
        case HttpEnd::answered: return "answered";
        case HttpEnd::timeout: return "no answer in time";
        case HttpEnd::unreachable: return "unreachable";
        case HttpEnd::broken: return "broken";
    }
    return "?";
}

void HttpGet::Free::operator()(evhttp_connection* c) const { evhttp_connection_free(c); }

HttpGet::HttpGet(const Loop& loop, const Address& to, const std::string& path, HttpLimits limits,
                 Handlers handlers)
    : limits_(limits),
      handlers_(std::move(handlers)),
      limit_(loop, [this] { end(HttpEnd::timeout, 0, {}); }) {
    limit_.after(limits.firstByte);
    connection_.reset(evhttp_connection_base_new(loop.base(), nullptr, to.host.c_str(), to.port));
    evhttp_request* request = evhttp_request_new(
        [](evhttp_request* r, void* self) { static_cast<HttpGet*>(self)->onDone(r); }, this);
    if (!connection_ || request == nullptr) {
        if (request != nullptr) evhttp_request_free(request);
        limit_.after(Millis{0});
        return;
    }
    evhttp_connection_set_max_headers_size(connection_.get(), 16384);
    if (handlers_.piece) {
        evhttp_request_set_chunked_cb(
            request, [](evhttp_request* r, void* self) { static_cast<HttpGet*>(self)->onPiece(r); });
    } else {
        evhttp_connection_set_max_body_size(connection_.get(), static_cast<ev_ssize_t>(limits.bodyMost));
    }
    // evhttp gathers a whole chunk before it hands it on: a false chunk length must not gather for ever.
    bufferevent_setwatermark(evhttp_connection_get_bufferevent(connection_.get()), EV_READ, 0,
                             limits.bodyMost);
    evhttp_request_set_error_cb(request, [](evhttp_request_error e, void* self) {
        static_cast<HttpGet*>(self)->failure_ = e == EVREQ_HTTP_TIMEOUT ? HttpEnd::timeout : HttpEnd::broken;
    });
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", to.text().c_str());
    if (!handlers_.piece) evhttp_add_header(headers, "Connection", "close");
    if (evhttp_make_request(connection_.get(), request, EVHTTP_REQ_GET, path.c_str()) != 0) {
        evhttp_request_free(request);  // it was not queued, so the connection does not own it
        limit_.after(Millis{0});
    }
}

HttpGet::~HttpGet() { cancel(); }

void HttpGet::cancel() {
    open_ = false;
    limit_.cancel();
}

void HttpGet::onPiece(evhttp_request* request) {
    evbuffer* body = evhttp_request_get_input_buffer(request);
    std::array<char, 16384> piece{};
    while (open_) {
        const int got = evbuffer_remove(body, piece.data(), piece.size());
        if (got <= 0) return;
        limit_.after(limits_.silence);
        // An error's body is not the stream that was asked for.
        if (evhttp_request_get_response_code(request) != HTTP_OK) continue;
        handlers_.piece({piece.data(), static_cast<std::size_t>(got)});
    }
}

void HttpGet::onDone(evhttp_request* request) {
    if (!open_) return;
    const int status = request == nullptr ? 0 : evhttp_request_get_response_code(request);
    if (status == 0) return end(failure_, 0, {});
    evbuffer* body = evhttp_request_get_input_buffer(request);
    const std::size_t size = evbuffer_get_length(body);
    std::string text(size, '\0');
    evbuffer_copyout(body, text.data(), size);
    end(HttpEnd::answered, status, text);
}

void HttpGet::end(HttpEnd how, int status, std::string_view body) {
    if (!open_) return;
    cancel();
    handlers_.ended(how, status, body);
}

}  // namespace marldale::transport
