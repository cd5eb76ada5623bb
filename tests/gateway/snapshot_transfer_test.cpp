// Tests of the snapshot transfer over links that lose, reorder, duplicate and corrupt messages, and across
// restarts and changes of leader.
#include <catch2/catch.hpp>
#include <deque>
#include <string>
#include <vector>

#include "bytes/mix.h"
#include "gateway/raft/compaction_policy.h"
#include "gateway/raft/snapshot_transfer.h"

using namespace marldale::raft;

namespace {

constexpr SnapshotTransferSettings kSmallSettings{100, 4, 100000};

proto::Snapshot snapshotOf(std::uint64_t index, std::size_t size, char first = 'a') {
    proto::Snapshot snapshot;
    snapshot.set_term(3);
    snapshot.set_index(index);
    snapshot.mutable_members()->add_voters()->set_address("10.0.0.1:7540");
    for (std::size_t k = 0; k < size; ++k)
        snapshot.mutable_data()->push_back(static_cast<char>(first + k * k % 23));
    return snapshot;
}

struct LinkFaults {  // probability of each per message
    double loses = 0, repeats = 0, reorders = 0, damages = 0;
};

// A transfer from one leader to one follower. A step is one heartbeat of the leader and all resulting
// messages.
struct Transfer {
    LinkFaults link;
    SnapshotTransferFaults faults;
    std::uint64_t random = 1;
    SnapshotSender sender{kSmallSettings, faults};
    SnapshotReceiver receiver{kSmallSettings, faults};
    std::uint64_t term = 3, sequence = 0;
    std::size_t chunks = 0, bytes = 0, buffered = 0;
    std::optional<proto::Snapshot> installed;

    explicit Transfer(std::uint64_t seed = 1, SnapshotTransferFaults injected = {},
                      LinkFaults linkFaults = {})
        : link(linkFaults), faults(injected), random(seed) {}

    bool chance(double probability) {
        random = marldale::bytes::mixed(random + 0x9e3779b97f4a7c15ULL);
        return static_cast<double>(random >> 11U) * 0x1p-53 < probability;
    }
    template <typename Message>
    void sendOver(std::deque<Message>& queue, Message message) {
        if (chance(link.loses)) return;
        if (chance(link.repeats)) queue.push_back(message);
        if (chance(link.reorders) && !queue.empty()) {
            queue.insert(queue.end() - 1, std::move(message));
        } else {
            queue.push_back(std::move(message));
        }
    }
    void deliver(proto::SnapshotChunk chunk, std::deque<proto::SnapshotProgress>& responses) {
        if (!chunk.data().empty() && chance(link.damages)) (*chunk.mutable_data())[0] ^= 1;
        auto accepted = receiver.accept(term, chunk);
        if (!accepted) return;
        buffered = std::max(buffered, receiver.bufferedBytes());
        if (accepted->snapshot) installed = std::move(accepted->snapshot);
        sendOver(responses, accepted->progress);
    }
    void step() {
        std::deque<proto::SnapshotChunk> chunksOut;
        std::deque<proto::SnapshotProgress> responses;
        sender.heartbeat();
        sendOver(chunksOut, sender.probe(++sequence));
        do {
            while (auto chunk = sender.nextChunk(sequence + 1)) {
                ++sequence;
                ++chunks;
                bytes += chunk->data().size();
                sendOver(chunksOut, std::move(*chunk));
            }
            if (!chunksOut.empty()) {
                const proto::SnapshotChunk chunk = std::move(chunksOut.front());
                chunksOut.pop_front();
                deliver(chunk, responses);
            }
            for (; !responses.empty() && !installed; responses.pop_front())
                sender.acknowledged(responses.front());
        } while (!chunksOut.empty() && !installed);
    }
    bool run(const proto::Snapshot& snapshot, std::size_t maxSteps) {
        if (!sender.active()) sender.begin(encodeSnapshot(snapshot));
        for (std::size_t k = 0; k < maxSteps && !installed; ++k) step();
        return installed && installed->SerializeAsString() == snapshot.SerializeAsString();
    }
};

// Whether all simulated transfers with the given faults deliver the right snapshot.
bool transfersCorrectly(SnapshotTransferFaults faults) {
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        Transfer transfer(seed, faults, {0.05, 0.05, 0.1, 0.03});
        // One leader begins a transfer; another leader with a different snapshot takes over.
        transfer.sender.begin(encodeSnapshot(snapshotOf(6, 3000, 'A')));
        for (int k = 0; k < 2; ++k) transfer.step();
        if (transfer.installed && transfer.installed->data() != snapshotOf(6, 3000, 'A').data()) return false;
        transfer.installed.reset();
        ++transfer.term;
        transfer.sequence = 0;
        transfer.sender.begin(encodeSnapshot(snapshotOf(7, 3000)));
        if (!transfer.run(snapshotOf(7, 3000), 60)) return false;
    }
    return true;
}

}  // namespace

TEST_CASE("A snapshot arrives complete in chunks, in one step over a reliable link", "[raft][snapshot]") {
    Transfer transfer;
    const proto::Snapshot snapshot = snapshotOf(7, 5000);
    CHECK(transfer.run(snapshot, 1));
    CHECK(transfer.bytes == snapshot.ByteSizeLong());
    CHECK(transfer.buffered <= snapshot.ByteSizeLong());
    CHECK(transfer.receiver.bufferedBytes() == 0);
}

TEST_CASE("A snapshot arrives over links that lose, duplicate, reorder and corrupt messages",
          "[raft][snapshot]") {
    CHECK(transfersCorrectly({}));
}

