// Implementation of the store: LMDB transactions over checksummed records.
#include "gateway/raft/store.h"

#include <fcntl.h>
#include <lmdb.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <random>
#include <string_view>
#include <utility>

#include "absl/status/status.h"
#include "absl/strings/str_cat.h"

namespace marldale::raft {

namespace {

// Format of a record: version, checksum over the key and the bytes, number of bytes, bytes (protobuf, or a
// part of the data of a snapshot or an entry).
//
// Data larger than one part is split into parts, each stored as a separate record. LMDB stores a large value
// in consecutive pages and grows the file if it finds no free run that is long enough. All parts have the
// same size, so the pages that one value frees fit the next.
constexpr unsigned char kRecordVersion = 1;
constexpr std::size_t kHeaderBytes = 1 + 8 + 4;
constexpr const char* kFileName = "raft.mdb";
constexpr const char* kNewFileName = "raft.new";  // until it is complete
const std::string kHeadKey = "head";
const std::string kSnapshotKey = "snapshot";
const std::string kSnapshotPartPrefix = "s";  // followed by the part number
constexpr std::size_t kEntryKeyBytes = 1 + 8;
constexpr std::size_t kPartNumberBytes = 4;
// A whole number of pages including LMDB's header.
constexpr std::size_t kPartBytes = 4 * 4096 - 16 - kHeaderBytes;

template <typename Number>
void appendNumber(std::string& out, Number number, bool bigEndian) {
    for (std::size_t k = 0; k < sizeof(Number); ++k)
        out.push_back(static_cast<char>(number >> (8U * (bigEndian ? sizeof(Number) - 1 - k : k))));
}
template <typename Number>
Number readNumber(std::string_view in, std::size_t from) {
    Number number = 0;
    for (std::size_t k = 0; k < sizeof(Number); ++k)
        number |= static_cast<Number>(static_cast<unsigned char>(in[from + k])) << (8U * k);
    return number;
}
std::string entryKey(Index index) {
    std::string key = "e";
    appendNumber(key, index, true);
    return key;
}
std::string partKey(std::string key, std::uint32_t part) {
    appendNumber(key, part, true);
    return key;
}
bool isEntryKey(std::string_view key) { return key.size() == kEntryKeyBytes && key[0] == 'e'; }
// Whether a key belongs to an entry or to a part of one.
bool isEntryOrPartKey(std::string_view key) {
    return isEntryKey(key) || (key.size() == kEntryKeyBytes + kPartNumberBytes && key[0] == 'e');
}
std::string recordName(std::string_view key) {
    if (!isEntryOrPartKey(key))
        return key.size() == 1 + kPartNumberBytes ? "a part of the snapshot" : std::string(key);
    Index index = 0;
    for (std::size_t k = 1; k < 9; ++k) index = index << 8U | static_cast<unsigned char>(key[k]);
    return absl::StrCat("entry ", index);
}
std::uint64_t checksum(std::string_view key, std::string_view bytes) {
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), XXH3_64bits(key.data(), key.size()));
}

// Maps error codes of LMDB and the system to a status. ResourceExhausted errors may succeed later.
absl::Status statusOf(int code, const std::string& action, const std::string& path) {
    const std::string what = absl::StrCat("the log at ", path, ": ", action, ": ");
    switch (code) {
        case 0: return absl::OkStatus();
        case MDB_MAP_FULL:
            return absl::ResourceExhaustedError(absl::StrCat(what, "it has reached its maximum size"));
        case ENOSPC:
        case EFBIG:
        case EDQUOT: return absl::ResourceExhaustedError(absl::StrCat(what, "the disk is full"));
        case MDB_INVALID:
        case MDB_VERSION_MISMATCH:
            return absl::DataLossError(absl::StrCat(what, "not a raft log, or its first page is damaged"));
        case MDB_CORRUPTED:
        case MDB_PAGE_NOTFOUND: return absl::DataLossError(absl::StrCat(what, "a page is damaged"));
        case EACCES:
        case EPERM:
        case EROFS: return absl::PermissionDeniedError(absl::StrCat(what, "permission denied"));
        default: return absl::UnavailableError(absl::StrCat(what, mdb_strerror(code)));
    }
}

