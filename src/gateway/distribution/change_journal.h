// A journal of changed keys, ordered by change number. A reader that remembers the last number it has
// processed finds the keys changed since then at a cost proportional to their count. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <set>

namespace marldale::distribution {

/// The sequence number of a change; increases with each change, starting at 1.
using ChangeNumber = std::uint64_t;

/// Keeps the latest change number of each key.
template <class Key>
class ChangeJournal {
public:
    /// Records a change of the key, replacing its earlier entry if there is one.
    void record(const Key& key) {
        const auto [at, first] = numbers_.try_emplace(key, 0);
        if (!first) keys_.erase(at->second);
        at->second = ++last_;
        keys_.emplace(last_, key);
    }
    /// Returns the number of the latest change; 0 before the first.
    [[nodiscard]] ChangeNumber last() const { return last_; }
    /// Returns the keys that changed after `position`, in key order. The journal must not have been trimmed
    /// beyond `position`.
    [[nodiscard]] std::set<Key> changedAfter(ChangeNumber position) const {
        std::set<Key> changed;
        for (auto at = keys_.upper_bound(position); at != keys_.end(); ++at) changed.insert(at->second);
        return changed;
    }
    /// Removes all entries up to and including `upTo`.
    void trim(ChangeNumber upTo) {
        const auto end = keys_.upper_bound(upTo);
        for (auto at = keys_.begin(); at != end; ++at) numbers_.erase(at->second);
        keys_.erase(keys_.begin(), end);
    }
    /// Returns the number of keys in the journal.
    [[nodiscard]] std::size_t size() const { return keys_.size(); }

private:
    std::map<ChangeNumber, Key> keys_;
    std::map<Key, ChangeNumber> numbers_;
    ChangeNumber last_ = 0;
};

}  // namespace marldale::distribution
