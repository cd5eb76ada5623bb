// A relay as the operators' briefs describe it: it judges nothing. It picks among the lines that it holds,
// holds levels, tries again as ordered, and keeps away for a while from a box at which its own tries failed.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "emulator/tables.h"
#include "policy/types.h"

namespace marldale::emulator {

enum class Pick : std::uint8_t { weighted, smooth, twoChoices };

struct RelaySettings {
    Pick pick = Pick::weighted;
    unsigned avoidAfter = 5;  // own tries in a row that failed at a box; 0: never
    Micros avoidFor = 4000000;
    double stallPerLine = 30;  // microseconds that it stands still for each line of a message
    double burst = 0.5;        // seconds of its rate that a level lets in at once, and one request at least
    Micros connectionIdle = 10000000;
};

class Relay {
public:
    Relay(const RelaySettings& settings, Admission admission, std::uint32_t zone, std::uint64_t seed,
          std::uint32_t number);

    [[nodiscard]] std::uint32_t zone() const { return zone_; }

    // ---- Orders ----

    void hold(View view);
    [[nodiscard]] const View& view() const { return view_; }
    [[nodiscard]] bool fresh() const { return fresh_; }  // it holds only its standing tables
    // Lines of a class that it may pick.
    [[nodiscard]] std::size_t lines(std::size_t klass) const;
    template <class Each>
    void eachLine(std::size_t klass, const Each& each) const {
        const Content* content = contentOf(klass);
        if (content == nullptr) return;
        for (const BoxNumber box : content->boxes) {
            if (!isShut(box)) each(box);
        }
    }

    // ---- Requests ----

    [[nodiscard]] bool admits(std::size_t klass, Micros now);
    // A box for a try; nothing if it has none. `but`: not this one.
    [[nodiscard]] std::optional<BoxNumber> pick(std::size_t klass, std::optional<BoxNumber> but, Micros now);
    [[nodiscard]] std::uint8_t retryMode(std::size_t klass) const;
    // Whether it needs a new connection to a box for one more try.
    [[nodiscard]] bool begins(BoxNumber box, Micros now);
    void ended(BoxNumber box, bool failed, Micros now);
    void connectionLost(BoxNumber box);
    // Connections that have been idle for too long are closed: to these boxes.
    [[nodiscard]] std::vector<BoxNumber> closeIdle(Micros now);

    Micros busyUntil = 0;  // it stands still

private:
    struct Box {
        std::uint32_t open = 0, idle = 0;  // connections in use, and kept
        unsigned failedInARow = 0;
        Micros avoidUntil = 0, idleSince = 0;
    };
    [[nodiscard]] const Content* contentOf(std::size_t klass) const;
    [[nodiscard]] bool isShut(BoxNumber box) const { return view_.shut && view_.shut->count(box) != 0; }
    [[nodiscard]] bool open(BoxNumber box, std::optional<BoxNumber> but, Micros now) const;
    [[nodiscard]] std::optional<BoxNumber> draw(const Content& content, std::optional<BoxNumber> but,
                                                Micros now);
    [[nodiscard]] std::optional<BoxNumber> smooth(std::size_t klass, const Content& content,
                                                  std::optional<BoxNumber> but, Micros now);

    const RelaySettings settings_;
    const Admission admission_;
    const std::uint32_t zone_;
    Stream picks_;
    View view_;
    bool fresh_ = true;
    std::unordered_map<BoxNumber, Box> boxes_;
    std::vector<std::map<BoxNumber, double>> rounds_;  // of smooth picking, by class
    struct Tokens {
        double left = 1;
        Micros at = 0;
    };
    std::vector<Tokens> tokens_;
};

}  // namespace marldale::emulator
