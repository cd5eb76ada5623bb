#include "protocol/frames.h"

namespace marldale::protocol {
namespace {

constexpr std::size_t kLengthBytes = 4;

std::size_t lengthAt(std::string_view bytes) {
    std::size_t out = 0;
    for (std::size_t i = 0; i < kLengthBytes; ++i) {
        out |= static_cast<std::size_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
    }
    return out;
}

}  // namespace

bool FrameReader::feed(std::string_view bytes, const std::function<bool(std::string_view)>& handle) {
    kept_.append(bytes);
    std::string_view rest = kept_;
    bool sound = true;
    while (rest.size() >= kLengthBytes) {
        const std::size_t length = lengthAt(rest);
        if (length == 0 || length > most_) {
            sound = false;
            break;
        }
        if (rest.size() - kLengthBytes < length) break;
        const std::string_view message = rest.substr(kLengthBytes, length);
        rest.remove_prefix(kLengthBytes + length);
        if (!handle(message)) break;
    }
    kept_.erase(0, kept_.size() - rest.size());
    return sound;
}

std::string frame(std::string_view message) {
    std::string out;
    for (std::size_t i = 0; i < kLengthBytes; ++i) {
        out.push_back(static_cast<char>(message.size() >> (8 * i) & 0xffU));
    }
    return out.append(message);
}

}  // namespace marldale::protocol
