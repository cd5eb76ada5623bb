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
      rev_(knownRev),
      reader_(limits::kListMost) {
    watch();
}

CatalogWatch::~CatalogWatch() {
    for (auto* get : {&watch_, &list_}) {
        if (*get) (*get)->cancel();
    }
}

void CatalogWatch::watch() {
    if (inDoubt_) fetchList();
    reader_ = protocol::LineReader(limits::kListMost);
    transport::HttpGet::Handlers handlers;
    handlers.piece = [this](std::string_view bytes) {
        if (!reader_.feed(bytes, [this](std::string_view line) { return onLine(line); })) {
            lost("a line without an end");
        }
    };
    handlers.ended = [this](transport::HttpEnd how, int status, std::string_view) {
        lost(how == transport::HttpEnd::answered && status != kHttpOk ? "status " + std::to_string(status)
                                                                      : transport::name(how));
    };
    // The answer's first piece may be the empty line of a quiet list.
    const transport::HttpLimits limits{limits::kWatchSilence, limits::kWatchSilence, limits::kListMost};
    watch_ = std::make_unique<transport::HttpGet>(loop_, discovery_, protocol::catalogWatchPath(rev_), limits,
                                                  std::move(handlers));
}

void CatalogWatch::lost(const std::string& why) {
    if (backoff_.failures() == 0) log_("discovery", "the watch has ended: " + why);
    if (watch_) {
        watch_->cancel();
        loop_.bury(std::move(watch_));
    }
    again_.after(backoff_.failed());
}

bool CatalogWatch::onLine(std::string_view line) {
    if (const int failures = backoff_.succeeded(); failures > 0) {
        log_("discovery", "the watch stands again, after " + std::to_string(failures) + " failures");
    }
    if (line.empty()) return true;
    const auto news = protocol::parseCatalog(line);
    if (!news) {
        inDoubt_ = true;
        lost("a line that can't be read");
        return false;
    }
    return give(*news);
}

bool CatalogWatch::give(const protocol::CatalogNews& news) {
    if (news.unreadable > 0) {
        log_("discovery", std::to_string(news.unreadable) + " entries can't be read and are left out");
    }
    if (!post_(ListInput{news, false})) {
        inDoubt_ = true;
        lost("no room for the list");
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
    inDoubt_ = false;
    give(*news);
}

}  // namespace marldale::routing
