// Instances that talk over the gRPC front: askings, words, and peers that are slow, greedy, foreign or liars.
#include "forwarder.h"
#include "parties.h"
#include "support/certificates.h"

namespace marldale::tests {
namespace {

using ::grpc::StatusCode;
using membership::PeerMessage;
using membership::PeerState;

// What an instance knows, as a test says, and what it hears.
class Ear : public routing::PeerEar {
public:
    explicit Ear(std::string name, std::string copy = "all that I know")
        : name_(std::move(name)), copy_(std::make_shared<const std::string>(std::move(copy))) {}
    std::string name() const override { return name_; }
    std::shared_ptr<const std::string> handOver() override {
        watch.change([&] { ++handed; });
        return copy_;
    }
    void answered(const std::string& peer, std::optional<std::string> bytes, Micros transit,
                  const std::string& wrong) override {
        watch.change([&] { answers.push_back({peer, std::move(bytes), transit, wrong}); });
    }
    void heard(const PeerMessage& message) override {
        watch.change([&] { words.push_back(message); });
    }
    struct Answer {
        std::string peer;
        std::optional<std::string> bytes;
        Micros transit = 0;
        std::string wrong;
    };
    [[nodiscard]] std::optional<Answer> answer(std::size_t n) {
        if (!watch.until([&] { return answers.size() > n; })) return std::nullopt;
        return watch.look([&] { return answers[n]; });
    }
    Watch watch;
    std::vector<Answer> answers;
    std::vector<PeerMessage> words;
    int handed = 0;

private:
    const std::string name_;
    const std::shared_ptr<const std::string> copy_;
};

// An instance with its front.
struct Instance {
    explicit Instance(const std::string& name, std::string copy = "all that I know",
                      const routing::FrontSettings& settings = plainFront())
        : ear(name, std::move(copy)), planner(smallConfig(), settings, &ear) {}
    [[nodiscard]] membership::PeerEndpoint place() const { return {ear.name(), planner.address()}; }
    routing::PeerLink& link() { return *planner.server->peers(); }
    Ear ear;
    GrpcPlanner planner;
};

class PeerStreamOf : public Peer<v1::PeerRequest, v1::PeerResponse> {
public:
    explicit PeerStreamOf(const std::shared_ptr<::grpc::Channel>& channel)
        : Peer([stub = std::shared_ptr(v1::Peers::NewStub(channel))](::grpc::ClientContext* c) {
              return stub->Talk(c);
          }) {}
    bool hello(const std::string& node) {
        v1::PeerRequest out;
        out.mutable_hello()->mutable_node()->set_id(node);
        return say(out);
    }
    bool ask(std::uint64_t number, std::uint64_t bytesMost = 0) {
        v1::PeerRequest out;
        out.mutable_ask()->set_number(number);
        out.mutable_ask()->set_bytes_most(bytesMost);
        return say(out);
    }
    [[nodiscard]] std::string refusal(std::uint64_t number) {
        std::string out;
        EXPECT_TRUE(await([&](const v1::PeerResponse& r) {
            if (r.has_refused() && r.refused().number() == number) out = r.refused().why();
            return !out.empty();
        }));
        return out;
    }
};

TEST(GrpcPeers, ACopyOfManyPartsArrivesWhole) {
    std::string copy;
    for (unsigned i = 0; copy.size() < 3'000'000; ++i) copy += std::to_string(i * 7919);
    Instance donor("n1", copy), asker("n2");
    asker.link().ask(donor.place());
    const auto answer = asker.ear.answer(0);
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->peer, "n1");
    EXPECT_EQ(answer->wrong, "");
    EXPECT_TRUE(answer->bytes == copy);
    EXPECT_GT(answer->transit, 0);
}

TEST(GrpcPeers, NobodyAtTheAddressIsAnAnswerToo) {
    Instance asker("n2");
    asker.link().ask({"n1", "127.0.0.1:1"});
    const auto answer = asker.ear.answer(0);
    ASSERT_TRUE(answer);
    EXPECT_FALSE(answer->bytes);
    EXPECT_NE(answer->wrong, "");
    asker.link().ask({"n3", ""});
    EXPECT_EQ(asker.ear.answer(1)->wrong, "there is no way to it");
}

TEST(GrpcPeers, AnInstanceThatSharesNothingSaysSo) {
    GrpcPlanner planner(smallConfig());
    Instance asker("n2");
    asker.link().ask({"n1", planner.address()});
    const auto answer = asker.ear.answer(0);
    ASSERT_TRUE(answer);
    EXPECT_FALSE(answer->bytes);
    EXPECT_EQ(planner.server->peers(), nullptr);
}

TEST(GrpcPeers, ADonorThatDiesHalfwayIsToldAndMayBeAskedAgain) {
    Instance donor("n1", std::string(8'000'000, 'x')), asker("n2");
    Forwarder forwarder(donor.planner.server->port());
    forwarder.cutAfter(1'000'000);
    asker.link().ask({"n1", forwarder.address()});
    const auto first = asker.ear.answer(0);
    ASSERT_TRUE(first);
    EXPECT_FALSE(first->bytes);
    EXPECT_EQ(donor.ear.handed, 1);
    EXPECT_NE(first->wrong.find("the stream has ended"), std::string::npos) << first->wrong;
    asker.link().ask(donor.place());
    EXPECT_TRUE(asker.ear.answer(1)->bytes);
}

TEST(GrpcPeers, WordsArriveAsTheyWereAndOnlyFromTheirSpeaker) {
    Instance one("n1"), two("n2");
    const PeerMessage ping{
        PeerMessage::Kind::ping, "n2", "n1", 7, "", {{"n3", 5, PeerState::suspect, "a:1"}}};
    two.link().say(one.place(), ping);
    ASSERT_TRUE(one.ear.watch.until([&] { return !one.ear.words.empty(); }));
    EXPECT_EQ(one.ear.words[0].kind, PeerMessage::Kind::ping);
    EXPECT_EQ(one.ear.words[0].number, 7U);
    EXPECT_EQ(one.ear.words[0].gossip, ping.gossip);
    PeerMessage forged = ping;
    forged.from = "n9";
    two.link().say(one.place(), forged);
    PeerMessage last = ping;
    last.number = 8;
    two.link().say(one.place(), last);
    ASSERT_TRUE(one.ear.watch.until([&] { return one.ear.words.size() >= 2; }));
    EXPECT_EQ(one.ear.words[1].number, 8U) << "what n2 says in the name of n9 is left out";
}

TEST(GrpcPeers, WhoAsksTooOftenForTooMuchOrWithManyIsRefusedWithAReason) {
    Instance donor("n1", std::string(200'000, 'x'));
    PeerStreamOf peer(donor.planner.channel());
    ASSERT_TRUE(peer.hello("n2"));
    ASSERT_TRUE(peer.ask(1, 1000));
    EXPECT_EQ(peer.refusal(1), "the copy has 200000 bytes");
    ASSERT_TRUE(peer.ask(2));
    EXPECT_EQ(peer.refusal(2), "asked too often");
}

TEST(GrpcPeers, AskersThatDoNotReadHoldUpNobodyButThemselves) {
    // More than the buffers of the system take of it.
    Instance donor("n1", std::string(15'000'000, 'x'));
    struct Mute {
        explicit Mute(std::uint16_t port) : way(port), asker("n2") { way.silentAfter(100'000); }
        Forwarder way;
        Instance asker;
    };
    std::vector<std::unique_ptr<Mute>> mutes;
    for (int i = 0; i < 4; ++i) {  // as many as may be handed a copy at once
        auto& mute = mutes.emplace_back(std::make_unique<Mute>(donor.planner.server->port()));
        mute->asker.link().ask({"n1", mute->way.address()});
    }
    ASSERT_TRUE(donor.ear.watch.until([&] { return donor.ear.handed == 4; }));
    PeerStreamOf fifth(donor.planner.channel());
    ASSERT_TRUE(fifth.hello("n2"));
    ASSERT_TRUE(fifth.ask(1));
    EXPECT_EQ(fifth.refusal(1), "too many ask at once");
    // Relays are served meanwhile, and in the end the mute ones are given up.
    AssignPeer relay(donor.planner.channel());
    ASSERT_TRUE(relay.hello("relay-1"));
    ASSERT_TRUE(relay.join(1, "a"));
    EXPECT_TRUE(relay.batch(0));
    EXPECT_TRUE(donor.planner.logged("n2 does not read its copy: given up"));
    EXPECT_TRUE(donor.planner.watch.until([&] {
        return std::count(donor.planner.lines.begin(), donor.planner.lines.end(),
                          "peers: n2 does not read its copy: given up") == 4;
    }));
    Instance asker("n3");
    asker.link().ask(donor.place());
    const auto answer = asker.ear.answer(0);
    ASSERT_TRUE(answer);
    EXPECT_TRUE(answer->bytes) << answer->wrong;
}

TEST(GrpcPeers, WordsInTheWrongOrderEndTheStreamWithAReason) {
    Instance donor("n1");
    PeerStreamOf early(donor.planner.channel());
    ASSERT_TRUE(early.ask(1));
    ASSERT_TRUE(early.awaitEnd());
    EXPECT_EQ(early.status.error_code(), StatusCode::FAILED_PRECONDITION);
    PeerStreamOf unnamed(donor.planner.channel());
    ASSERT_TRUE(unnamed.hello(""));
    ASSERT_TRUE(unnamed.awaitEnd());
    EXPECT_EQ(unnamed.status.error_code(), StatusCode::INVALID_ARGUMENT);
}

TEST(GrpcPeers, OnlyAnIdentityOfAnInstanceMayTalkAndEachSideProvesItsOwn) {
    std::string directory = testing::TempDir() + "marldalepeersXXXXXX";
    ASSERT_NE(mkdtemp(directory.data()), nullptr);
    const Authority ca("our authority");
    const auto settingsOf = [&](const std::string& name) {
        auto out = plainFront();
        const PemPair pair = ca.issue(name, "DNS:" + name + ",IP:127.0.0.1");
        out.certificate = writeFile(directory + "/" + name + ".pem", pair.certificate);
        out.key = writeFile(directory + "/" + name + ".key", pair.key);
        out.clientsCa = writeFile(directory + "/ca.pem", ca.certificate());
        membership::Permissions peer;
        peer.peer = true;
        out.passports.add("n1", peer);
        out.passports.add("n2", peer);
        out.passports.add("collector", {false, {"*"}, {}, {}});
        return out;
    };
    Instance donor("n1", "what I know", settingsOf("n1"));
    Instance asker("n2", "", settingsOf("n2"));
    asker.link().ask(donor.place());
    const auto answer = asker.ear.answer(0);
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->bytes, "what I know") << answer->wrong;

    Instance collector("n2", "", settingsOf("collector"));
    collector.link().ask(donor.place());
    const auto refused = collector.ear.answer(0);
    ASSERT_TRUE(refused);
    EXPECT_NE(refused->wrong.find("no instance of the planner"), std::string::npos) << refused->wrong;

    // A donor that another authority has signed is not believed.
    const Authority other("another authority");
    auto foreign = settingsOf("n2");
    foreign.peersCa = writeFile(directory + "/other.pem", other.certificate());
    Instance wary("n2", "", foreign);
    wary.link().ask(donor.place());
    EXPECT_FALSE(wary.ear.answer(0)->bytes);
}

}  // namespace
}  // namespace marldale::tests