absl::Status syncFolder(const std::string& folder) {
    const int fd = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (fd < 0) return statusOf(errno, "opening the folder", folder);
    const int code = ::fsync(fd) == 0 ? 0 : errno;
    ::close(fd);
    return statusOf(code, "syncing the folder", folder);
}

}  // namespace

struct Store::State {
    std::string path;
    std::size_t mapBytes = 0;
    MDB_env* env = nullptr;
    MDB_dbi dbi = 0;
    proto::DiskHead head;

    ~State() { close(); }
    void close() {
        if (env != nullptr) mdb_env_close(env);
        env = nullptr;
    }
    absl::Status fail(int code, const char* action) const { return statusOf(code, action, path); }
    absl::Status dataLoss(const std::string& what) const {
        return absl::DataLossError(absl::StrCat("the log at ", path, ": ", what));
    }

    absl::Status openEnvironment() {
        close();
        int code = mdb_env_create(&env);
        if (code == 0) code = mdb_env_set_mapsize(env, mapBytes);
        // No lock file is needed: one process with one writing thread. The root page is written without
        // O_DSYNC; `write` syncs it.
        if (code == 0)
            code = mdb_env_open(env, path.c_str(), MDB_NOSUBDIR | MDB_NOLOCK | MDB_NORDAHEAD | MDB_NOMETASYNC,
                                0644);
        MDB_txn* txn = nullptr;
        if (code == 0) code = mdb_txn_begin(env, nullptr, MDB_RDONLY, &txn);
        if (code == 0) code = mdb_dbi_open(txn, nullptr, 0, &dbi);
        if (txn != nullptr) mdb_txn_abort(txn);
        if (code != 0) close();
        return fail(code, "opening");
    }

