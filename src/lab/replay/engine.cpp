#include "replay/engine.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <stdexcept>

namespace marldale::replay {
namespace {

using attempts::Answer;
using attempts::Ended;
using attempts::JournalRecord;

constexpr transport::Millis kTick{1000};
constexpr Micros kNap = 1000;  // a timer of the loop has milliseconds: what is due sooner is due now

std::optional<evhttp_cmd_type> methodOf(const std::string& method) {
    static const std::map<std::string, evhttp_cmd_type> known = {
        {"GET", EVHTTP_REQ_GET},     {"POST", EVHTTP_REQ_POST},     {"HEAD", EVHTTP_REQ_HEAD},
        {"PUT", EVHTTP_REQ_PUT},     {"DELETE", EVHTTP_REQ_DELETE}, {"OPTIONS", EVHTTP_REQ_OPTIONS},
        {"TRACE", EVHTTP_REQ_TRACE}, {"PATCH", EVHTTP_REQ_PATCH}};
    const auto at = known.find(method);
    return at == known.end() ? std::nullopt : std::optional(at->second);
}

std::string hex(std::uint64_t value) {
    char out[17];
    std::snprintf(out, sizeof out, "%016llx", static_cast<unsigned long long>(value));
    return out;
}

// A path as it may stand in a request: nothing recorded may break out of its line.
std::string harmlessTarget(const std::string& path) {
    std::string out = path.starts_with('/') ? path : "/" + path;
    for (char& c : out) {
        if (c <= ' ' || c == 0x7f) c = '_';
    }
    return out;
}

}  // namespace

struct Engine::Connection {
    struct Free {
        void operator()(evhttp_connection* c) const { evhttp_connection_free(c); }
    };
    std::size_t target = 0;
    std::unique_ptr<evhttp_connection, Free> http;
    unsigned waiting = 0;  // requests that are out on it
};

struct Engine::Request {
    Engine& engine;
    Send send;
    Connection* connection;
    Micros sentAt;
    bool timedOut = false;
};

Engine::Engine(transport::Loop& loop, EngineSettings settings, Plan& plan, Results& results,
               JournalFile* journal, std::function<void(const std::string&)> progress)
    : loop_(loop),
      settings_(std::move(settings)),
      plan_(plan),
      results_(results),
      file_(journal),
      progress_(std::move(progress)),
      wake_(loop, [this] { pump(); }),
      tick_(loop, [this] { tick(); }),
      drain_(loop, [this] {
          over_ = true;
          loop_.stop();
      }) {
    if (file_ != nullptr) {
        journal_.emplace(loop_, *file_, [this](const std::string& why) { fail(why); });
    }
}

Engine::~Engine() {
    // Their callbacks find nothing any more.
    out_.clear();
    connections_.clear();
}

Micros Engine::steadyNow() {
    using std::chrono::steady_clock;
    return std::chrono::duration_cast<std::chrono::microseconds>(steady_clock::now().time_since_epoch())
        .count();
}

Summary Engine::run(std::uint64_t skip) {
    begin_ = results_.begin = steadyNow();
    summary_.resumedFrom = skip;
    plan_.begin(begin_, skip);
    wake_.after(transport::Millis{0});
    tick_.after(kTick);
    loop_.run();
    summary_.took = steadyNow() - begin_;
    if (!error_.empty()) throw std::runtime_error(error_);
    if (journal_) {
        journal_.reset();  // all of it is written
        std::vector<JournalRecord> last = {{JournalRecord::Kind::reached, {}, plan_.settledBefore(), 0, 0}};
        if (!summary_.stopped) last.push_back({JournalRecord::Kind::finished, {}, 0, 0, 0});
        file_->append(last, true);
    }
    return summary_;
}

void Engine::stop(const std::string& why) {
    if (summary_.stopped || over_) return;
    summary_.stopped = true;
    summary_.why = why;
    plan_.stop();
    drain_.after(transport::Millis{settings_.drainWithin / 1000});
    finishIfDone();
}

void Engine::finishIfDone() {
    if (over_ || !plan_.done()) return;
    over_ = true;
    loop_.stop();
}

// Nothing of what waits has gone, and nothing will.
void Engine::fail(const std::string& why) {
    if (error_.empty()) error_ = why;
    over_ = true;
    loop_.stop();
}

void Engine::pump() {
    if (over_) return;
    const Micros now = steadyNow();
    std::vector<Send> sends = plan_.due(now), once;
    std::vector<JournalRecord> begun;
    for (Send& s : sends) {
        if (!s.hasEffect) {
            send(std::move(s), steadyNow());
            continue;
        }
        begun.push_back({JournalRecord::Kind::begun, {}, s.intent, s.kin, s.entry.at});
        once.push_back(std::move(s));
    }
    if (!once.empty()) {
        if (!journal_) return fail("classes with effects need a journal");
        // Only what stands in the journal may go.
        journal_->append(std::move(begun), [this, once = std::move(once)]() mutable {
            for (Send& s : once) {
                if (!over_) send(std::move(s), steadyNow());
            }
        });
    }
    finishIfDone();
    const Micros after = steadyNow();
    const auto next = plan_.wakeAt(after);
    if (!next || over_) return;
    const Micros wait = *next - after;
    wake_.after(transport::Millis{wait < kNap ? 0 : wait / 1000});
}

// A client keeps its connection while it is free; otherwise any free one of its box, or a new one.
Engine::Connection& Engine::connectionFor(const Send& send) {
    const std::uint64_t client = send.entry.client != 0 ? send.entry.client : send.intent;
    const auto perTarget = std::max<std::size_t>(1, settings_.connectionsMost / settings_.targets.size());
    const std::size_t first = send.target * perTarget, own = first + client % perTarget;
    connections_.resize(perTarget * settings_.targets.size());
    std::size_t best = own;
    for (std::size_t i = 0; i < perTarget; ++i) {
        const std::size_t at = first + (own - first + i) % perTarget;
        if (!connections_[at] || connections_[at]->waiting == 0) {
            best = at;
            break;
        }
        if (connections_[at]->waiting < connections_[best]->waiting) best = at;
    }
    auto& chosen = connections_[best];
    if (!chosen) {
        chosen = std::make_unique<Connection>();
        chosen->target = send.target;
        const transport::Address& to = settings_.targets[send.target];
        chosen->http.reset(evhttp_connection_base_new(loop_.base(), nullptr, to.host.c_str(), to.port));
        if (!chosen->http) throw std::runtime_error("no connection can be made");
        const timeval limit{settings_.answerWithin / 1000000, settings_.answerWithin % 1000000};
        evhttp_connection_set_timeout_tv(chosen->http.get(), &limit);
        evhttp_connection_set_retries(chosen->http.get(), 0);  // whether to try again is not its decision
        evhttp_connection_set_max_body_size(chosen->http.get(), static_cast<ev_ssize_t>(settings_.replyMost));
    }
    return *chosen;
}

void Engine::send(Send send, Micros now) {
    const std::uint64_t id = send.id;
    const auto method = methodOf(send.entry.method);
    const std::string target = harmlessTarget(send.entry.path);
    results_.sent(send, now);
    if (!method) {  // nothing goes out, and that is known
        const Answer never{Ended::neverSent, 0, -1};
        if (journal_ && send.hasEffect) {
            journal_->append({{JournalRecord::Kind::ended, attempts::Effect::notDone, send.intent, 0, 0}},
                             nullptr);
        }
        results_.answered(send, never, now, now);
        return plan_.answered(send, never, std::nullopt, now);
    }
    Connection& connection = connectionFor(send);
    auto& request = *out_.emplace(id, new Request{*this, std::move(send), &connection, now}).first->second;
    evhttp_request* const http = evhttp_request_new(
        [](evhttp_request* reply, void* self) {
            auto& r = *static_cast<Request*>(self);
            r.engine.done(r, reply);
        },
        &request);
    evhttp_request_set_error_cb(http, [](evhttp_request_error error, void* self) {
        static_cast<Request*>(self)->timedOut = error == EVREQ_HTTP_TIMEOUT;
    });
    evkeyvalq* const headers = evhttp_request_get_output_headers(http);
    const trace::Entry& e = request.send.entry;
    const std::string host = e.host.empty() ? settings_.targets[request.send.target].text() : e.host;
    evhttp_add_header(headers, "Host", host.c_str());
    evhttp_add_header(headers, "User-Agent", "marldale-replay/1");
    if (e.client != 0) evhttp_add_header(headers, "X-Replay-Client", hex(e.client).c_str());
    if (request.send.hasEffect)
        evhttp_add_header(headers, "Idempotency-Key", hex(request.send.intent).c_str());
    if (*method == EVHTTP_REQ_POST || *method == EVHTTP_REQ_PUT || *method == EVHTTP_REQ_PATCH) {
        evhttp_add_header(headers, "Content-Length", "0");  // bodies are not recorded
    }
    ++connection.waiting;
    // It tells a failure by the callback, or by its result; never by both.
    if (evhttp_make_request(connection.http.get(), http, *method, target.c_str()) != 0)
        done(request, nullptr);
}

void Engine::done(Request& request, evhttp_request* reply) {
    const Micros now = steadyNow();
    --request.connection->waiting;
    Answer answer{Ended::cut, 0, -1};
    std::optional<Micros> retryAfter;
    const int status = reply == nullptr ? 0 : evhttp_request_get_response_code(reply);
    if (status > 0) {
        const std::size_t bytes = evbuffer_get_length(evhttp_request_get_input_buffer(reply));
        answer = {Ended::answered, status, static_cast<std::int64_t>(bytes)};
        summary_.bytes += bytes;
        const char* const after = evhttp_find_header(evhttp_request_get_input_headers(reply), "Retry-After");
        if (after != nullptr) {
            const auto wall = std::chrono::system_clock::now().time_since_epoch();
            retryAfter = attempts::readRetryAfter(
                after, std::chrono::duration_cast<std::chrono::microseconds>(wall).count());
        }
    } else if (request.timedOut) {
        answer.ended = Ended::timedOut;
    } else if (reply != nullptr && reply->evcon == nullptr) {
        // That is how evhttp tells that the dial came to nothing: no byte of it has left.
        answer.ended = Ended::neverSent;
    }
    const Send send = std::move(request.send);
    const Micros sentAt = request.sentAt;
    out_.erase(send.id);
    if (over_) return;
    results_.answered(send, answer, sentAt, now);
    plan_.answered(send, answer, retryAfter, now);
    if (journal_ && send.hasEffect) {
        const attempts::Effect live = attempts::effectOf(answer, true);
        journal_->append({{JournalRecord::Kind::ended, live, send.intent, 0, 0}}, nullptr);
    }
    if (summary_.bytes > settings_.bytesMost) stop("the limit on bytes of replies");
    // Not at once: the connection is still in its callback, and what waits goes with the next turn.
    if (plan_.waiting() > 0 || plan_.done()) wake_.after(transport::Millis{0});
}

void Engine::tick() {
    if (over_) return;
    const Micros now = steadyNow();
    if (now - begin_ > settings_.durationMost) stop("the limit on its duration");
    const std::uint64_t reached = plan_.settledBefore();
    if (journal_ && reached != journaledReach_) {
        journaledReach_ = reached;
        journal_->append({{JournalRecord::Kind::reached, {}, reached, 0, 0}}, nullptr);
    }
    if (progress_) {
        std::uint64_t sent = 0, failed = 0;
        for (const ClassFigures& f : plan_.figures()) {
            sent += f.sent;
            failed += f.failed;
        }
        progress_(std::to_string((now - begin_) / 1000000) + " s: " + std::to_string(sent) + " sent, " +
                  std::to_string(plan_.inFlight()) + " out, " + std::to_string(plan_.waiting()) +
                  " waiting, " + std::to_string(failed) + " failed");
    }
    tick_.after(kTick);
}

}  // namespace marldale::replay
