// Certificates: who is let in, what for it may speak, and keys that are replaced while streams stand.
#include "parties.h"
#include "support/certificates.h"

namespace marldale::tests {
namespace {

using ::grpc::StatusCode;

class GrpcTls : public testing::Test {
protected:
    void SetUp() override {
        std::string pattern = testing::TempDir() + "marldaletlsXXXXXX";
        ASSERT_NE(mkdtemp(pattern.data()), nullptr);
        directory = pattern;
        settings.listen = "127.0.0.1:0";
        settings.certificate = directory + "/server.pem";
        settings.key = directory + "/server.key";
        settings.clientsCa = writeFile(directory + "/ca.pem", ca.certificate());
        write(ca.issue("planner", "DNS:planner.test,IP:127.0.0.1"));
        settings.passports.add("collector-a", {false, {"a"}, {}, {}});
        settings.passports.add("spiffe://fleet/relays", {false, {"a"}, {}, {{0, 1}}});
        planner = std::make_unique<GrpcPlanner>(smallConfig(), settings);
    }
    void write(const PemPair& server) const {
        writeFile(settings.certificate, server.certificate);
        writeFile(settings.key, server.key);
    }
    [[nodiscard]] std::shared_ptr<::grpc::Channel> channel(const PemPair& client) const {
        return channel(client, ca.certificate());
    }
    [[nodiscard]] std::shared_ptr<::grpc::Channel> channel(const PemPair& client,
                                                           const std::string& roots) const {
        ::grpc::SslCredentialsOptions options{roots, client.key, client.certificate};
        ::grpc::ChannelArguments arguments;
        arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
        arguments.SetSslTargetNameOverride("planner.test");
        return ::grpc::CreateCustomChannel(planner->address(), ::grpc::SslCredentials(options), arguments);
    }
    ::grpc::Status endOf(const PemPair& client) {
        ReportPeer peer(channel(client));
        (void)peer.hello("c");
        EXPECT_TRUE(peer.awaitEnd());
        return peer.status;
    }
    Authority ca{"our authority"};
    routing::FrontSettings settings;
    std::string directory;
    std::unique_ptr<GrpcPlanner> planner;
};

TEST_F(GrpcTls, ACertificateOfOursSpeaksForWhatTheSettingsSay) {
    ReportPeer collector(channel(ca.issue("collector-a", "")));
    ASSERT_TRUE(collector.hello("c"));
    ASSERT_TRUE(collector.report(1, {outcomes("a", "s-1", 1), outcomes("b", "s-1", 1)}));
    ASSERT_TRUE(collector.await([](const auto& c) {
        return c.taken() == 1 && c.left_out() == 1 && c.left_out_why() == "it may not report for zone b";
    }));
    AssignPeer relays(channel(ca.issue("any name", "URI:spiffe://fleet/relays")));
    ASSERT_TRUE(relays.hello("r"));
    ASSERT_TRUE(relays.join(2, "a"));
    EXPECT_TRUE(relays.await([](const auto& r) { return r.has_release() && r.release().relay() == 2; }));
    ASSERT_TRUE(relays.join(1, "b"));
    EXPECT_TRUE(relays.await([](const auto& r) { return r.has_release() && r.release().relay() == 1; }));
    ASSERT_TRUE(relays.join(0, "a"));
    EXPECT_TRUE(relays.batch(0));
}

TEST_F(GrpcTls, WrongCertificatesGetAStatusThatSaysWhyAndALine) {
    const auto expect = [&](const PemPair& client, StatusCode code, const std::string& text) {
        const ::grpc::Status end = endOf(client);
        EXPECT_EQ(end.error_code(), code) << end.error_message();
        EXPECT_NE(end.error_message().find(text), std::string::npos) << end.error_message();
        EXPECT_TRUE(planner->logged(text)) << text;
    };
    expect(ca.issue("collector-a", "", -7200, -3600), StatusCode::UNAUTHENTICATED, "has expired");
    expect(ca.issue("collector-a", "", 3600, 7200), StatusCode::UNAUTHENTICATED, "not yet valid");
    const Authority other("another authority");
    expect(other.issue("collector-a", ""), StatusCode::UNAUTHENTICATED, "client certificate refused");
    const Authority twin("our authority");  // the same name, another key
    expect(twin.issue("collector-a", ""), StatusCode::UNAUTHENTICATED, "client certificate refused");
    expect(ca.issue("somebody", ""), StatusCode::PERMISSION_DENIED,
           "identity somebody is not in the settings");
    expect({}, StatusCode::UNAUTHENTICATED, "no client certificate");
}

TEST_F(GrpcTls, PlainTextDoesNotGetThrough) {
    ReportPeer plain(planner->channel());
    (void)plain.hello("c");
    ASSERT_TRUE(plain.awaitEnd());
    EXPECT_EQ(plain.status.error_code(), StatusCode::UNAVAILABLE);
}

TEST_F(GrpcTls, RotatedKeysHoldForNewStreamsAndOldOnesStay) {
    const PemPair client = ca.issue("collector-a", "");
    ReportPeer old(channel(client));
    ASSERT_TRUE(old.hello("old"));
    ASSERT_TRUE(old.await([](const auto&) { return true; }));
    // Both sides change their authority.
    const Authority next("the next authority");
    write(next.issue("planner", "DNS:planner.test"));
    writeFile(settings.clientsCa, next.certificate());
    planner->server->renew(settings);
    ReportPeer fresh(channel(next.issue("collector-a", ""), next.certificate()));
    ASSERT_TRUE(fresh.hello("fresh"));
    EXPECT_TRUE(fresh.await([](const auto&) { return true; }));
    ReportPeer behind(channel(client));
    (void)behind.hello("behind");
    ASSERT_TRUE(behind.awaitEnd());
    EXPECT_FALSE(behind.status.ok()) << "the old authority is not trusted any more, by either side";
    ASSERT_TRUE(old.report(1, {outcomes("a", "s-1", 1)}));
    EXPECT_TRUE(old.awaitTaken(1)) << "the old stream goes on";
}

TEST_F(GrpcTls, KeysThatDoNotFitAreRefusedAndTheOldOnesHold) {
    const PemPair good = ca.issue("planner", "DNS:planner.test");
    const auto refusal = [&] {
        try {
            planner->server->renew(settings);
        } catch (const std::runtime_error& e) {
            return std::string(e.what());
        }
        return std::string("taken");
    };
    writeFile(settings.key, ca.issue("x", "").key);
    EXPECT_NE(refusal().find("is not the key of"), std::string::npos) << refusal();
    writeFile(settings.key, "half a k");
    EXPECT_NE(refusal().find("holds no private key"), std::string::npos) << refusal();
    write(ca.issue("planner", "DNS:planner.test", -7200, -3600));
    EXPECT_NE(refusal().find("is expired"), std::string::npos) << refusal();
    write(good);
    writeFile(settings.clientsCa, "");
    EXPECT_NE(refusal().find("can't be read"), std::string::npos) << refusal();
    ReportPeer peer(channel(ca.issue("collector-a", "")));
    ASSERT_TRUE(peer.hello("c"));
    EXPECT_TRUE(peer.await([](const auto&) { return true; }));
}

TEST_F(GrpcTls, AnIdentityThatLeavesTheSettingsLosesItsStreams) {
    ReportPeer peer(channel(ca.issue("collector-a", "")));
    ASSERT_TRUE(peer.hello("c"));
    ASSERT_TRUE(peer.await([](const auto&) { return true; }));
    settings.passports = {};
    settings.passports.add("somebody", {true, {}, {}, {}});
    planner->server->renew(settings);
    ASSERT_TRUE(peer.awaitEnd());
    EXPECT_EQ(peer.status.error_code(), StatusCode::PERMISSION_DENIED);
}

}  // namespace
}  // namespace marldale::tests