    static int putRecord(MDB_txn* txn, MDB_dbi dbi, const std::string& key,
                         const google::protobuf::MessageLite& message) {
        return putBytes(txn, dbi, key, message.SerializeAsString());
    }
    static int putParts(MDB_txn* txn, MDB_dbi dbi, const std::string& key, std::string_view data) {
        int code = 0;
        for (std::uint32_t part = 0; code == 0 && !data.empty(); ++part) {
            code = putBytes(txn, dbi, partKey(key, part), data.substr(0, kPartBytes));
            data.remove_prefix(std::min(kPartBytes, data.size()));
        }
        return code;
    }
    static int putBytes(MDB_txn* txn, MDB_dbi dbi, const std::string& key, std::string_view bytes) {
        std::string record;
        record.reserve(kHeaderBytes + bytes.size());
        record.push_back(static_cast<char>(kRecordVersion));
        appendNumber(record, checksum(key, bytes), false);
        appendNumber(record, static_cast<std::uint32_t>(bytes.size()), false);
        record += bytes;
        MDB_val k{key.size(), const_cast<char*>(key.data())};
        MDB_val v{record.size(), record.data()};
        return mdb_put(txn, dbi, &k, &v, 0);
    }
    absl::Status parse(std::string_view key, std::string_view record,
                       google::protobuf::MessageLite& into) const {
        const auto bytes = verified(key, record);
        if (!bytes.ok()) return bytes.status();
        if (!into.ParseFromArray(bytes->data(), static_cast<int>(bytes->size())))
            return dataLoss(absl::StrCat(recordName(key), " cannot be parsed"));
        return absl::OkStatus();
    }
    // The bytes of a record, after its version, length and checksum were verified.
    absl::StatusOr<std::string_view> verified(std::string_view key, std::string_view record) const {
        const std::string name = recordName(key);
        if (record.size() < kHeaderBytes)
            return dataLoss(absl::StrCat(name, " is truncated: ", record.size(), " bytes"));
        if (static_cast<unsigned char>(record[0]) != kRecordVersion)
            return dataLoss(absl::StrCat(name, " has version ",
                                         static_cast<unsigned>(static_cast<unsigned char>(record[0])),
                                         ", expected version ", static_cast<unsigned>(kRecordVersion)));
        const std::string_view bytes = record.substr(kHeaderBytes);
        if (readNumber<std::uint32_t>(record, 9) != bytes.size())
            return dataLoss(absl::StrCat(name, " has ", bytes.size(), " bytes, but its header says ",
                                         readNumber<std::uint32_t>(record, 9)));
        if (readNumber<std::uint64_t>(record, 1) != checksum(key, bytes))
            return dataLoss(absl::StrCat(name, " does not match its checksum"));
        return bytes;
    }
    // Appends the parts of `key` to `data`, which must then have `size` bytes. Leaves the cursor at the last
    // part.
    absl::Status readParts(MDB_cursor* cursor, const std::string& key, std::size_t size,
                           std::string& data) const {
        data.reserve(size);
        for (std::uint32_t part = 0; data.size() < size; ++part) {
            const std::string wanted = partKey(key, part);
            MDB_val k{wanted.size(), const_cast<char*>(wanted.data())};
            MDB_val v{};
            const int code = mdb_cursor_get(cursor, &k, &v, MDB_SET_KEY);
            if (code == MDB_NOTFOUND)
                return dataLoss(absl::StrCat(recordName(wanted), ": part ", part, " is missing"));
            if (code != 0) return fail(code, "reading");
            const auto bytes = verified(wanted, {static_cast<const char*>(v.mv_data), v.mv_size});
            if (!bytes.ok()) return bytes.status();
            data += *bytes;
        }
        if (data.size() != size)
            return dataLoss(
                absl::StrCat(recordName(key), " has ", data.size(), " bytes of data instead of ", size));
        return absl::OkStatus();
    }
    // Returns false if there is no such record.
    absl::StatusOr<bool> getRecord(MDB_txn* txn, const std::string& key,
                                   google::protobuf::MessageLite& into) const {
        MDB_val k{key.size(), const_cast<char*>(key.data())};
        MDB_val v{};
        const int code = mdb_get(txn, dbi, &k, &v);
        if (code == MDB_NOTFOUND) return false;
        if (code != 0) return fail(code, "reading");
        if (auto s = parse(key, {static_cast<const char*>(v.mv_data), v.mv_size}, into); !s.ok()) return s;
        return true;
    }

