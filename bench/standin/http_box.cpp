#include "standin/http_box.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <chrono>
#include <stdexcept>
#include <utility>

namespace marldale::standin {
namespace {

std::int64_t steadyUs() {
    using std::chrono::steady_clock;
    return std::chrono::duration_cast<std::chrono::microseconds>(steady_clock::now().time_since_epoch())
        .count();
}

}  // namespace

struct HttpBox::Later {
    Manner manner;
    transport::Timer due;
};

void HttpBox::Free::operator()(evhttp* h) const { evhttp_free(h); }

HttpBox::HttpBox(std::function<Manner(const Arrived&)> manner, bool keeps)
    : manner_(std::move(manner)), keeps_(keeps) {
    thread_.run([this] {
        http_.reset(evhttp_new(thread_.loop().base()));
        evhttp_set_allowed_methods(http_.get(), 0xffff);
        evhttp_bound_socket* const bound = evhttp_bind_socket_with_handle(http_.get(), "127.0.0.1", 0);
        if (bound == nullptr) throw std::runtime_error("a box can't listen");
        sockaddr_in at{};
        socklen_t size = sizeof at;
        getsockname(evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr*>(&at), &size);
        port_ = ntohs(at.sin_port);
        evhttp_set_gencb(
            http_.get(), [](evhttp_request* r, void* self) { static_cast<HttpBox*>(self)->serve(r); }, this);
    });
}

HttpBox::~HttpBox() {
    thread_.run([this] {
        for (auto& [request, later] : std::exchange(later_, {})) answer(request, later->manner);
        http_.reset();
    });
}

void HttpBox::serve(evhttp_request* request) {
    Arrived a;
    a.atUs = steadyUs();
    a.path = evhttp_request_get_uri(request);
    const char* const key = evhttp_find_header(evhttp_request_get_input_headers(request), "Idempotency-Key");
    if (key != nullptr) a.key = key;
    // An answer in two writes must not wait for the other side's acknowledgement.
    const int on = 1;
    setsockopt(bufferevent_getfd(evhttp_connection_get_bufferevent(evhttp_request_get_connection(request))),
               IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const Manner manner = manner_(a);
    watch_.change([&] {
        if (manner.runs && !a.key.empty()) ++effects_[a.key];
        if (keeps_) arrived_.push_back(a);
    });
    if (manner.delayMs == 0) return answer(request, manner);
    auto& later = later_[request];
    later.reset(new Later{manner, transport::Timer(thread_.loop(), [this, request] {
                              auto waited = std::move(later_.extract(request).mapped());
                              answer(request, waited->manner);
                              thread_.loop().bury(std::move(waited));
                          })});
    later->due.after(transport::Millis{manner.delayMs});
}

void HttpBox::answer(evhttp_request* request, const Manner& manner) {
    if (!manner.answers) {
        evhttp_connection* const connection = evhttp_request_get_connection(request);
        if (connection != nullptr) evhttp_connection_free(connection);
        return;
    }
    if (!manner.retryAfter.empty()) {
        evhttp_add_header(evhttp_request_get_output_headers(request), "Retry-After",
                          manner.retryAfter.c_str());
    }
    evbuffer* const body = evbuffer_new();
    evbuffer_add_printf(body, "ok\n");
    if (manner.bytes > 3) {
        static const std::string filling(std::size_t{1} << 20U, 'x');
        evbuffer_add_reference(body, filling.data(), std::min(manner.bytes - 3, filling.size()), nullptr,
                               nullptr);
    }
    evhttp_send_reply(request, manner.status, "Said", body);
    evbuffer_free(body);
}

std::vector<Arrived> HttpBox::arrived() {
    return watch_.look([this] { return arrived_; });
}
std::map<std::string, int> HttpBox::effects() {
    return watch_.look([this] { return effects_; });
}

}  // namespace marldale::standin
