// Discovery's list: a watch that is resumed at the last version, and the whole list when in doubt.
#pragma once

#include <functional>
#include <memory>

#include "protocol/catalog.h"
#include "protocol/lines.h"
#include "routing/backoff.h"
#include "routing/logger.h"
#include "routing/translator.h"
#include "transport/http_get.h"

namespace marldale::routing {

class CatalogWatch {
public:
    CatalogWatch(transport::Loop& loop, transport::Address discovery, std::uint64_t knownRev,
                 std::uint64_t seed, std::function<bool(Input)> post, Logger log);
    ~CatalogWatch();
    CatalogWatch(const CatalogWatch&) = delete;
    CatalogWatch& operator=(const CatalogWatch&) = delete;

    void fetchList();

private:
    void watch();
    void lost(const std::string& why);
    bool onLine(std::string_view line);
    bool give(const protocol::CatalogNews& news);
    void onList(transport::HttpEnd how, int status, std::string_view body);

    transport::Loop& loop_;
    const transport::Address discovery_;
    const std::function<bool(Input)> post_;
    const Logger log_;
    Backoff backoff_;
    transport::Timer again_;
    std::uint64_t rev_;
    bool inDoubt_ = false;  // a part could not be read: the next thing asked for is the whole list
    protocol::LineReader reader_;
    std::unique_ptr<transport::HttpGet> watch_, list_;
};

}  // namespace marldale::routing
