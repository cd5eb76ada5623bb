#include "standin/http_box.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <chrono>
#include <stdexcept>

namespace marldale::standin {
namespace {

std::int64_t steadyUs() {
    using std::chrono::steady_clock;
    return std::chrono::duration_cast<std::chrono::microseconds>(steady_clock::now().time_since_epoch())
        .count();
}

// An answer that waits.
struct Later {
    evhttp_request* request;
    Manner manner;
};

}  // namespace

void HttpBox::Free::operator()(evhttp* h) const { evhttp_free(h); }

HttpBox::HttpBox(std::function<Manner(const Arrived&)> manner) : manner_(std::move(manner)) {
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
    thread_.run([this] { http_.reset(); });
}

void HttpBox::serve(evhttp_request* request) {
    Arrived a;
    a.atUs = steadyUs();
    a.path = evhttp_request_get_uri(request);
    const char* const key = evhttp_find_header(evhttp_request_get_input_headers(request), "Idempotency-Key");
    if (key != nullptr) a.key = key;
    const Manner manner = manner_(a);
    watch_.change([&] {
        if (manner.runs && !a.key.empty()) ++effects_[a.key];
        arrived_.push_back(a);
    });
    if (manner.delayMs == 0) return answer(request, manner);
    const timeval wait{manner.delayMs / 1000, manner.delayMs % 1000 * 1000};
    event_base_once(
        thread_.loop().base(), -1, EV_TIMEOUT,
        [](evutil_socket_t, short, void* arg) {
            const std::unique_ptr<Later> later(static_cast<Later*>(arg));
            answer(later->request, later->manner);
        },
        new Later{request, manner}, &wait);
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
