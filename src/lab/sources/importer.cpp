#include "sources/importer.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <numeric>

namespace marldale::sources {
namespace {

constexpr std::size_t kSniffed = 512;  // bytes that tell HAR from lines

std::uint64_t hashOf(std::string_view text, std::uint64_t seed = 0) {
    const std::uint64_t hash = text.empty() ? 0 : XXH64(text.data(), text.size(), seed);
    return text.empty() || hash != 0 ? hash : 1;  // 0 stands for nothing
}

// Bytes that were read to see what they are, and the rest.
class Sniffed : public ByteSource {
public:
    explicit Sniffed(std::unique_ptr<ByteSource> inner) : inner_(std::move(inner)), first_(kSniffed, 0) {
        std::size_t size = 0;
        try {
            while (size < first_.size()) {
                const std::size_t got = inner_->read(first_.data() + size, first_.size() - size);
                if (got == 0) break;
                size += got;
            }
        } catch (const SourceError& e) {
            error_ = e.what();
        }
        first_.resize(size);
    }
    [[nodiscard]] const std::string& first() const { return first_; }
    std::size_t read(char* into, std::size_t room) override {
        if (at_ < first_.size()) {
            const std::size_t size = std::min(room, first_.size() - at_);
            first_.copy(into, size, at_);
            at_ += size;
            return size;
        }
        if (!error_.empty()) throw SourceError(error_);
        return inner_->read(into, room);
    }
    bool mayGrow() const override { return inner_->mayGrow(); }
    std::uint64_t rotations() const override { return inner_->rotations(); }

private:
    std::unique_ptr<ByteSource> inner_;
    std::string first_, error_;
    std::size_t at_ = 0;
};

// One file: what its reader tells, judged, counted and put in order.
class FileImport : public Sink {
public:
    using Take = std::function<void(trace::Entry&&)>;
    FileImport(const ImportAsk& ask, std::uint32_t index, OverlapGuard& overlap, Take take)
        : ask_(ask),
          rules_(ask.settings.rules),
          overlap_(overlap),
          take_(std::move(take)),
          clock_(
              ask.settings.clock, index,
              [this](trace::Entry&& e, const Place& place) { taken(std::move(e), place); },
              [this](const Place& place) { countLeftOut(place, LeftOut::straggler); }) {
        tally_.name = ask.files[index];
    }

    void run(std::uint32_t index) {
        auto source = std::make_unique<Sniffed>(openSource(ask_.files[index], {ask_.follow}));
        try {
            if (looksLikeHar(source->first())) {
                const HarCounts counts = readHar(*source, index, *this);
                tally_.readBytes = counts.bytes;
            } else {
                lines(*source, index);
            }
        } catch (const SourceError& e) {
            tally_.brokeOff = e.what();
        }
        overlap_.endFile();
        settle();
        clock_.finish();
        tally_.clock = clock_.counts();
        tally_.rotations = source->rotations();
    }
    [[nodiscard]] FileTally tally() const { return tally_; }