    absl::Status loadHead(MDB_txn* txn, proto::DiskHead& found) const {
        const auto exists = getRecord(txn, kHeadKey, found);
        if (!exists.ok()) return exists.status();
        if (!*exists) return dataLoss("the head record is missing");
        if (found.transaction() != mdb_txn_id(txn))
            return dataLoss(absl::StrCat("the root page is inconsistent: transaction ", mdb_txn_id(txn),
                                         ", but the head record names ", found.transaction()));
        return absl::OkStatus();
    }
    absl::Status loadCurrentHead() {
        MDB_txn* txn = nullptr;
        if (const int code = mdb_txn_begin(env, nullptr, MDB_RDONLY, &txn); code != 0)
            return fail(code, "reading");
        auto status = loadHead(txn, head);
        mdb_txn_abort(txn);
        return status;
    }
    absl::Status reopen() {
        auto status = openEnvironment();
        return status.ok() ? loadCurrentHead() : status;
    }
    absl::Status loadSnapshot(MDB_txn* txn, MDB_cursor* cursor, proto::Snapshot& snapshot) const {
        proto::DiskSnapshot record;
        const auto exists = getRecord(txn, kSnapshotKey, record);
        if (!exists.ok()) return exists.status();
        snapshot.set_term(record.term());
        snapshot.set_index(record.index());
        if (record.has_members()) *snapshot.mutable_members() = record.members();
        *snapshot.mutable_data() = std::move(*record.mutable_data());
        if (record.parts_bytes() == 0) return absl::OkStatus();
        return readParts(cursor, kSnapshotPartPrefix, record.parts_bytes(), *snapshot.mutable_data());
    }
    // Returns the index of the last entry.
    absl::StatusOr<Index> loadEntries(MDB_cursor* cursor, PersistentState& into) const {
        const std::string first = entryKey(0);
        MDB_val k{first.size(), const_cast<char*>(first.data())};
        MDB_val v{};
        Index last = into.snapshot.index();
        int code = mdb_cursor_get(cursor, &k, &v, MDB_SET_RANGE);
        for (; code == 0; code = mdb_cursor_get(cursor, &k, &v, MDB_NEXT)) {
            const std::string key(static_cast<const char*>(k.mv_data), k.mv_size);
            if (!isEntryKey(key)) break;
            proto::DiskEntry record;
            if (auto s = parse(key, {static_cast<const char*>(v.mv_data), v.mv_size}, record); !s.ok())
                return s;
            auto& entry = into.entries.emplace_back();
            if (auto s = loadEntry(cursor, key, std::move(record), entry); !s.ok()) return s;
            if (entry.index() != last + 1 || key != entryKey(entry.index()))
                return dataLoss(absl::StrCat("index ", last, " is followed by ", recordName(key),
                                             ", which contains index ", entry.index()));
            last = entry.index();
        }
        if (code != 0 && code != MDB_NOTFOUND) return fail(code, "reading");
        return last;
    }
    absl::Status loadEntry(MDB_cursor* cursor, const std::string& key, proto::DiskEntry record,
                           proto::Entry& entry) const {
        entry.set_term(record.term());
        entry.set_index(record.index());
        entry.set_kind(static_cast<proto::Entry::Kind>(record.kind()));
        *entry.mutable_data() = std::move(*record.mutable_data());
        if (record.has_members()) *entry.mutable_members() = record.members();
        if (record.has_outgoing()) *entry.mutable_outgoing() = record.outgoing();
        if (record.parts_bytes() == 0) return absl::OkStatus();
        return readParts(cursor, key, record.parts_bytes(), *entry.mutable_data());
    }
    absl::StatusOr<PersistentState> load() const {
        MDB_txn* txn = nullptr;
        if (const int code = mdb_txn_begin(env, nullptr, MDB_RDONLY, &txn); code != 0)
            return fail(code, "reading");
        const std::unique_ptr<MDB_txn, void (*)(MDB_txn*)> guard(txn, mdb_txn_abort);
        proto::DiskHead found;
        if (auto s = loadHead(txn, found); !s.ok()) return s;
        PersistentState out;
        out.self = found.self();
        out.term = found.term();
        if (found.has_voted()) out.votedFor = found.voted();
        MDB_cursor* cursor = nullptr;
        if (const int code = mdb_cursor_open(txn, dbi, &cursor); code != 0) return fail(code, "reading");
        const std::unique_ptr<MDB_cursor, void (*)(MDB_cursor*)> cursorGuard(cursor, mdb_cursor_close);
        if (auto s = loadSnapshot(txn, cursor, out.snapshot); !s.ok()) return s;
        if (out.snapshot.index() != found.snapshot_index())
            return dataLoss(absl::StrCat("the snapshot has index ", out.snapshot.index(), ", expected ",
                                         found.snapshot_index()));
        const auto loaded = loadEntries(cursor, out);
        if (!loaded.ok()) return loaded.status();
        const Index last = *loaded;
        if (last != found.last_index())
            return dataLoss(absl::StrCat("the log ends at index ", last, ", but the head record names ",
                                         found.last_index()));
        return out;
    }

