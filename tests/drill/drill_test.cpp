// The adapter: frames in, frames out, many instances apart from one another.
#include "drill/host.h"

#include <gtest/gtest.h>

#include <cstring>
#include <sstream>

namespace marldale::drill {
namespace {

template <class T>
void put(std::string& out, T value) {
    char raw[sizeof(T)];
    std::memcpy(raw, &value, sizeof(T));
    out.append(raw, sizeof(T));
}

constexpr const char* kSettings =
    "categories.count=1\ncategories.0.aimUs=600000\ncategories.0.idempotency=retryable\nextra.admission="
    "none\n"
    "extra.backlog=5500\nextra.pushRate=5500\nfailureDomains=a\nmembershipMode=pushed\nrules.coldShare=0.3\n"
    "rules.warmUpUs=18000000\n";

// Builds one batch, record by record.
class Batch {
public:
    Batch& create(std::uint32_t instance, const std::string& settings) {
        std::string r = head(1000, instance);
        put(r, std::uint64_t{7});
        put(r, static_cast<std::uint32_t>(tail_.size()));
        put(r, static_cast<std::uint32_t>(settings.size()));
        tail_ += settings;
        return add(r);
    }
    Batch& roster(std::uint8_t sheet, std::uint32_t server) {
        std::string r;
        put(r, std::uint16_t{1140});
        put(r, sheet);
        put(r, static_cast<std::uint32_t>(tail_.size()));
        put(r, std::uint32_t{1});
        put(tail_, std::uint8_t{0});
        put(tail_, std::uint16_t{0});
        put(tail_, std::uint64_t{0});
        put(tail_, server);
        put(tail_, std::uint8_t{0});
        put(tail_, 1.0F);
        put(tail_, std::uint8_t{1});
        return add(r);
    }
    Batch& registry(std::uint32_t instance, std::uint8_t sheet) {
        std::string r = head(1010, instance);
        put(r, std::uint64_t{1});
        put(r, sheet);
        put(r, std::uint8_t{0});
        return add(r);
    }
    Batch& join(std::uint32_t instance, std::uint16_t proxy) {
        std::string r = head(1060, instance);
        put(r, proxy);
        put(r, std::uint8_t{0});
        put(r, 5.0F);
        put(r, std::uint8_t{1});
        return add(r);
    }
    Batch& down(std::uint32_t instance) {
        std::string r = head(1050, instance);
        return add(r);
    }
    [[nodiscard]] std::string frame(std::uint32_t number = 1) const {
        std::string out;
        put(out, number);
        put(out, static_cast<std::uint32_t>(12 + records_.size() + tail_.size()));
        put(out, static_cast<std::uint32_t>(records_.size() / 48));
        put(out, std::uint64_t{5000000});
        return out + records_ + tail_;
    }

private:
    static std::string head(std::uint16_t code, std::uint32_t instance) {
        std::string r;
        put(r, code);
        put(r, instance);
        return r;
    }
    Batch& add(std::string& r) {
        r.resize(48, '\0');
        records_ += r;
        return *this;
    }
    std::string records_, tail_;
};

struct Outcome {
    int status;
    std::string out, err;
};
Outcome play(const std::string& input) {
    std::istringstream in(input);
    std::ostringstream out, err;
    const int status = run(in, out, err);
    return {status, out.str(), err.str()};
}
// The codes of a reply's actions, with their instances.
std::vector<std::pair<int, std::uint32_t>> actions(const std::string& reply) {
    std::vector<std::pair<int, std::uint32_t>> out;
    std::uint32_t n = 0;
    std::memcpy(&n, reply.data() + 4, 4);
    for (std::uint32_t i = 0; i < n; ++i) {
        std::uint16_t code = 0;
        std::uint32_t instance = 0;
        std::memcpy(&code, reply.data() + 12 + 24 * i, 2);
        std::memcpy(&instance, reply.data() + 14 + 24 * i, 4);
        out.emplace_back(code, instance);
    }
    return out;
}
int countOf(const std::string& reply, int code, std::uint32_t instance) {
    const auto all = actions(reply);
    return static_cast<int>(std::count(all.begin(), all.end(), std::make_pair(code, instance)));
}

TEST(Drill, AnEmptyBatchIsAnsweredEmpty) {
    const Outcome o = play(Batch().frame(9));
    EXPECT_EQ(o.status, 0);
    EXPECT_EQ(o.out, std::string("\x09\0\0\0\0\0\0\0\0\0\0\0", 12));
    EXPECT_EQ(o.err, "");
}

TEST(Drill, EndOfInputBetweenFramesIsClean) { EXPECT_EQ(play("").status, 0); }

TEST(Drill, ACutFrameEndsWithOneLineAndNoReply) {
    const std::string whole = Batch().create(1, kSettings).frame();
    for (const std::size_t keep : {std::size_t{1}, std::size_t{19}, std::size_t{40}, whole.size() - 1}) {
        const Outcome o = play(whole.substr(0, keep));
        EXPECT_NE(o.status, 0);
        EXPECT_EQ(o.out, "");
        EXPECT_EQ(std::count(o.err.begin(), o.err.end(), '\n'), 1);
    }
}

TEST(Drill, AnUnknownRosterEndsTheAdapter) {
    const Outcome o = play(Batch().create(1, kSettings).registry(1, 4).frame());
    EXPECT_NE(o.status, 0);
    EXPECT_EQ(o.out, "");
}

TEST(Drill, AnUnreadableSettingEndsTheAdapter) {
    const Outcome o = play(Batch().create(1, std::string(kSettings) + "extra.pushRate=fast\n").frame());
    EXPECT_NE(o.status, 0);
    EXPECT_NE(o.err.find("extra.pushRate"), std::string::npos);
}

TEST(Drill, AMissingSettingCrashesThatInstanceAlone) {
    const Outcome o =
        play(Batch().create(1, "me=0\n").create(2, kSettings).roster(0, 8).registry(2, 0).join(2, 0).frame());
    EXPECT_EQ(o.status, 0);
    EXPECT_EQ(countOf(o.out, 1050, 1), 1);
    EXPECT_NE(o.out.find("failureDomains"), std::string::npos);
    EXPECT_EQ(countOf(o.out, 1010, 2), 1);
}

TEST(Drill, InstancesShareRostersButNothingElse) {
    const Outcome both = play(Batch()
                                  .create(1, kSettings)
                                  .create(2, kSettings)
                                  .roster(0, 8)
                                  .registry(1, 0)
                                  .registry(2, 0)
                                  .join(1, 0)
                                  .frame());
    EXPECT_EQ(countOf(both.out, 1010, 1), 1);
    EXPECT_EQ(countOf(both.out, 1010, 2), 0) << "proxy 0 joined the other instance";
}

TEST(Drill, AKilledInstanceForgetsEverything) {
    const std::string first = Batch().create(1, kSettings).roster(0, 8).registry(1, 0).join(1, 0).frame(1);
    const std::string second = Batch().down(1).create(1, kSettings).join(1, 0).frame(2);
    const Outcome o = play(first + second);
    ASSERT_EQ(o.status, 0);
    std::uint32_t n = 0, bytes = 0;
    std::memcpy(&n, o.out.data() + 4, 4);
    std::memcpy(&bytes, o.out.data() + 8, 4);
    EXPECT_EQ(countOf(o.out, 1010, 1), 1);
    EXPECT_EQ(countOf(o.out.substr(12 + bytes), 1010, 1), 0) << "the new instance has had no list";
}

TEST(Drill, OnlyInstancesWithAnEventAct) {
    const std::string first =
        Batch().create(1, kSettings).create(2, kSettings).roster(0, 8).registry(1, 0).registry(2, 0).frame(1);
    const std::string second = Batch().join(1, 0).frame(2);
    const Outcome o = play(first + second);
    std::uint32_t bytes = 0;
    std::memcpy(&bytes, o.out.data() + 8, 4);
    for (const auto& [code, instance] : actions(o.out.substr(12 + bytes))) EXPECT_EQ(instance, 1U);
}

}  // namespace
}  // namespace marldale::drill