    void entry(const Place& place, const Record& record) override {
        countRead(place);
        const std::uint32_t classIndex = rules_.classOf(record);
        if (rules_.leaveOthersOut && classIndex == rules_.other())
            return countLeftOut(place, LeftOut::notChosen);
        ClockKeeper::In in;
        in.place = place;
        in.stamp = record.at;
        in.grain = record.grain;
        in.atEnd = record.atEnd;
        trace::Entry& e = in.entry;
        e.took = record.took;
        const std::string_view path = ask_.settings.keepQueries ? record.target : pathOf(record.target);
        e.client = hashOf(record.client, hashOf(record.user));
        e.target = hashOf(record.target, hashOf(record.method));
        e.requestId = hashOf(record.requestId);
        e.classIndex = classIndex;
        e.answer = record.answer;
        e.upstreamTries = record.upstreamTries;
        e.method = record.method;
        e.host = record.host;
        e.path = path;
        if (held_) {
            waiting_.push_back(std::move(in));
        } else {
            clock_.add(std::move(in));
        }
    }
    void bad(const Place& place, std::string_view why, std::string_view excerpt) override {
        countRead(place);
        ++tally_.bad;
        tally_.badBytes += place.bytes;
        if (ask_.onBad) ask_.onBad({tally_.name, place, why, harmless(excerpt, place.column)});
    }
    void leftOut(const Place& place, LeftOut rule) override {
        countRead(place);
        countLeftOut(place, rule);
    }

private:
    void lines(ByteSource& source, std::uint32_t index) {
        const auto format = formatOf();
        tally_.blind = format->blind().words();
        overlap_.beginFile();
        LineReader reader(source, *format, index);
        reader.onLine = [this](std::string_view text) {
            held_ = overlap_.line(text) == OverlapGuard::Says::held;
            if (!held_) settle();
        };
        do {
            reader.read(*this, !ask_.follow);
            settle();
        } while (ask_.follow && ask_.goOn && ask_.goOn());
        if (ask_.follow) reader.read(*this, true);
    }
    [[nodiscard]] std::unique_ptr<LineFormat> formatOf() const {
        if (ask_.settings.format == "json") return byJson(ask_.settings.json, ask_.settings.assumedOffset);
        std::string wrong;
        auto format = LogFormat::compile(ask_.settings.format, wrong);
        if (!format) throw SourceError("[log] format: " + wrong);
        format->setAssumedOffset(ask_.settings.assumedOffset);
        return byFormat(std::move(*format));
    }
    // What was held is overlap, or was not.
    void settle() {
        const std::vector<bool> verdicts = overlap_.settled();
        if (verdicts.empty()) return;
        const bool isOverlap = verdicts.front();  // all of them have the same fate
        for (ClockKeeper::In& in : std::exchange(waiting_, {})) {
            if (isOverlap) {
                countLeftOut(in.place, LeftOut::overlap);
            } else {
                clock_.add(std::move(in));
            }
        }
    }
    void countRead(const Place& place) {
        ++tally_.read;
        tally_.readBytes += place.bytes;
    }
    void countLeftOut(const Place& place, LeftOut rule) {
        ++tally_.leftOut[static_cast<std::size_t>(rule)];
        tally_.leftOutBytes += place.bytes;
    }
    void taken(trace::Entry&& e, const Place& place) {
        ++tally_.taken;
        tally_.takenBytes += place.bytes;
        take_(std::move(e));
    }

