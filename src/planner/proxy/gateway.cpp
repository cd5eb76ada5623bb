#include "proxy/gateway.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <stdexcept>
#include <utility>

#include "proxy/forward.h"

namespace marldale::proxy {
namespace {

constexpr transport::Millis kSweepEvery{500}, kLinger{2000};
constexpr const char* kNotRun = "marldale-not-run";

transport::Millis millis(Micros micros) { return transport::Millis{std::max<Micros>(1, micros / 1000)}; }

std::vector<std::string> namesOf(const std::vector<RequestClass>& classes) {
    std::vector<std::string> out;
    for (const RequestClass& k : classes) out.push_back(k.name);
    return out;
}

}  // namespace

Micros Gateway::now() {
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

// One client's connection, and the request of it that is under way.
class Gateway::Client {
public:
    Client(Gateway& gateway, evutil_socket_t fd)
        : gateway_(gateway),
          from_(peerOf(fd)),
          stream_(std::make_unique<Stream>(gateway.loop_, fd, tlsOf(gateway))),
          limit_(gateway.loop_, [this] { late(); }),
          tryLimit_(gateway.loop_, [this] { tryLate(); }) {
        Stream::Handlers handlers;
        handlers.readable = [this] { readable(); };
        handlers.drained = [this] { boxReadable(); };
        handlers.halfClosed = [this] { return saysNoMore(); };
        handlers.ended = [this](bool) { clientGone(); };
        stream_->setHandlers(std::move(handlers));
        waitForHead(gateway.settings_.headWithin);
    }
    ~Client() {
        releaseBody();
        dropBox();
    }
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    [[nodiscard]] bool idle() const { return state_ == State::head && stream_->available() == 0; }
    void goAway() { leave(); }

private:
    enum class State : std::uint8_t { head, forward, changed, over };  // changed: another protocol

    // Who it is, for budgets and room: its address, without the port.
    static std::uint64_t peerOf(evutil_socket_t fd) {
        sockaddr_in at{};
        socklen_t size = sizeof at;
        return getpeername(fd, reinterpret_cast<sockaddr*>(&at), &size) == 0 ? at.sin_addr.s_addr : 0;
    }
    static tls::SslHandle tlsOf(const Gateway& gateway) {
        return gateway.settings_.clientTls ? gateway.settings_.clientTls->connection("") : nullptr;
    }

    void waitForHead(Micros within) {
        state_ = State::head;
        limit_.after(millis(within));
    }

    // ---- The client's side ----

    void readable() {
        if (state_ == State::head) return readHead();
        if (state_ == State::forward) return forwardBody();
        if (state_ == State::changed) pass(*stream_, *box_);
    }

    // True: it waits for the answer to what it has asked for.
    bool saysNoMore() {
        if (state_ == State::changed) {
            pass(*stream_, *box_);
            return false;
        }
        const bool waits = gateway_.settings_.halfClose && state_ == State::forward && body_->done();
        noMore_ = waits;
        return waits;
    }

    void readHead() {
        const std::string_view bytes = stream_->peek(gateway_.settings_.heads.bytes);
        if (bytes.empty()) return;
        std::size_t length = 0;
        auto wrong = findHead(bytes, gateway_.settings_.heads, length);
        if (!wrong && length == 0) return;
        if (!wrong) wrong = readRequest(bytes.substr(0, length), gateway_.settings_.heads, head_);
        if (wrong) {
            ++gateway_.figures_.refusedHeads;
            return tell(wrong->status, wrong->why, 0, false);
        }
        stream_->take(length);
        begin();
    }

    void begin() {
        const Micros now = Gateway::now();
        state_ = State::forward;
        klass_ = classOf();
        const RequestClass& k = gateway_.settings_.classes[klass_];
        body_.emplace(head_.body);
        releaseBody();
        keptWhole_ = true;
        if (head_.body.framing != Framing::none) {
            bodyId_ = ++gateway_.lastBody_;
            gateway_.quota_.open(bodyId_, from_, k.worth);
            gateway_.bodies_[bodyId_] = this;
        }
        bodySent_ = head_.body.framing == Framing::none;
        answering_ = false;
        tried_.clear();
        wish_ = {k.fragile, true, 0, k.giveUp};
        upgrade_ = upgradeOf(head_, k.upgrade);
        until_ = now + k.giveUp;
        limit_.after(millis(k.giveUp));
        ++gateway_.figures_.requests;
        gateway_.tally_.came(klass_, now);
        if (!gateway_.steering_.admits(klass_, now)) {
            ++gateway_.figures_.levelRefused;
            const Verdict v = turnedAway();
            return tell(v.status, v.why, v.retryAfterS, head_.keepAlive);
        }
        tryOne(false);
    }

    [[nodiscard]] std::size_t classOf() const {
        const auto& classes = gateway_.settings_.classes;
        for (std::size_t k = 0; k < classes.size(); ++k) {
            const bool method = classes[k].method.empty() || classes[k].method == head_.method;
            if (method && head_.target.starts_with(classes[k].prefix)) return k;
        }
        return classes.size() - 1;
    }

    void forwardBody() {
        if (!box_ || !connected_ || bodySent_) return;
        while (!bodySent_ && box_ && !box_->full()) {
            const std::string_view bytes = stream_->peek(16384);
            if (bytes.empty()) return;
            const std::size_t taken = body_->feed(bytes, [this](std::string_view piece) {
                keep(piece);
                box_->write(framedPiece(head_.body.framing, piece));
            });
            stream_->take(taken);
            if (body_->bad() != nullptr) return tell(400, body_->bad(), 0, false);
            if (body_->done()) endBody();
        }
    }

    void endBody() {
        box_->write(framedEnd(head_.body.framing, body_->trailers()));
        bodySent_ = true;
    }

    void keep(std::string_view piece) {
        if (!keptWhole_) return;
        const auto grant = gateway_.quota_.reserve(bodyId_, piece.size());
        for (const attempts::BodyId id : grant.evicted) gateway_.gaveWay(id);
        if (grant.granted) kept_.append(piece);
        if (!grant.granted) bodyGone();
    }
    void bodyGone() {
        keptWhole_ = false;
        std::string().swap(kept_);
    }
    // No try will need it any more.
    void releaseBody() {
        std::string().swap(kept_);
        if (bodyId_ == 0) return;
        gateway_.quota_.release(bodyId_);
        gateway_.bodies_.erase(std::exchange(bodyId_, 0));
    }

    void clientGone() {
        if (state_ == State::forward) ++gateway_.figures_.clientsGone;
        if (state_ == State::changed && box_) {  // its last words still go out
            box_->closeAfterWriting(kLinger);
            gateway_.leaving_.push_back(std::move(box_));
            gateway_.pool_.lost(boxName_);
        }
        dropBox();  // its try is cancelled
        leave();
    }

    // ---- The box's side ----

    void tryOne(bool freshOnly) {
        const auto pick = gateway_.steering_.pick(klass_, tried_);
        if (!pick) {
            ++gateway_.figures_.unpicked;
            return finish(nothingToPick(gateway_.steering_.standing() != Standing::waiting));
        }
        if (wish_.tries == 0)
            gateway_.budgets_.firstTry(klass_, from_, std::hash<std::string>()(pick->box), Gateway::now());
        dial(pick->box, pick->endpoint, freshOnly);
    }

    // Where it is tried again, if it is: the one function, then a box, then the budgets.
    [[nodiscard]] std::optional<Steering::Pick> another(const TryEnd& end) {
        tryLimit_.cancel();
        const Micros now = Gateway::now();
        gateway_.tally_.tried(boxName_, failed(end), now - tryBegan_, now);
        wish_.timeLeft = until_ - now;
        wish_.bodyKept = keptWhole_;
        if (again(end, wish_, gateway_.steering_.retryMode(klass_)) != attempts::RetryDecision::retry)
            return std::nullopt;
        auto pick = gateway_.steering_.pick(klass_, tried_);
        if (!pick) return std::nullopt;
        if (!gateway_.budgets_.take(klass_, from_, std::hash<std::string>()(pick->box), now)) {
            ++gateway_.figures_.noBudget;
            return std::nullopt;
        }
        ++gateway_.figures_.again;
        return pick;
    }

    void dial(const std::string& box, const std::string& endpoint, bool freshOnly) {
        boxName_ = box;
        endpoint_ = endpoint;
        tried_.push_back(box);
        ++wish_.tries;
        ++gateway_.figures_.tries;
        tryBegan_ = Gateway::now();
        // A connection that was kept may end just as a request goes out on it, and then nobody knows whether
        // it ran.
        const bool fresh = freshOnly || gateway_.settings_.classes[klass_].fragile || !upgrade_.empty();
        auto lease = gateway_.pool_.lease(box, endpoint, fresh);
        box_ = std::move(lease.stream);
        reused_ = !lease.fresh;
        connected_ = false;
        answerHead_.reset();
        if (!box_) return tryEnded({Came::noConnection, 0, 0, false});
        Stream::Handlers handlers;
        handlers.connected = [this] { boxConnected(); };
        handlers.readable = [this] { boxReadable(); };
        handlers.drained = [this] { boxDrained(); };
        handlers.ended = [this](bool dialling) { boxEnded(dialling); };
        box_->setHandlers(std::move(handlers));
        const RequestClass& k = gateway_.settings_.classes[klass_];
        const bool mayFollow = gateway_.steering_.retryMode(klass_) >= 2;
        if (k.tryFor > 0 && mayFollow && !k.fragile) tryLimit_.after(millis(k.tryFor));
        if (reused_) boxConnected();
    }

    void boxConnected() {
        // The tables may have changed while it was dialled.
        if (!gateway_.steering_.maySendTo(boxName_)) return withdrawn();
        connected_ = true;
        base_ = box_->written();
        box_->write(toBox(head_, until_ - Gateway::now(), upgrade_));
        if (!kept_.empty()) box_->write(framedPiece(head_.body.framing, kept_));
        if (bodySent_ && head_.body.framing != Framing::none)
            box_->write(framedEnd(head_.body.framing, body_->trailers()));
        if (head_.expectsContinue && !bodySent_ && body_->content() == 0)
            stream_->write("HTTP/1.1 100 Continue\r\n\r\n");
        forwardBody();
    }

    // Not a byte of it was written: it goes elsewhere, and counts as no try.
    void withdrawn() {
        dropBox();
        --wish_.tries;
        tryOne(false);
    }

    void boxDrained() {
        if (state_ == State::changed) return pass(*stream_, *box_);
        forwardBody();
    }

    void boxReadable() {
        if (!box_ || !connected_) return;
        if (state_ == State::changed) return pass(*box_, *stream_);
        if (!answerHead_ && !readAnswer()) return;
        passBody();
    }

    // True: there is a head, and its body may follow.
    bool readAnswer() {
        for (;;) {
            const std::string_view bytes = box_->peek(gateway_.settings_.heads.bytes);
            if (bytes.empty()) return false;
            std::size_t length = 0;
            ResponseHead head;
            auto wrong = findHead(bytes, gateway_.settings_.heads, length);
            if (!wrong && length == 0) return false;
            if (!wrong)
                wrong = readResponse(bytes.substr(0, length), gateway_.settings_.heads, head_.method, head);
            if (wrong) {
                tryEnded({Came::badAnswer, sent(), 0, false});
                return false;
            }
            box_->take(length);
            if (head.status == 101 && !upgrade_.empty()) {
                change(head);
                return false;
            }
            if (head.status == 101) {
                tryEnded({Came::badAnswer, sent(), 0, false});
                return false;
            }
            if (head.status < 200) continue;  // the proxy has said its own
            return answered(std::move(head));
        }
    }

    // The box has taken the other protocol: from here on bytes are passed on unread, both ways, each side no
    // faster than the other reads.
    void change(const ResponseHead& head) {
        const Micros now = Gateway::now();
        tryLimit_.cancel();
        gateway_.tally_.tried(boxName_, false, now - tryBegan_, now);
        ++gateway_.figures_.upgraded;
        state_ = State::changed;
        stream_->write(switching(head, upgrade_));
        limit_.after(millis(gateway_.settings_.upgradedIdleFor));
        pass(*box_, *stream_);
        if (state_ == State::changed) pass(*stream_, *box_);
    }

    void pass(Stream& from, Stream& to) {
        bool moved = false;
        while (from.available() > 0 && !to.full()) {
            const std::string_view bytes = from.peek(16384);
            to.write(bytes);
            from.take(bytes.size());
            moved = true;
        }
        if (moved) limit_.after(millis(gateway_.settings_.upgradedIdleFor));
        if (&from == box_.get() && !from.open() && from.available() == 0) leave();
    }

    bool answered(ResponseHead head) {
        const TryEnd end{Came::answer, sent(), head.status, valueOf(head.fields, kNotRun) != nullptr};
        if (const auto next = another(end)) {
            dropBox();
            dial(next->box, next->endpoint, false);
            return false;
        }
        releaseBody();  // it is final, whatever of it still arrives
        keptWhole_ = false;
        answerHead_ = std::move(head);
        answerBody_.emplace(answerHead_->body);
        answering_ = true;
        if (answerHead_->status >= 500) gateway_.tally_.requestFailed(klass_, Gateway::now());
        // A request that is not whole yet can't be followed by another on this connection.
        keepAlive_ = head_.keepAlive && bodySent_ && !noMore_ && !gateway_.draining_;
        frame_ = toClientFrame(*answerHead_, head_.minor);
        if (frame_.framing == Framing::untilClose) keepAlive_ = false;
        stream_->write(toClient(*answerHead_, frame_, keepAlive_));
        limit_.after(millis(gateway_.settings_.stallFor));
        return true;
    }

    void passBody() {
        bool moved = false;
        while (box_ && !answerBody_->done() && !stream_->full()) {
            const std::string_view bytes = box_->peek(16384);
            if (bytes.empty()) break;
            const std::size_t taken = answerBody_->feed(bytes, [this](std::string_view piece) {
                stream_->write(framedPiece(frame_.framing, piece));
            });
            box_->take(taken);
            moved = moved || taken > 0;
            if (answerBody_->bad() != nullptr) return cutShort();
        }
        if (moved) limit_.after(millis(gateway_.settings_.stallFor));
        if (!answerBody_->done() && box_ && !box_->open() && box_->available() == 0) {
            if (box_->endedWhole()) answerBody_->ended();
            if (!answerBody_->done()) return cutShort();
        }
        if (answerBody_->done()) answerOver();
    }

    void answerOver() {
        stream_->write(framedEnd(frame_.framing, answerBody_->trailers()));
        ++gateway_.figures_.passedOn;
        const bool again = answerHead_->keepAlive && bodySent_ && box_->available() == 0;
        if (again) {
            gateway_.pool_.giveBack(boxName_, std::move(box_), Gateway::now());
        } else {
            dropBox();
        }
        next(keepAlive_);
    }

    // The client has had a part of an answer: all that is left is to break off, so that it is not taken for
    // whole.
    void cutShort() {
        ++gateway_.figures_.cutShort;
        gateway_.tally_.requestFailed(klass_, Gateway::now());
        dropBox();
        leave();
    }

    void boxEnded(bool dialling) {
        if (dialling) return tryEnded({Came::noConnection, 0, 0, false});
        const Stream* const mine = box_.get();
        boxReadable();  // what came before the end still counts, and an answer that has begun sees to its end
        if (box_.get() != mine || answering_ || state_ == State::changed) return;
        // A connection that was kept may have ended before it got a byte of this request.
        tryEnded({Came::broke, sent(), 0, false});
    }

    [[nodiscard]] std::uint64_t sent() const { return box_ && connected_ ? box_->written() - base_ : 0; }

    void tryLate() {
        if (box_ && !answering_) tryEnded({Came::timedOut, sent(), 0, false});
    }

    void tryEnded(const TryEnd& end) {
        const auto next = another(end);
        dropBox();
        if (next) return dial(next->box, next->endpoint, end.came == Came::broke);
        finish(finalOf(end));
    }

    void finish(const Verdict& verdict) {
        gateway_.tally_.requestFailed(klass_, Gateway::now());
        tell(verdict.status, verdict.why, verdict.retryAfterS, head_.keepAlive);
    }

    void dropBox() {
        tryLimit_.cancel();
        if (!box_) return;
        box_->close();
        gateway_.loop_.bury(std::move(box_));
        gateway_.pool_.lost(boxName_);
    }

    // ---- The end of a request ----

    // An answer of our own: the final one, at once.
    void tell(int status, std::string_view why, unsigned retryAfterS, bool keepAlive) {
        ++gateway_.figures_.told;
        releaseBody();
        keptWhole_ = false;
        dropBox();
        const bool whole = state_ == State::forward && body_ && body_->done();
        const bool stays = keepAlive && whole && !noMore_ && !gateway_.draining_;
        stream_->write(
            ownAnswer(status, why, retryAfterS, stays, head_.method == "HEAD" && state_ == State::forward));
        next(stays);
    }

    void next(bool stays) {
        answering_ = false;
        if (!stays) return leave();
        waitForHead(gateway_.settings_.idleFor);
        if (stream_->available() > 0) {
            // The next one has come already: not within this call, so that many don't nest.
            gateway_.loop_.post([this, alive = std::weak_ptr<int>(alive_)] {
                if (!alive.expired() && state_ == State::head) readHead();
            });
        }
    }

    void late() {
        if (state_ == State::head) {
            if (stream_->available() == 0) return leave();
            return tell(408, "the request did not come in time", 0, false);
        }
        if (state_ == State::changed) return leave();
        if (answering_) return cutShort();
        if (box_) return tryEnded({Came::timedOut, sent(), 0, false});
        finish({Next::tell, 504, "there was no answer in time", 0});
    }

    void leave() {
        if (state_ == State::over) return;
        state_ = State::over;
        releaseBody();
        limit_.cancel();
        dropBox();
        stream_->closeAfterWriting(kLinger);
        gateway_.gone(this);
    }

    friend class Gateway;
    Gateway& gateway_;
    const std::uint64_t from_;
    attempts::BodyId bodyId_ = 0;  // 0: nothing of one is counted
    std::unique_ptr<Stream> stream_;
    transport::Timer limit_, tryLimit_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
    State state_ = State::head;

    RequestHead head_;
    std::size_t klass_ = 0;
    std::optional<BodyReader> body_;
    std::string kept_;
    bool keptWhole_ = true, bodySent_ = true;
    Wish wish_;
    Micros until_ = 0, tryBegan_ = 0;
    std::vector<std::string> tried_;
    std::string upgrade_;
    bool noMore_ = false;  // the client has said its last word

    std::unique_ptr<Stream> box_;
    std::string boxName_, endpoint_;
    bool reused_ = false, connected_ = false, answering_ = false, keepAlive_ = true;
    std::uint64_t base_ = 0;
    std::optional<ResponseHead> answerHead_;
    std::optional<BodyReader> answerBody_;
    BodyFrame frame_;
};

Gateway::Gateway(transport::Loop& loop, const transport::Address& at, GatewaySettings settings,
                 std::uint64_t seed)
    : loop_(loop),
      settings_(std::move(settings)),
      steering_(namesOf(settings_.classes), seed),
      pool_(loop, settings_.pool, settings_.boxTls),
      tally_(settings_.classes.size(), now()),
      budgets_(settings_.retries, settings_.classes.size()),
      quota_({settings_.bodiesKept, settings_.bodyKept}),
      sweeping_(loop, [this] { sweep(); }),
      drainLimit_(loop, [this] {
          while (!clients_.empty()) clients_.begin()->first->goAway();
          if (drained_) std::exchange(drained_, nullptr)();
      }) {
    if (settings_.classes.empty()) throw std::invalid_argument("a gateway needs a class");
    listener_ = std::make_unique<transport::Listener>(loop, at, [this](evutil_socket_t fd) { accepted(fd); });
    sweeping_.after(kSweepEvery);
}

Gateway::~Gateway() { clients_.clear(); }

void Gateway::accepted(evutil_socket_t fd) {
    if (draining_ || clients_.size() >= settings_.clientsMost) {
        ++figures_.turnedAway;
        ::close(fd);
        return;
    }
    std::unique_ptr<Client> client;
    try {
        client = std::make_unique<Client>(*this, fd);
    } catch (const std::runtime_error&) {  // no memory for a connection, or for its keys
        ++figures_.turnedAway;
        ::close(fd);
        return;
    }
    ++figures_.accepted;
    Client* const key = client.get();
    clients_[key] = std::move(client);
}

void Gateway::gone(Client* client) {
    const auto at = clients_.find(client);
    if (at == clients_.end()) return;
    if (client->stream_->lingers()) leaving_.push_back(std::move(client->stream_));
    loop_.bury(std::move(at->second));  // this may be the client's own call
    clients_.erase(at);
    if (draining_ && clients_.empty() && drained_) std::exchange(drained_, nullptr)();
}

// Another body needed its room.
void Gateway::gaveWay(attempts::BodyId id) {
    ++figures_.bodiesGaveWay;
    const auto at = bodies_.find(id);
    if (at != bodies_.end()) at->second->bodyGone();
}

void Gateway::steered() {
    pool_.sweep(now(), [this](const std::string& box) { return steering_.maySendTo(box); });
}

void Gateway::sweep() {
    steered();
    std::erase_if(leaving_, [](const auto& stream) { return !stream->lingers(); });
    sweeping_.after(kSweepEvery);
}

Count Gateway::takeCount() { return tally_.take(now()); }

void Gateway::drain(std::function<void()> done) {
    draining_ = true;
    drained_ = std::move(done);
    listener_.reset();
    std::vector<Client*> idle;
    for (const auto& [client, held] : clients_) {
        if (client->idle()) idle.push_back(client);
    }
    for (Client* c : idle) c->goAway();
    if (clients_.empty() && drained_) return std::exchange(drained_, nullptr)();
    drainLimit_.after(millis(settings_.drainFor));
}

}  // namespace marldale::proxy
