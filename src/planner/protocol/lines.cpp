#include "protocol/lines.h"

namespace marldale::protocol {

bool LineReader::feed(std::string_view bytes, const std::function<bool(std::string_view)>& handle) {
    kept_.append(bytes);
    std::string_view rest = kept_;
    bool sound = true;
    for (;;) {
        const auto end = rest.find('\n');
        if (end == std::string_view::npos ? rest.size() > most_ : end > most_) {
            sound = false;
            break;
        }
        if (end == std::string_view::npos) break;
        std::string_view line = rest.substr(0, end);
        if (line.ends_with('\r')) line.remove_suffix(1);
        rest.remove_prefix(end + 1);
        if (!handle(line)) break;
    }
    kept_.erase(0, kept_.size() - rest.size());
    return sound;
}

}  // namespace marldale::protocol
