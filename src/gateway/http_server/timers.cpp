#include "gateway/http_server/timers.h"

namespace marldale::http_server {
namespace {

constexpr Micros kGrain = 4000;  // waits end at multiples of this

}  // namespace

Timers::~Timers() {
    loop_.setAlarm(kNever, nullptr);
    for (Item* item : heap_) item->at_.reset();
}

void Timers::set(Item& item, Micros when) {
    item.due_ = when;
    if (when == kNever) return;
    const Micros key = (when + kGrain - 1) / kGrain * kGrain;
    if (item.at_) {
        if (key >= item.key_) return;  // looked at again when the old time comes
        item.key_ = key;
        heap_.update(*item.at_);
    } else {
        item.key_ = key;
        item.at_ = heap_.push(&item);
    }
    arm();
}

void Timers::drop(Item& item) {
    if (!item.at_) return;
    heap_.erase(*item.at_);
    item.at_.reset();
}

void Timers::arm() {
    if (running_ || heap_.empty()) return;
    const Micros first = heap_.top()->key_;
    if (first >= armed_) return;
    armed_ = first;
    loop_.setAlarm(first, this);
}

void Timers::onAlarm() {
    armed_ = kNever;
    running_ = true;
    const Micros now = loop_.now();
    while (!heap_.empty() && heap_.top()->key_ <= now) {
        Item& item = *heap_.top();
        heap_.pop();
        item.at_.reset();
        if (item.due_ == kNever) continue;
        if (item.due_ > now) {
            set(item, item.due_);
            continue;
        }
        item.due_ = kNever;
        item.due(now);
    }
    running_ = false;
    arm();
}

}  // namespace marldale::http_server
