// What is to happen, by time; of two things at one time the one that was entered first comes first.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "policy/types.h"

namespace marldale::emulator {

enum class Happening : std::uint8_t {
    arrival,       // a: relay
    atBox,         // a: try
    boxDone,       // a: box, b: its generation
    boxSpeed,      // a: box: it warms up
    answer,        // a: try, b: outcome
    tryOver,       // a: try: its time is up
    wishOver,      // a: wish: the client gives up
    repeat,        // a: wish: the client asks again
    relayDials,    // a: relay
    relayNotices,  // a: relay: its stream is dead
    message,       // a: relay, b: number of the message
    listTold,      // a: instance, b: number of the news
    sumsDue,       // everywhere
    sumsTold,      // a: instance, b: number of the report
    loadDue,       // boxes refresh their load reports
    step,          // a: instance
    timer,         // a: instance
    mark,          // a: instance, b: number of the answer
    faultBegins,   // a: fault
    faultEnds,     // a: fault
    faultGoesOn,   // a: fault, b: how often before
    drained,       // a: box place
    window,        // the score's
};

struct Entry {
    Micros at = 0;
    std::uint64_t number = 0;
    Happening what = Happening::window;
    std::uint32_t a = 0, b = 0;
    [[nodiscard]] bool after(const Entry& other) const {
        return at != other.at ? at > other.at : number > other.number;
    }
};

class Calendar {
public:
    void enter(Micros at, Happening what, std::uint32_t a = 0, std::uint32_t b = 0) {
        heap_.push_back({at, ++number_, what, a, b});
        std::push_heap(heap_.begin(), heap_.end(), later);
    }
    [[nodiscard]] bool empty() const { return heap_.empty(); }
    [[nodiscard]] Micros next() const { return heap_.front().at; }
    [[nodiscard]] Entry take() {
        std::pop_heap(heap_.begin(), heap_.end(), later);
        const Entry out = heap_.back();
        heap_.pop_back();
        return out;
    }
    [[nodiscard]] std::uint64_t entered() const { return number_; }

private:
    static bool later(const Entry& a, const Entry& b) { return a.after(b); }
    std::vector<Entry> heap_;
    std::uint64_t number_ = 0;
};

}  // namespace marldale::emulator