    const ImportAsk& ask_;
    const Rules& rules_;
    OverlapGuard& overlap_;
    const Take take_;
    FileTally tally_;
    ClockKeeper clock_;
    bool held_ = false;
    std::vector<ClockKeeper::In> waiting_;
};

trace::Head headOf(const ImportSettings& settings) {
    trace::Head out;
    for (const ClassRule& rule : settings.rules.classes) out.classes.push_back({rule.name, rule.hasEffect});
    out.classes.push_back({"other", false});
    return out;
}

// The end of the way: chains are joined over all files together, in the order of time.
class Finish {
public:
    Finish(const ImportAsk& ask, trace::Head head)
        : ask_(ask), head_(std::move(head)), joiner_(chainsOf(ask.settings)) {
        if (!ask.to.empty()) writer_ = std::make_unique<trace::Writer>(ask.to, head_);
        counts_.resize(head_.classes.size());
    }
    void add(trace::Entry e) {
        const attempts::Link link =
            joiner_.add({e.at, e.took, e.client, e.target, e.requestId, e.classIndex, e.answer});
        e.chain = link.chain;
        e.number = link.number;
        ++entries_;
        retries_ += link.number > 0 ? 1 : 0;
        ++counts_[e.classIndex];
        if (ask_.onEntry) ask_.onEntry(e, head_.classes[e.classIndex].name);
        if (writer_) writer_->add(std::move(e));
    }
    void finish(ImportResult& out) {
        if (writer_) writer_->finish();
        out.entries = entries_;
        out.retries = retries_;
        out.chains = joiner_.chains();
        for (std::size_t i = 0; i < counts_.size(); ++i)
            out.byClass.emplace_back(head_.classes[i].name, counts_[i]);
    }

private:
    static attempts::ChainSettings chainsOf(const ImportSettings& settings) {
        attempts::ChainSettings out;
        for (const ClassRule& rule : settings.rules.classes) out.byClass.push_back(rule.chain);
        out.byClass.emplace_back();
        out.timestampResolution = 1000000;  // stamps of whole seconds may be among them
        return out;
    }
    const ImportAsk& ask_;
    const trace::Head head_;
    attempts::ChainJoiner joiner_;
    std::unique_ptr<trace::Writer> writer_;
    std::vector<std::uint64_t> counts_;
    std::uint64_t entries_ = 0, retries_ = 0;
};

// Files beside the trace that hold one source each; they go in any case.
class Parts {
public:
    ~Parts() {
        for (const std::string& path : paths) std::remove(path.c_str());
    }
    std::vector<std::string> paths;
};

}  // namespace

std::uint64_t FileTally::allLeftOut() const {
    return std::accumulate(leftOut.begin(), leftOut.end(), std::uint64_t{0});
}

bool FileTally::addsUp() const {
    return read == taken + bad + allLeftOut() && readBytes == takenBytes + badBytes + leftOutBytes;
}

std::uint64_t ImportResult::read() const {
    std::uint64_t out = 0;
    for (const FileTally& f : files) out += f.read;
    return out;
}
std::uint64_t ImportResult::bad() const {
    std::uint64_t out = 0;
    for (const FileTally& f : files) out += f.bad;
    return out;
}
bool ImportResult::addsUp() const {
    std::uint64_t taken = 0;
    for (const FileTally& f : files) taken += f.taken;
    return taken == entries &&
           std::all_of(files.begin(), files.end(), [](const FileTally& f) { return f.addsUp(); });
}

ImportResult importFiles(const ImportAsk& ask) {
    ImportResult out;
    OverlapGuard overlap;
    trace::Head head = headOf(ask.settings);
    const auto noteBlind = [&](const FileTally& tally) {
        for (const std::string& words : tally.blind) {
            if (std::find(head.blind.begin(), head.blind.end(), words) == head.blind.end())
                head.blind.push_back(words);
        }
    };
    const auto run = [&](std::uint32_t index, FileImport::Take take) {
        FileImport file(ask, index, overlap, std::move(take));
        file.run(index);
        out.files.push_back(file.tally());
        noteBlind(out.files.back());
    };
    if (ask.files.size() == 1) {
        // What the format can't tell is known before its first line is read.
        if (ask.settings.format != "json") {
            std::string wrong;
            if (const auto format = LogFormat::compile(ask.settings.format, wrong))
                head.blind = format->blind().words();
        }
        Finish finish(ask, head);
        run(0, [&](trace::Entry&& e) { finish.add(std::move(e)); });
        finish.finish(out);
        return out;
    }
    // Each file for itself, then all of them merged by time.
    Parts parts;
    const std::string beside =
        ask.to.empty()
            ? (std::filesystem::temp_directory_path() / ("marldale-import-" + std::to_string(getpid())))
                  .string()
            : ask.to;
    for (std::uint32_t i = 0; i < ask.files.size(); ++i) {
        parts.paths.push_back(beside + "." + std::to_string(i) + ".source");
        trace::Writer writer(parts.paths.back(), headOf(ask.settings));
        run(i, [&](trace::Entry&& e) { writer.add(std::move(e)); });
        writer.finish();
    }
    trace::Merger merger(parts.paths);
    Finish finish(ask, head);
    trace::Entry entry;
    while (merger.next(entry)) finish.add(std::move(entry));
    finish.finish(out);
    return out;
}

}  // namespace marldale::sources
