// Stand-in boxes that speak HTTP/1.1: they count what reaches them, by the second and by the wish, and can be
// told to refuse, fail or stay silent.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "standin/loop_thread.h"
#include "standin/watch.h"

struct evhttp;
struct evhttp_request;

namespace marldale::standin {

struct Arrived {
    std::int64_t atUs = 0;  // steady clock
    std::string path, key;  // key: Idempotency-Key, if there was one
};

// What a box does with a request.
struct Manner {
    int status = 200;
    int delayMs = 0;
    bool runs = true;        // the effect happens
    bool answers = true;     // false: the connection is dropped without a word
    std::string retryAfter;  // header, if not empty
    std::size_t bytes = 3;   // of the answer's body
};

class HttpBox {
public:
    // `manner`: asked for each request, in the box's thread.
    // `keeps`: what arrived, to be asked for.
    explicit HttpBox(std::function<Manner(const Arrived&)> manner, bool keeps = true);
    ~HttpBox();

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
    [[nodiscard]] std::vector<Arrived> arrived();
    // How often each key's request was run.
    [[nodiscard]] std::map<std::string, int> effects();

private:
    struct Free {
        void operator()(evhttp* h) const;
    };
    void serve(evhttp_request* request);
    static void answer(evhttp_request* request, const Manner& manner);
    struct Later;

    const std::function<Manner(const Arrived&)> manner_;
    const bool keeps_;
    Watch watch_;
    std::vector<Arrived> arrived_;
    std::map<std::string, int> effects_;
    std::uint16_t port_ = 0;
    LoopThread thread_;
    std::unique_ptr<evhttp, Free> http_;
    std::map<evhttp_request*, std::unique_ptr<Later>> later_;  // answers that wait
};

}  // namespace marldale::standin
