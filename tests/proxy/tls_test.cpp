// TLS on either side of the gateway: who is let in, who is spoken to, and what an end without a last word
// means.
#include <gtest/gtest.h>
#include <openssl/err.h>

#include "proxy/gateway.h"
#include "scripted.h"
#include "standin/loop_thread.h"
#include "support/certificates.h"

namespace marldale::proxy {
namespace {

using marldale::tests::Authority;
using marldale::tests::PemPair;
using marldale::tests::writeFile;
using tests::ok;
using tests::ScriptedBox;

// One end of a connection over TLS, blocking.
class Secure {
public:
    Secure(const tls::Context& context, int fd, bool accepts, const std::string& peer = "")
        : ssl_(context.connection(peer)), fd_(fd) {
        SSL_set_fd(ssl_.get(), fd);
        up_ = (accepts ? SSL_accept(ssl_.get()) : SSL_connect(ssl_.get())) == 1;
    }
    ~Secure() {
        ERR_clear_error();
        ::close(fd_);
    }
    Secure(const Secure&) = delete;
    Secure& operator=(const Secure&) = delete;
    [[nodiscard]] bool up() const { return up_; }
    void say(const std::string& bytes) {
        if (up_) SSL_write(ssl_.get(), bytes.data(), static_cast<int>(bytes.size()));
    }
    std::string until(const std::string& end) {
        std::string out;
        char byte = 0;
        while (up_ && out.find(end) == std::string::npos && SSL_read(ssl_.get(), &byte, 1) == 1) out += byte;
        return out;
    }
    std::string rest() { return until("never said"); }
    void sayGoodbye() { SSL_shutdown(ssl_.get()); }
    [[nodiscard]] std::string peerName() const {
        char name[128] = "";
        if (X509* const shown = SSL_get1_peer_certificate(ssl_.get())) {
            X509_NAME_get_text_by_NID(X509_get_subject_name(shown), NID_commonName, name, sizeof name);
            X509_free(shown);
        }
        return name;
    }

private:
    tls::SslHandle ssl_;
    int fd_;
    bool up_ = false;
};

int dialled(std::uint16_t port) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(port);
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0)
        throw std::runtime_error("no connection");
    const timeval patience{tests::kPatienceMs / 1000, 0};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
    return fd;
}

