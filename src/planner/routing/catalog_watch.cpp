#include "routing/catalog_watch.h"

namespace marldale::routing {
namespace {

constexpr int kHttpOk = 200;

}  // namespace

CatalogWatch::CatalogWatch(transport::Loop& loop, transport::Address discovery, std::uint64_t knownRev,
                           std::uint64_t seed, std::function<bool(Input)> post, Logger log)
    : loop_(loop),
      discovery_(std::move(discovery)),
      post_(std::move(post)),
      log_(std::move(log)),
      backoff_(seed),
      again_(loop, [this] { watch(); }),
      rev_(knownRev) {
    watch();
}

CatalogWatch::~CatalogWatch() {
    for (auto* stream : {&watch_, &old_}) {
        if (*stream) (*stream)->get->cancel();
    }
    if (list_) list_->cancel();
}

void CatalogWatch::watch() {
    if (inDoubt_) fetchList();
    watch_ = std::make_unique<Stream>();
    Stream* const stream = watch_.get();
    transport::HttpGet::Handlers handlers;
    handlers.piece = [this, stream](std::string_view bytes) {
        if (!stream->reader.feed(bytes,
                                 [this, stream](std::string_view line) { return onLine(stream, line); })) {
            lost(stream, "a line without an end");
        }
    };
    handlers.ended = [this, stream](transport::HttpEnd how, int status, std::string_view) {
        lost(stream, how == transport::HttpEnd::answered && status != kHttpOk
                         ? "status " + std::to_string(status)
                         : transport::name(how));
    };
    // The answer's first piece may be the empty line of a quiet list.
    const transport::HttpLimits limits{limits::kWatchSilence, limits::kWatchSilence, limits::kListMost};
    stream->get = std::make_unique<transport::HttpGet>(loop_, discovery_, protocol::catalogWatchPath(rev_),
                                                       limits, std::move(handlers));
}

void CatalogWatch::moveTo(const transport::Address& discovery) {
    discovery_ = discovery;
    if (watch_ && watch_->live) {
        drop(old_);
        old_ = std::move(watch_);
    }
    drop(watch_);
    backoff_.succeeded();
    again_.after(transport::Millis{0});
}

void CatalogWatch::drop(std::unique_ptr<Stream>& stream) {
    if (!stream) return;
    stream->get->cancel();
    loop_.bury(std::move(stream));
}

void CatalogWatch::lost(const Stream* stream, const std::string& why) {
    if (stream == old_.get()) return drop(old_);
    if (backoff_.failures() == 0) log_("discovery", "the watch has ended: " + why);
    drop(watch_);
    again_.after(backoff_.failed());
}

// Both watches may tell of the same change while we move; the version says which was first.
bool CatalogWatch::onLine(Stream* stream, std::string_view line) {
    stream->live = true;
    if (stream == watch_.get()) {
        if (const int failures = backoff_.succeeded(); failures > 0) {
            log_("discovery", "the watch stands again, after " + std::to_string(failures) + " failures");
        }
        drop(old_);
    }
    if (line.empty()) return true;
    const auto news = protocol::parseCatalog(line);
    if (!news) {
        inDoubt_ = true;
        lost(stream, "a line that can't be read");
        return false;
    }
    if (give(*news)) return true;
    lost(stream, "no room for the list");
    return false;
}

bool CatalogWatch::give(const protocol::CatalogNews& news) {
    if (news.unreadable > 0) {
        log_("discovery", std::to_string(news.unreadable) + " entries can't be read and are left out");
    }
    if (!post_(ListInput{news, false})) {
        inDoubt_ = true;
        return false;
    }
    rev_ = std::max(rev_, news.rev);
    return true;
}

void CatalogWatch::fetchList() {
    if (list_) return;
    transport::HttpGet::Handlers handlers;
    handlers.ended = [this](transport::HttpEnd how, int status, std::string_view body) {
        onList(how, status, body);
    };
    const transport::HttpLimits limits{limits::kListAnswer, limits::kListAnswer, limits::kListMost};
    list_ = std::make_unique<transport::HttpGet>(loop_, discovery_, protocol::catalogPath(), limits,
                                                 std::move(handlers));
}

void CatalogWatch::onList(transport::HttpEnd how, int status, std::string_view body) {
    list_->cancel();
    loop_.bury(std::move(list_));
    const auto news = how == transport::HttpEnd::answered && status == kHttpOk ? protocol::parseCatalog(body)
                                                                               : std::nullopt;
    if (!news) return log_("discovery", std::string("the list can't be had: ") + transport::name(how));
    inDoubt_ = !give(*news);
}

}  // namespace marldale::routing
