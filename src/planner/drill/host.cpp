#include "drill/host.h"

#include <algorithm>

#include "wire/settings.h"

namespace marldale::drill {

void Host::flush(Micros now, std::vector<Turn>& turns, wire::Reply& reply) {
    for (const auto& [instance, events] : turns) {
        const auto it = instances_.find(instance);
        if (it == instances_.end() || !it->second.planner) continue;
        try {
            for (const Action& action : it->second.planner->turn(now, events)) reply.add(instance, action);
        } catch (const std::exception& e) {
            it->second.planner.reset();
            reply.add(instance, wire::Crash{e.what()});
        }
    }
    turns.clear();
}

void Host::create(wire::Instance instance, const wire::Create& create, wire::Reply& reply) {
    instances_.erase(instance);
    try {
        Settings settings = wire::parseSettings(create.config);
        settings.seed = create.entropy;
        instances_[instance].planner.emplace(std::move(settings));
    } catch (const wire::MalformedSetting& e) {
        throw wire::Malformed(e.what());
    } catch (const std::exception& e) {
        reply.add(instance, wire::Crash{e.what()});
    }
}

std::string Host::play(const wire::BatchHead& head, std::string_view body) {
    wire::Reply reply;
    std::vector<Turn> turns;
    const auto turnOf = [&turns](wire::Instance instance) {
        return std::find_if(turns.begin(), turns.end(), [&](const Turn& t) { return t.first == instance; });
    };
    for (wire::InstanceEvent& event : wire::readBatch(head, body, rosters_)) {
        const auto at = turnOf(event.instance);
        if (auto* plain = std::get_if<Event>(&event.what)) {
            if (at == turns.end()) {
                turns.push_back({event.instance, {std::move(*plain)}});
            } else {
                at->second.push_back(std::move(*plain));
            }
            continue;
        }
        // A killed instance says nothing more, so what it has not yet seen of this batch is lost.
        if (at != turns.end()) turns.erase(at);
        if (const auto* made = std::get_if<wire::Create>(&event.what)) {
            create(event.instance, *made, reply);
        } else {
            instances_.erase(event.instance);
        }
    }
    flush(head.clock, turns, reply);
    return reply.frame(head.number);
}

namespace {

// Reads up to `bytes`; in steps, so that a false length cannot claim memory that no input backs.
std::string readUpTo(std::istream& in, std::size_t bytes) {
    constexpr std::size_t kStep = std::size_t{1} << 20U;
    std::string out;
    while (out.size() < bytes && in) {
        const std::size_t had = out.size();
        out.resize(had + std::min(kStep, bytes - had));
        in.read(out.data() + had, static_cast<std::streamsize>(out.size() - had));
        out.resize(had + static_cast<std::size_t>(in.gcount()));
    }
    return out;
}

}  // namespace

void serve(std::istream& in, std::ostream& out) {
    Host host;
    for (;;) {
        const std::string header = readUpTo(in, wire::kBatchHeaderBytes);
        if (header.empty()) return;
        if (header.size() < wire::kBatchHeaderBytes)
            throw wire::Malformed("the input ends inside a frame header");
        const wire::BatchHead head = wire::readBatchHead(header);
        const std::string body = readUpTo(in, head.bodyBytes);
        if (body.size() < head.bodyBytes) throw wire::Malformed("the input ends inside a frame");
        const std::string reply = host.play(head, body);
        out.write(reply.data(), static_cast<std::streamsize>(reply.size()));
        out.flush();
    }
}

int run(std::istream& in, std::ostream& out, std::ostream& err) {
    try {
        serve(in, out);
    } catch (const std::exception& e) {
        err << "marldale_drill: " << e.what() << '\n';
        return 1;
    }
    return 0;
}

}  // namespace marldale::drill
