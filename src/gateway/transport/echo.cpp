#include "gateway/transport/echo.h"

#include <algorithm>

namespace marldale::transport {
namespace {

constexpr std::size_t kMarksKept = 64;

}  // namespace

std::uint64_t EchoSender::next(Micros now) {
    if (++last_ == 0) ++last_;  // 0 stands for none
    marks_.push_back({last_, now});
    if (marks_.size() > kMarksKept) marks_.pop_front();
    return last_;
}

std::optional<Micros> EchoSender::sentNoEarlier(std::uint64_t echo, Micros held) const {
    const auto at =
        std::find_if(marks_.begin(), marks_.end(), [&](const Mark& mark) { return mark.number == echo; });
    if (at == marks_.end()) return std::nullopt;
    return at->sentAt + std::max<Micros>(0, held);
}

void EchoReceiver::received(Micros now, std::uint64_t mark) {
    if (mark == 0) return;
    mark_ = mark;
    receivedAt_ = now;
}

}  // namespace marldale::transport
