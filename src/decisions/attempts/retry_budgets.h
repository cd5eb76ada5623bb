// Limits how many tries may be retries: token buckets for all requests, and for each class, client and box,
// and a stop on all retries when they surge. A retry that one of them refuses takes from none. No I/O; times
// are passed in.
#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "policy/types.h"

namespace marldale::attempts {

/// The retry budgets of one proxy.
class RetryBudgets {
public:
    /// Of a token bucket.
    struct Size {
        double ratio = 0.2;  // tokens that each first try adds; a retry takes one
        double most = 20;    // capacity
        bool operator==(const Size&) const = default;
    };
    struct Settings {
        Size overAll, ofClass, ofClient{1, 10}, ofBox{0.5, 20};
        // When this share of the tries in a span are retries, a retry storm begins: none is granted any more
        // until a span has ended with half of this share, or less.
        double stormAt = 0.5;
        Micros span = 1000000;
        double minStormTries = 50;    // in a span; with fewer there is no storm
        std::size_t maxKeys = 20000;  // clients, and boxes: the least recently used ones are forgotten
    };
    RetryBudgets(Settings settings, std::size_t classes);

    /// Notes the first try of a request.
    void firstTry(std::size_t klass, std::uint64_t client, std::uint64_t box, Micros now);
    /// Whether a request of this client may be retried, after a try at this box. Takes a token from each
    /// bucket, or from none.
    [[nodiscard]] bool take(std::size_t klass, std::uint64_t client, std::uint64_t box, Micros now);

    [[nodiscard]] bool storm() const { return storm_; }
    /// The number of clients and boxes that have a bucket.
    [[nodiscard]] std::size_t keys() const { return clients_.size() + boxes_.size(); }

private:
    // Buckets by client or box, in bounded number; the least recently used one is forgotten first. A new
    // bucket is full.
    class KeyedBuckets {
    public:
        KeyedBuckets(Size size, std::size_t maxKeys) : size_(size), maxKeys_(maxKeys) {}
        double& of(std::uint64_t key);
        void firstTry(std::uint64_t key);
        [[nodiscard]] std::size_t size() const { return positions_.size(); }

    private:
        struct Bucket {
            std::uint64_t key = 0;
            double tokens = 0;
        };
        const Size size_;
        const std::size_t maxKeys_;
        std::list<Bucket> buckets_;  // the most recently used one in front
        std::unordered_map<std::uint64_t, std::list<Bucket>::iterator> positions_;
    };
    void count(bool retry, Micros now);

    const Settings settings_;
    double overAll_;
    std::vector<double> byClass_;
    KeyedBuckets clients_, boxes_;
    Micros spanStart_ = 0;
    double firstTries_ = 0, retries_ = 0;  // in this span
    bool storm_ = false;
};

}  // namespace marldale::attempts
