// How many tries may be repeats: over all, by class, by client and by box, and a breaker for storms. A try
// that one of them refuses takes from none. No I/O; times are values.
#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "policy/types.h"

namespace marldale::attempts {

class RetryBudgets {
public:
    struct Size {
        double ratio = 0.2;  // of a further try that each first one brings
        double most = 20;    // saved up
        bool operator==(const Size&) const = default;
    };
    struct Settings {
        Size overAll, ofClass, ofClient{1, 10}, ofBox{0.5, 20};
        // Repeats among all tries of a span; at `stormAt` nothing is repeated until it has fallen to half of
        // that.
        double stormAt = 0.5;
        Micros span = 1000000;
        double stormLeast = 50;          // tries in a span, below which there is no storm
        std::size_t remembered = 20000;  // clients, and boxes: those that were seen last
    };
    RetryBudgets(Settings settings, std::size_t classes);

    void firstTry(std::size_t klass, std::uint64_t client, std::uint64_t box, Micros now);
    // A repeat of a request of this client, after a try at this box. Takes one from each, or from none.
    [[nodiscard]] bool take(std::size_t klass, std::uint64_t client, std::uint64_t box, Micros now);

    [[nodiscard]] bool storm() const { return storm_; }
    [[nodiscard]] std::size_t remembered() const { return clients_.size() + boxes_.size(); }

private:
    // Buckets by who they are for; the one that was used longest ago is forgotten first. A newcomer's is
    // full.
    class Many {
    public:
        Many(Size size, std::size_t most) : size_(size), most_(most) {}
        double& of(std::uint64_t who);
        void firstTry(std::uint64_t who);
        [[nodiscard]] std::size_t size() const { return places_.size(); }

    private:
        struct Bucket {
            std::uint64_t who = 0;
            double left = 0;
        };
        const Size size_;
        const std::size_t most_;
        std::list<Bucket> buckets_;  // the one used last in front
        std::unordered_map<std::uint64_t, std::list<Bucket>::iterator> places_;
    };
    void count(bool repeat, Micros now);

    const Settings settings_;
    double overAll_;
    std::vector<double> byClass_;
    Many clients_, boxes_;
    Micros spanFrom_ = 0;
    double first_ = 0, repeats_ = 0;  // in this span
    bool storm_ = false;
};

}  // namespace marldale::attempts
