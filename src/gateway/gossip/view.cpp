#include "gateway/gossip/view.h"

#include <algorithm>

#include "bytes/mix.h"

namespace marldale::gossip {

View::View(Settings settings, proto::Peer self, std::vector<std::string> seeds)
    : settings_(settings), self_(std::move(self)), seeds_(std::move(seeds)), drawn_(settings.seed) {}

std::uint64_t View::draw() { return bytes::mixed(drawn_ += 0x9e3779b97f4a7c15ULL); }

std::optional<View::Letter> View::due(Micros now) {
    if (now < next_) return std::nullopt;
    // Datagrams are lost now and then: the one that was asked and has not answered is asked once more. Silent
    // twice, it goes, and comes back by others' word if they know better.
    if (asked_ && asked_ == silentOnce_) {
        peers_.erase(*asked_);
        silentOnce_.reset();
    } else {
        silentOnce_ = asked_;
    }
    asked_.reset();
    for (auto& [address, peer] : peers_) peer.set_age(peer.age() + 1);
    std::erase_if(peers_, [&](const auto& at) { return at.second.age() > settings_.ageMost; });
    const bool alone = control().empty();
    next_ = now + (alone ? settings_.everyAlone : settings_.every + static_cast<Micros>(draw() % 400000));
    std::string to;
    if (alone || peers_.empty()) {
        for (std::size_t tried = 0; tried < seeds_.size() && (to.empty() || to == self_.address()); ++tried)
            to = seeds_[nextSeed_++ % seeds_.size()];
        if (to.empty() || to == self_.address()) return std::nullopt;
    } else {
        const auto oldest = std::max_element(peers_.begin(), peers_.end(), [](const auto& a, const auto& b) {
            return a.second.age() < b.second.age();
        });
        to = silentOnce_ && peers_.count(*silentOnce_) ? *silentOnce_ : oldest->first;
        asked_ = to;
    }
    return Letter{to, letter(false)};
}

proto::Shuffle View::letter(bool answer) {
    proto::Shuffle out;
    *out.mutable_from() = self_;
    out.set_answer(answer);
    std::vector<const proto::Peer*> all;
    for (const auto& [address, peer] : peers_) all.push_back(&peer);
    for (std::size_t i = all.size(); i > 1; --i) std::swap(all[i - 1], all[draw() % i]);
    // Half of the sample, at least, serves control where so many are known.
    std::stable_partition(all.begin(), all.end(), [](const proto::Peer* p) { return !p->control().empty(); });
    const std::size_t control =
        std::count_if(all.begin(), all.end(), [](const proto::Peer* p) { return !p->control().empty(); });
    const std::size_t first = std::min(
        control,
        std::max(settings_.sample / 2, settings_.sample - std::min(settings_.sample, all.size() - control)));
    for (std::size_t i = 0; i < first; ++i) *out.add_sample() = *all[i];
    for (std::size_t i = control;
         i < all.size() && static_cast<std::size_t>(out.sample_size()) < settings_.sample; ++i)
        *out.add_sample() = *all[i];
    return out;
}

std::optional<View::Letter> View::receive(const proto::Shuffle& shuffle) {
    if (shuffle.from().address().empty() || shuffle.from().address() == self_.address()) return std::nullopt;
    std::optional<Letter> out;
    if (!shuffle.answer()) out = Letter{shuffle.from().address(), letter(true)};
    proto::Peer from = shuffle.from();
    from.set_age(0);
    recordContact(from);
    for (const proto::Peer& peer : shuffle.sample()) take(peer);
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

void View::take(const proto::Peer& peer) {
    if (peer.address().empty() || peer.address() == self_.address() || peer.age() > settings_.ageMost) return;
    // Word that is passed on ages with each hand, or the dead would be handed round for ever.
    proto::Peer older = peer;
    older.set_age(peer.age() + 1);
    const auto [at, fresh] = peers_.try_emplace(peer.address(), older);
    if (!fresh && older.age() < at->second.age()) at->second = older;
}

void View::trim() {
    const auto surplus = [&](bool serves, std::size_t most) {
        std::size_t count = std::count_if(peers_.begin(), peers_.end(), [&](const auto& p) {
            return p.second.control().empty() != serves;
        });
        while (count-- > most) {
            auto oldest = peers_.end();
            for (auto at = peers_.begin(); at != peers_.end(); ++at) {
                if (at->second.control().empty() != serves &&
                    (oldest == peers_.end() || at->second.age() > oldest->second.age()))
                    oldest = at;
            }
            if (oldest != peers_.end()) peers_.erase(oldest);
        }
    };
    surplus(true, settings_.control);
    surplus(false, settings_.most - std::min(settings_.most, settings_.control / 2));
}

std::vector<proto::Peer> View::control() const {
    std::vector<proto::Peer> out;
    for (const auto& [address, peer] : peers_) {
        if (!peer.control().empty()) out.push_back(peer);
    }
    return out;
}

}  // namespace marldale::gossip