    // Deletes the entries from `from` through `through` and their parts.
    static int deleteEntries(MDB_txn* txn, MDB_dbi dbi, Index from, Index through) {
        if (from > through) return 0;
        MDB_cursor* cursor = nullptr;
        int code = mdb_cursor_open(txn, dbi, &cursor);
        if (code != 0) return code;
        const std::string key = entryKey(from);
        const std::string end = entryKey(through);
        MDB_val k{key.size(), const_cast<char*>(key.data())};
        MDB_val v{};
        code = mdb_cursor_get(cursor, &k, &v, MDB_SET_RANGE);
        while (code == 0) {
            const std::string_view at(static_cast<const char*>(k.mv_data), k.mv_size);
            if (!isEntryOrPartKey(at) || at.substr(0, kEntryKeyBytes) > end) break;
            code = mdb_cursor_del(cursor, 0);
            if (code == 0) code = mdb_cursor_get(cursor, &k, &v, MDB_NEXT);
        }
        mdb_cursor_close(cursor);
        return code == MDB_NOTFOUND ? 0 : code;
    }

    static int deleteSnapshotParts(MDB_txn* txn, MDB_dbi dbi) {
        int code = 0;
        for (std::uint32_t part = 0; code == 0; ++part) {
            const std::string key = partKey(kSnapshotPartPrefix, part);
            MDB_val k{key.size(), const_cast<char*>(key.data())};
            code = mdb_del(txn, dbi, &k, nullptr);
        }
        return code == MDB_NOTFOUND ? 0 : code;
    }
    static int putSnapshot(MDB_txn* txn, MDB_dbi dbi, const proto::Snapshot& snapshot) {
        proto::DiskSnapshot record;
        record.set_term(snapshot.term());
        record.set_index(snapshot.index());
        if (snapshot.has_members()) *record.mutable_members() = snapshot.members();
        record.set_parts_bytes(snapshot.data().size());
        int code = deleteSnapshotParts(txn, dbi);
        if (code == 0) code = putRecord(txn, dbi, kSnapshotKey, record);
        return code == 0 ? putParts(txn, dbi, kSnapshotPartPrefix, snapshot.data()) : code;
    }
    static int putEntry(MDB_txn* txn, MDB_dbi dbi, const proto::Entry& entry) {
        const std::string key = entryKey(entry.index());
        if (entry.data().size() <= kPartBytes) return putRecord(txn, dbi, key, entry);
        proto::DiskEntry record;
        record.set_term(entry.term());
        record.set_index(entry.index());
        record.set_kind(entry.kind());
        if (entry.has_members()) *record.mutable_members() = entry.members();
        if (entry.has_outgoing()) *record.mutable_outgoing() = entry.outgoing();
        record.set_parts_bytes(entry.data().size());
        const int code = putRecord(txn, dbi, key, record);
        return code == 0 ? putParts(txn, dbi, key, entry.data()) : code;
    }

    int applyWrite(MDB_txn* txn, const Write& write, proto::DiskHead& next) const {
        int code = 0;
        if (write.hasHardState) {
            next.set_term(write.term);
            next.clear_voted();
            if (write.votedFor) *next.mutable_voted() = *write.votedFor;
        }
        if (write.truncateFrom && code == 0) {
            code = deleteEntries(txn, dbi, *write.truncateFrom, ~Index{0});
            next.set_last_index(std::min(next.last_index(), *write.truncateFrom - 1));
        }
        if (write.snapshot && code == 0) {
            code = deleteEntries(txn, dbi, 0, write.snapshot->index());
            if (code == 0) code = putSnapshot(txn, dbi, *write.snapshot);
            next.set_snapshot_index(write.snapshot->index());
            next.set_last_index(std::max(next.last_index(), write.snapshot->index()));
        }
        for (const auto& entry : write.entries) {
            if (code != 0) break;
            code = putEntry(txn, dbi, entry);
            next.set_last_index(entry.index());
        }
        next.set_transaction(mdb_txn_id(txn));
        if (code == 0) code = putRecord(txn, dbi, kHeadKey, next);
        return code;
    }