TEST_CASE("Simulated transfers detect each injected fault", "[raft][snapshot]") {
    SnapshotTransferFaults foreign, checksums, offsets, losses;
    foreign.acceptsForeignChunks = true;
    checksums.ignoresChecksums = true;
    offsets.ignoresOffsets = true;
    losses.ignoresLosses = true;
    CHECK_FALSE(transfersCorrectly(foreign));
    CHECK_FALSE(transfersCorrectly(checksums));
    CHECK_FALSE(transfersCorrectly(offsets));
    CHECK_FALSE(transfersCorrectly(losses));
}

TEST_CASE("A chunk of another snapshot is not added to the one in transfer", "[raft][snapshot]") {
    const auto older = encodeSnapshot(snapshotOf(7, 450, 'A'));
    const auto newer = encodeSnapshot(snapshotOf(9, 450));
    REQUIRE(older->bytes.size() == newer->bytes.size());
    SnapshotSender first(kSmallSettings), second(kSmallSettings);
    first.begin(older);
    second.begin(newer);
    SnapshotReceiver receiver(kSmallSettings);
    const auto stray = first.nextChunk(1);
    REQUIRE(receiver.accept(3, *second.nextChunk(2)));
    CHECK_FALSE(receiver.accept(3, *stray));
    CHECK(receiver.bufferedBytes() == 100);
    // A newer transfer of the same leader replaces it and starts at the first byte.
    const auto other = receiver.accept(3, first.probe(3));
    REQUIRE(other);
    CHECK(other->progress.received() == 0);
}

TEST_CASE("A transfer resumes with a new leader and starts over after a restart", "[raft][snapshot]") {
    Transfer transfer;
    const proto::Snapshot snapshot = snapshotOf(7, 3000);
    transfer.sender.begin(encodeSnapshot(snapshot));
    for (std::uint64_t k = 1; k <= 20; ++k) {
        const auto chunk = transfer.sender.nextChunk(k);
        REQUIRE(chunk);
        transfer.sender.acknowledged(transfer.receiver.accept(3, *chunk)->progress);
    }
    ++transfer.term;
    const std::size_t received = transfer.receiver.bufferedBytes();
    CHECK(received == 2000);
    transfer.sender = SnapshotSender(kSmallSettings);
    SECTION("another leader with the same snapshot") {
        CHECK(transfer.run(snapshot, 1));
        CHECK(transfer.bytes <= snapshot.ByteSizeLong() - received + kSmallSettings.chunkBytes);
    }
    SECTION("the receiver has restarted") {
        transfer.receiver = SnapshotReceiver(kSmallSettings);
        CHECK(transfer.run(snapshot, 1));
        CHECK(transfer.bytes == snapshot.ByteSizeLong());
    }
}

TEST_CASE("The sender starts over if the receiver restarts during a transfer", "[raft][snapshot]") {
    Transfer transfer;
    const proto::Snapshot snapshot = snapshotOf(7, 3000);
    transfer.sender.begin(encodeSnapshot(snapshot));
    std::uint64_t k = 1;
    for (; k <= 20; ++k)
        transfer.sender.acknowledged(transfer.receiver.accept(3, *transfer.sender.nextChunk(k))->progress);
    transfer.receiver = SnapshotReceiver(kSmallSettings);
    transfer.sequence = k;
    CHECK(transfer.run(snapshot, 3));
}

TEST_CASE("A snapshot above the size limit is rejected and resent no faster than the heartbeat",
          "[raft][snapshot]") {
    Transfer transfer;
    CHECK_FALSE(transfer.run(snapshotOf(7, 200000), 20));
    CHECK(transfer.buffered == 0);
    CHECK(transfer.chunks <= 20 * kSmallSettings.windowChunks);
}

TEST_CASE("No more than one window is in flight", "[raft][snapshot]") {
    SnapshotSender sender(kSmallSettings);
    sender.begin(encodeSnapshot(snapshotOf(7, 3000)));
    SnapshotReceiver receiver(kSmallSettings);
    const auto first = sender.nextChunk(1);
    REQUIRE(first);
    CHECK_FALSE(sender.nextChunk(2));
    sender.acknowledged(receiver.accept(3, *first)->progress);
    for (std::uint64_t k = 2; k < 2 + kSmallSettings.windowChunks; ++k) CHECK(sender.nextChunk(k));
    CHECK_FALSE(sender.nextChunk(9));
}

TEST_CASE("Compaction bounds the log and what snapshots write", "[raft][snapshot]") {
    struct Load {
        std::size_t state, change;
    };
    const auto load = GENERATE(Load{2000, 100}, Load{200000, 100}, Load{200000, 200000}, Load{1000000, 2000},
                               Load{8000000, 100}, Load{8000000, 8000000});
    CAPTURE(load.state, load.change);
    CompactionPolicy policy;
    std::size_t written = 0, log = 0, maxLogBytes = 0;
    constexpr std::size_t kChanges = 10000;
    for (std::size_t k = 0; k < kChanges; ++k) {
        log += load.change;
        maxLogBytes = std::max(maxLogBytes, log);
        if (!policy.applied(load.change)) continue;
        policy.compacted(load.state);
        written += load.state;
        log = 0;
    }
    CHECK(maxLogBytes <= std::max(CompactionPolicy::kMinLogBytes, 2 * load.state) + load.change);
    CHECK(written > 0);
    CHECK(written / kChanges <= load.change / 2 + CompactionPolicy::kSnapshotBytesPerEntry + 1000);
}
