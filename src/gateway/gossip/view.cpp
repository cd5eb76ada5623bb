#include "gateway/gossip/view.h"

#include <algorithm>

#include "bytes/mix.h"

namespace marldale::gossip {

View::View(Settings settings, proto::Peer self, std::vector<std::string> seeds)
    : settings_(settings), self_(std::move(self)), seeds_(std::move(seeds)), randomState_(settings.seed) {}

std::uint64_t View::nextRandom() { return bytes::mixed(randomState_ += 0x9e3779b97f4a7c15ULL); }

std::optional<View::Message> View::due(Micros now) {
    if (now < next_) return std::nullopt;
    // Datagrams get lost: a peer that has not answered is contacted once more. After the second missed answer
    // it is removed; it returns if other peers still report it.
    if (asked_ && asked_ == unansweredOnce_) {
        peers_.erase(*asked_);
        unansweredOnce_.reset();
    } else {
        unansweredOnce_ = asked_;
    }
    asked_.reset();
    for (auto& [address, peer] : peers_) peer.set_age(peer.age() + 1);
    std::erase_if(peers_, [&](const auto& at) { return at.second.age() > settings_.maxAge; });
    const bool isolated = control().empty();
    next_ = now + (isolated ? settings_.isolatedShuffleInterval
                            : settings_.shuffleInterval + static_cast<Micros>(nextRandom() % 400000));
    std::string to;
    if (isolated || peers_.empty()) {
        for (std::size_t attempt = 0; attempt < seeds_.size() && (to.empty() || to == self_.address());
             ++attempt)
            to = seeds_[nextSeed_++ % seeds_.size()];
        if (to.empty() || to == self_.address()) return std::nullopt;
    } else {
        const auto oldest = std::max_element(peers_.begin(), peers_.end(), [](const auto& a, const auto& b) {
            return a.second.age() < b.second.age();
        });
        to = unansweredOnce_ && peers_.count(*unansweredOnce_) ? *unansweredOnce_ : oldest->first;
        asked_ = to;
    }
    return Message{to, makeShuffle(false)};
}

proto::Shuffle View::makeShuffle(bool answer) {
    proto::Shuffle out;
    *out.mutable_from() = self_;
    out.set_answer(answer);
    std::vector<const proto::Peer*> all;
    for (const auto& [address, peer] : peers_) all.push_back(&peer);
    for (std::size_t i = all.size(); i > 1; --i) std::swap(all[i - 1], all[nextRandom() % i]);
    // At least half of the sample are controllers, if enough are known.
    std::stable_partition(all.begin(), all.end(), [](const proto::Peer* p) { return !p->control().empty(); });
    const std::size_t control =
        std::count_if(all.begin(), all.end(), [](const proto::Peer* p) { return !p->control().empty(); });
    const std::size_t first = std::min(
        control, std::max(settings_.sampleSize / 2,
                          settings_.sampleSize - std::min(settings_.sampleSize, all.size() - control)));
    for (std::size_t i = 0; i < first; ++i) *out.add_sample() = *all[i];
    for (std::size_t i = control;
         i < all.size() && static_cast<std::size_t>(out.sample_size()) < settings_.sampleSize; ++i)
        *out.add_sample() = *all[i];
    return out;
}

std::optional<View::Message> View::receive(const proto::Shuffle& shuffle) {
    if (shuffle.from().address().empty() || shuffle.from().address() == self_.address()) return std::nullopt;
    std::optional<Message> out;
    if (!shuffle.answer()) out = Message{shuffle.from().address(), makeShuffle(true)};
    proto::Peer from = shuffle.from();
    from.set_age(0);
    recordContact(from);
    for (const proto::Peer& peer : shuffle.sample()) mergePeer(peer);
    trim();
    return out;
}

void View::recordContact(const proto::Peer& peer) {
    if (peer.address().empty() || peer.address() == self_.address()) return;
    if (asked_ == peer.address()) asked_.reset();
    peers_[peer.address()] = peer;
    peers_[peer.address()].set_age(0);
    trim();
}

void View::remove(const std::string& address) { peers_.erase(address); }

void View::mergePeer(const proto::Peer& peer) {
    if (peer.address().empty() || peer.address() == self_.address() || peer.age() > settings_.maxAge) return;
    // An entry ages each time it is forwarded; otherwise failed processes would circulate forever.
    proto::Peer forwarded = peer;
    forwarded.set_age(peer.age() + 1);
    const auto [at, fresh] = peers_.try_emplace(peer.address(), forwarded);
    if (!fresh && forwarded.age() < at->second.age()) at->second = forwarded;
}

void View::trim() {
    const auto removeSurplus = [&](bool controllers, std::size_t limit) {
        std::size_t count = std::count_if(peers_.begin(), peers_.end(), [&](const auto& p) {
            return p.second.control().empty() != controllers;
        });
        while (count-- > limit) {
            auto oldest = peers_.end();
            for (auto at = peers_.begin(); at != peers_.end(); ++at) {
                if (at->second.control().empty() != controllers &&
                    (oldest == peers_.end() || at->second.age() > oldest->second.age()))
                    oldest = at;
            }
            if (oldest != peers_.end()) peers_.erase(oldest);
        }
    };
    removeSurplus(true, settings_.maxControllers);
    removeSurplus(false, settings_.maxPeers - std::min(settings_.maxPeers, settings_.maxControllers / 2));
}

std::vector<proto::Peer> View::control() const {
    std::vector<proto::Peer> out;
    for (const auto& [address, peer] : peers_) {
        if (!peer.control().empty()) out.push_back(peer);
    }
    return out;
}

}  // namespace marldale::gossip