    absl::Status write(const Write& write) {
        auto status = writeOnce(write);
        // LMDB reuses the pages freed by a transaction only from the second following transaction on. If the
        // file cannot grow, empty transactions make these pages available.
        for (int k = 0; k < 2 && absl::IsResourceExhausted(status); ++k) {
            if (!writeOnce({}).ok()) return status;
            status = writeOnce(write);
        }
        return status;
    }
    absl::Status writeOnce(const Write& write) {
        if (env == nullptr)
            if (auto s = reopen(); !s.ok()) return s;
        MDB_txn* txn = nullptr;
        int code = mdb_txn_begin(env, nullptr, 0, &txn);
        if (code == MDB_PANIC) {
            // The previous write of the root page failed. Reopening continues from the root before it.
            if (auto s = reopen(); !s.ok()) return s;
            code = mdb_txn_begin(env, nullptr, 0, &txn);
        }
        if (code != 0) return fail(code, "writing");
        proto::DiskHead next = head;
        code = applyWrite(txn, write, next);
        if (code != 0) {
            mdb_txn_abort(txn);
            return fail(code, "writing");
        }
        // LMDB syncs the data pages and then writes the root page, which is synced separately below.
        code = mdb_txn_commit(txn);
        if (code != 0) return fail(code, "writing");
        head = next;  // in the file, maybe not durable yet; repeating the write gives the same result
        return fail(mdb_env_sync(env, 1), "syncing");
    }
};

Store::Store(std::unique_ptr<State> state) : state_(std::move(state)) {}
Store::~Store() = default;

absl::StatusOr<std::unique_ptr<Store>> Store::open(const std::string& folder, const std::string& address,
                                                   bool firstRun, bool seed, std::size_t mapBytes) {
    if (::mkdir(folder.c_str(), 0755) != 0 && errno != EEXIST)
        return statusOf(errno, "creating the folder", folder);
    const std::string path = absl::StrCat(folder, "/", kFileName);
    auto state = std::make_unique<State>();
    state->mapBytes = mapBytes;
    if (::access(path.c_str(), F_OK) != 0) {
        if (errno != ENOENT) return statusOf(errno, "checking for the file", path);
        // Created under another name and renamed, so that a power loss leaves either a complete file or none.
        const std::string newPath = absl::StrCat(folder, "/", kNewFileName);
        if (::unlink(newPath.c_str()) != 0 && errno != ENOENT)
            return statusOf(errno, "removing the incomplete file", newPath);
        state->path = newPath;
        if (auto s = state->openEnvironment(); !s.ok()) return s;
        auto* self = state->head.mutable_self();
        self->set_address(address);
        if (!(firstRun && seed)) {
            std::random_device device;
            std::uint64_t number = 0;
            while (number == 0) number = std::uint64_t{device()} << 32U | device();
            self->set_number(number);
        }
        if (auto s = state->write({}); !s.ok()) return s;
        state->close();
        if (::rename(newPath.c_str(), path.c_str()) != 0)
            return statusOf(errno, "renaming the new file", path);
        if (auto s = syncFolder(folder); !s.ok()) return s;
    }
    state->path = path;
    if (auto s = state->reopen(); !s.ok()) return s;
    // A killed process may have left a root page that is not durable yet. It is synced before its content is
    // used.
    if (auto s = state->fail(mdb_env_sync(state->env, 1), "syncing"); !s.ok()) return s;
    if (state->head.self().address() != address)
        return absl::FailedPreconditionError(absl::StrCat("the log at ", path, " belongs to the machine ",
                                                          state->head.self().address(), ", not to ",
                                                          address));
    return std::unique_ptr<Store>(new Store(std::move(state)));
}

absl::StatusOr<PersistentState> Store::load() const { return state_->load(); }

absl::Status Store::write(const Write& write) { return state_->write(write); }

}  // namespace marldale::raft
