// Hosts many planner instances behind the drill's wire, apart from one another.
#pragma once

#include <istream>
#include <map>
#include <optional>
#include <ostream>

#include "policy/policy.h"
#include "wire/codec.h"

namespace marldale::drill {

class Host {
public:
    // Plays one batch and returns the reply frame.
    [[nodiscard]] std::string play(const wire::BatchHead& head, std::string_view body);

private:
    struct Hosted {
        std::optional<Planner> planner;  // empty once it has crashed
    };
    using Turn = std::pair<wire::Instance, std::vector<Event>>;

    void flush(Micros now, std::vector<Turn>& turns, wire::Reply& reply);
    void create(wire::Instance instance, const wire::Create& create, wire::Reply& reply);

    std::map<wire::Instance, Hosted> instances_;
    wire::Rosters rosters_;
};

// Reads batches until the input ends between frames; throws wire::Malformed on a cut or bad frame.
void serve(std::istream& in, std::ostream& out);

// The program: 0 at a clean end of input, 1 and one line on `err` when the input cannot be read.
[[nodiscard]] int run(std::istream& in, std::ostream& out, std::ostream& err);

}  // namespace marldale::drill
