// An immutable list whose copies share the items.
#pragma once

#include <cstddef>
#include <memory>
#include <utility>
#include <vector>

namespace marldale::configuration {

/// Behaves like a constant vector; copying costs one reference count.
template <class Item>
class SharedList {
public:
    SharedList() = default;
    SharedList(std::vector<Item> items)  // NOLINT(google-explicit-constructor): a vector converts implicitly
        : items_(std::make_shared<const std::vector<Item>>(std::move(items))) {}

    /// Access to the items, as for a vector.
    [[nodiscard]] auto begin() const { return items().begin(); }
    [[nodiscard]] auto end() const { return items().end(); }
    [[nodiscard]] std::size_t size() const { return items().size(); }
    [[nodiscard]] bool empty() const { return items().empty(); }
    [[nodiscard]] const Item& operator[](std::size_t index) const { return items()[index]; }
    /// Returns whether both are copies of the same list; equal items are not sufficient.
    [[nodiscard]] bool sharesStorageWith(const SharedList& other) const { return items_ == other.items_; }

private:
    [[nodiscard]] const std::vector<Item>& items() const {
        static const std::vector<Item> none;
        return items_ ? *items_ : none;
    }
    std::shared_ptr<const std::vector<Item>> items_;
};

}  // namespace marldale::configuration
