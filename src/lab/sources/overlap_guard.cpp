#include "sources/overlap_guard.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <utility>

namespace marldale::sources {

void OverlapGuard::beginFile() {
    now_.clear();
    looking_ = !before_.empty();
    expected_ = before_.size();
    heldLines_ = 0;
    last_.clear();
    for (std::size_t i = 0; i < before_.size(); ++i) last_.try_emplace(before_[i], i);
}

void OverlapGuard::remember(std::uint64_t hash) {
    now_.push_back(hash);
    if (now_.size() > remembered_) now_.pop_front();
}

OverlapGuard::Says OverlapGuard::line(std::string_view text) {
    const std::uint64_t hash = XXH64(text.data(), text.size(), 0);
    remember(hash);
    if (!looking_) return Says::fresh;
    if (heldLines_ == 0) {
        const auto at = last_.find(hash);
        if (at == last_.end()) {
            looking_ = false;
            return Says::fresh;
        }
        expected_ = at->second;
    } else if (before_[expected_] != hash) {
        // It agreed for a while by chance: all that was held is fresh, and so is this line.
        verdicts_.assign(heldLines_, false);
        heldLines_ = 0;
        looking_ = false;
        return Says::fresh;
    }
    ++heldLines_;
    if (++expected_ == before_.size()) {  // up to the end of the file before
        verdicts_.assign(heldLines_, true);
        heldLines_ = 0;
        looking_ = false;
    }
    return Says::held;
}

std::vector<bool> OverlapGuard::settled() { return std::exchange(verdicts_, {}); }

void OverlapGuard::endFile() {
    if (heldLines_ > 0) verdicts_.assign(heldLines_, false);
    heldLines_ = 0;
    looking_ = false;
    before_ = std::exchange(now_, {});
}

}  // namespace marldale::sources
