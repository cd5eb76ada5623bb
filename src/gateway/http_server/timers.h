// Many waits on one timer of the loop. Waits are rounded up a little, so that several end in one wake-up, and
// one that is put off costs nothing until its old time has come.
#pragma once

#include <boost/heap/d_ary_heap.hpp>
#include <limits>
#include <optional>

#include "gateway/http_server/event_loop.h"

namespace marldale::http_server {

class Timers final : private AlarmHandler {
public:
    static constexpr Micros kNever = std::numeric_limits<Micros>::max();

    class Item {
    public:
        explicit Item(Timers& timers) : timers_(timers) {}
        virtual ~Item() {
            if (at_) timers_.drop(*this);
        }
        Item(const Item&) = delete;
        Item& operator=(const Item&) = delete;
        // At `when` or a little later `due` is called, once. A new time replaces the old one.
        void wake(Micros when) { timers_.set(*this, when); }
        void sleep() { due_ = kNever; }
        [[nodiscard]] Micros wakesAt() const { return due_; }

    protected:
        virtual void due(Micros now) = 0;

    private:
        friend class Timers;
        struct Later {
            bool operator()(const Item* one, const Item* other) const { return one->key_ > other->key_; }
        };
        using Heap = boost::heap::d_ary_heap<Item*, boost::heap::arity<4>, boost::heap::mutable_<true>,
                                             boost::heap::compare<Later>>;
        Timers& timers_;
        Micros due_ = kNever, key_ = kNever;  // the key never is later than what is due
        std::optional<Heap::handle_type> at_;
    };

    explicit Timers(EventLoop& loop) : loop_(loop) {}
    ~Timers() override;
    Timers(const Timers&) = delete;
    Timers& operator=(const Timers&) = delete;
    [[nodiscard]] EventLoop& loop() { return loop_; }
    [[nodiscard]] Micros now() { return loop_.now(); }

private:
    void set(Item& item, Micros when);
    void drop(Item& item);
    void arm();
    void onAlarm() override;

    EventLoop& loop_;
    Item::Heap heap_;
    Micros armed_ = kNever;
    bool running_ = false;
};

}  // namespace marldale::http_server
