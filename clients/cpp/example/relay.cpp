// A relay of one's own in a page: joins a planner over gRPC, prints the table that it gets and every change
// of it, answers marks, and leaves in order.
//
//     marldale_relay ADDRESS RELAY ZONE [SECONDS]
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>

#include "marldale/assignments.h"

namespace {

using marldale::client::Assignments;
using marldale::client::RelayTables;

void show(const RelayTables& tables, std::uint32_t relay, const std::string& className) {
    double total = 0;
    const auto lines = tables.linesOf(relay, className);
    for (const auto& [server, weight] : lines) total += static_cast<double>(weight);
    std::printf("%s:", className.c_str());
    for (const auto& [server, weight] : lines) {
        std::printf(" %s %.0f%%", server.c_str(), 100 * static_cast<double>(weight) / total);
    }
    std::printf("%s\n", lines.empty() ? " no table yet" : "");
    std::fflush(stdout);
}

}  // namespace

int main(int argc, char** argv) {
    if (argc < 4) {
        std::fprintf(stderr, "usage: marldale_relay ADDRESS RELAY ZONE [SECONDS]\n");
        return 2;
    }
    const auto relay = static_cast<std::uint32_t>(std::strtoul(argv[2], nullptr, 10));
    const std::string shown = "image-fetch";

    marldale::client::AssignmentsOptions options;
    options.node = "example-relay-" + std::to_string(relay);
    options.agent = "marldale-example/1";
    options.classes = {"image-fetch", "cutout", "reserve"};

    Assignments* self = nullptr;
    marldale::client::AssignmentsHandlers handlers;
    handlers.welcomed = [](bool kept) { std::printf("welcome%s\n", kept ? ", what we hold stands" : ""); };
    handlers.applied = [&](const marldale::v1::Batch& batch, const RelayTables::Outcome& outcome) {
        std::printf("batch %llu, %u orders\n", static_cast<unsigned long long>(batch.nonce()), outcome.taken);
        if (outcome.concerned.count(relay) != 0) show(self->tables(), relay, shown);
        if (outcome.mark) self->answer(outcome.concerned, *outcome.mark, std::chrono::microseconds{0});
    };
    handlers.released = [](std::uint32_t id, const std::string& why) {
        std::printf("relay %u is released: %s\n", id, why.c_str());
    };
    handlers.ended = [](const grpc::Status& status) {
        std::printf("the stream has ended: %s\n", status.error_message().c_str());
    };
    Assignments assignments(grpc::CreateChannel(argv[1], grpc::InsecureChannelCredentials()), options,
                            handlers);
    self = &assignments;
    assignments.join({relay, argv[3], 1.0, true});
    assignments.open();
    std::this_thread::sleep_for(std::chrono::seconds(argc > 4 ? std::strtol(argv[4], nullptr, 10) : 20));
    assignments.bye();
    return 0;
}