class TlsTest : public testing::Test {
protected:
    void SetUp() override {
        std::string pattern = testing::TempDir() + "marldaleproxyXXXXXX";
        ASSERT_NE(mkdtemp(pattern.data()), nullptr);
        directory_ = pattern;
        ca_ = files("ca", {authority_.certificate(), ""}).certificate;
    }
    ~TlsTest() override {
        loop_.run([&] { gateway_.reset(); });
    }
    [[nodiscard]] tls::Files files(const std::string& name, const PemPair& pair,
                                   const std::string& ca = "") const {
        tls::Files out;
        out.certificate = writeFile(directory_ + "/" + name + ".pem", pair.certificate);
        if (!pair.key.empty()) out.key = writeFile(directory_ + "/" + name + ".key", pair.key);
        out.authority = ca;
        return out;
    }
    // The gateway shows `proxy` to clients, and asks them for proof if `proof`; one box is behind it.
    void start(bool proof, bool boxTls, const std::string& box) {
        served_ = std::make_shared<tls::Context>(
            tls::Side::server, files("proxy", authority_.issue("proxy", "IP:127.0.0.1"), proof ? ca_ : ""));
        loop_.run([&] {
            GatewaySettings settings;
            settings.classes = {RequestClass{}};
            settings.pool.idleFor = 200000;
            settings.clientTls = served_;
            if (boxTls) {
                tls::Files trust;
                trust.authority = ca_;
                settings.boxTls.context = std::make_shared<tls::Context>(tls::Side::client, trust);
                settings.boxTls.name = "box.test";
            }
            gateway_ =
                std::make_unique<Gateway>(loop_.loop(), transport::Address{"127.0.0.1", 0}, settings, 0);
            gateway_->steering().listed({{"b", {box, ServerState::ready}}}, true);
            Orders orders;
            orders.byClass[""] = {{{"b", 1.0F}}, 1e6F, 1};
            gateway_->steering().obey(orders, 0);
        });
    }
    [[nodiscard]] std::uint16_t port() {
        return loop_.run([&] { return gateway_->port(); });
    }
    std::string ask(const tls::Context& client) {
        Secure wire(client, dialled(port()), false, "127.0.0.1");
        wire.say("GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        return wire.rest();
    }
    [[nodiscard]] tls::Context trusting() const {
        tls::Files out;
        out.authority = ca_;
        return {tls::Side::client, out};
    }

    const Authority authority_{"the fleet"}, stranger_{"somebody else"};
    std::string directory_, ca_;
    standin::LoopThread loop_;
    std::shared_ptr<tls::Context> served_;
    std::unique_ptr<Gateway> gateway_;
};

// A box over TLS that says `answer` to each request, with or without its last word.
ScriptedBox::Script secureBox(std::shared_ptr<tls::Context> context, std::string answer, bool goodbye,
                              std::atomic<int>* asked) {
    return
        [context = std::move(context), answer = std::move(answer), goodbye, asked](tests::Wire& wire, int) {
            Secure secure(*context, dup(wire.fd()), true);
            if (secure.until("\r\n\r\n").empty()) return;
            ++*asked;
            secure.say(answer);
            if (goodbye) secure.sayGoodbye();
        };
}

TEST_F(TlsTest, BothSidesAreSpokenToOverTls) {
    std::atomic<int> asked = 0;
    ScriptedBox box(secureBox(std::make_shared<tls::Context>(
                                  tls::Side::server, files("box", authority_.issue("b", "DNS:box.test"))),
                              ok("in secret"), true, &asked));
    start(false, true, box.address());
    EXPECT_TRUE(ask(trusting()).ends_with("in secret"));
    EXPECT_EQ(asked, 1);
}

TEST_F(TlsTest, ABoxThatCantProveWhoItIsGetsNotAByte) {
    std::atomic<int> asked = 0;
    const PemPair wrong[] = {stranger_.issue("b", "DNS:box.test"), authority_.issue("b", "DNS:other.test"),
                             authority_.issue("b", "DNS:box.test", -7200, -3600)};
    for (const PemPair& pair : wrong) {
        ScriptedBox box(secureBox(std::make_shared<tls::Context>(tls::Side::server, files("box", pair)),
                                  ok("x"), true, &asked));
        loop_.run([&] { gateway_.reset(); });
        start(false, true, box.address());
        const std::string answer = ask(trusting());
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << answer;
    }
    EXPECT_EQ(asked, 0);
}

TEST_F(TlsTest, ClientsThatMustProveWhoTheyAreAndCantAreNotServed) {
    std::atomic<int> asked = 0;
    ScriptedBox box([&](tests::Wire& wire, int) {
        if (wire.head().empty()) return;
        ++asked;
        wire.say(ok("in"));
    });
    start(true, false, box.address());
    EXPECT_EQ(ask(trusting()), "") << "no certificate";
    const tls::Context foreign(tls::Side::client, files("foreign", stranger_.issue("c", ""), ca_));
    EXPECT_EQ(ask(foreign), "");
    const tls::Context known(tls::Side::client, files("known", authority_.issue("c", ""), ca_));
    EXPECT_TRUE(ask(known).ends_with("in"));
    tests::Wire plain = tests::Wire::to(port());
    plain.say("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_EQ(plain.rest().find("HTTP/1.1 200"), std::string::npos);
    EXPECT_EQ(asked, 1);
}

TEST_F(TlsTest, AnAnswerUpToTheEndIsWholeOnlyWithTheLastWord) {
    const auto context = std::make_shared<tls::Context>(tls::Side::server,
                                                        files("box", authority_.issue("b", "DNS:box.test")));
    for (const bool goodbye : {true, false}) {
        std::atomic<int> asked = 0;
        ScriptedBox box(secureBox(context, "HTTP/1.1 200 OK\r\n\r\nhalf of it", goodbye, &asked));
        loop_.run([&] { gateway_.reset(); });
        start(false, true, box.address());
        const std::string answer = ask(trusting());
        EXPECT_NE(answer.find("half of it"), std::string::npos);
        EXPECT_EQ(answer.ends_with("0\r\n\r\n"), goodbye)
            << "whoever cuts the connection must not cut the answer";
    }
}

TEST_F(TlsTest, KeysThatAreReplacedHoldFromTheNextConnectionAndBrokenOnesDoNot) {
    ScriptedBox box([](tests::Wire& wire, int) {
        while (!wire.head().empty()) wire.say(ok("in"));
    });
    start(false, false, box.address());
    Secure standing(trusting(), dialled(port()), false, "127.0.0.1");
    ASSERT_TRUE(standing.up());
    (void)files("proxy", authority_.issue("proxy, the second", "IP:127.0.0.1"));
    loop_.run([&] { served_->reload(); });
    {
        Secure next(trusting(), dialled(port()), false, "127.0.0.1");
        EXPECT_EQ(next.peerName(), "proxy, the second");
    }
    writeFile(directory_ + "/proxy.key", "no key");
    loop_.run([&] { EXPECT_THROW(served_->reload(), std::runtime_error); });
    Secure third(trusting(), dialled(port()), false, "127.0.0.1");
    EXPECT_EQ(third.peerName(), "proxy, the second");
    standing.say("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_NE(standing.until("in").find("200"), std::string::npos) << "one that stands is not ended by it";
}

TEST_F(TlsTest, FilesThatCantBeUsedAreNamed) {
    const tls::Files pair = files("x", authority_.issue("x", ""));
    const auto why = [](tls::Side side, const tls::Files& f) {
        try {
            const tls::Context context(side, f);
        } catch (const std::runtime_error& e) {
            return std::string(e.what());
        }
        return std::string();
    };
    EXPECT_EQ(why(tls::Side::server, pair), "");
    EXPECT_NE(why(tls::Side::server, {directory_ + "/none.pem", pair.key, ""}).find("none.pem"),
              std::string::npos);
    EXPECT_NE(why(tls::Side::server, {pair.certificate, ca_, ""}).find("ca.pem"), std::string::npos);
    const tls::Files other = files("y", authority_.issue("y", ""));
    EXPECT_NE(why(tls::Side::server, {pair.certificate, other.key, ""}), "") << "another certificate's key";
    EXPECT_NE(why(tls::Side::client, {"", "", pair.key}).find("x.key"), std::string::npos);
    EXPECT_NE(why(tls::Side::server, {}), "");
}

}  // namespace
}  // namespace marldale::proxy
