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
    // From here on the list is had there. The old watch stays until the new one has said something.
    void moveTo(const transport::Address& discovery);

private:
    struct Stream {
        protocol::LineReader reader{limits::kListMost};
        std::unique_ptr<transport::HttpGet> get;
        bool live = false;  // it has said something
    };

    void watch();
    void lost(const Stream* stream, const std::string& why);
    void drop(std::unique_ptr<Stream>& stream);
    bool onLine(Stream* stream, std::string_view line);
    bool give(const protocol::CatalogNews& news);
    void onList(transport::HttpEnd how, int status, std::string_view body);

    transport::Loop& loop_;
    transport::Address discovery_;
    const std::function<bool(Input)> post_;
    const Logger log_;
    Backoff backoff_;
    transport::Timer again_;
    std::uint64_t rev_;
    bool inDoubt_ = false;  // a part could not be read: the next thing asked for is the whole list
    std::unique_ptr<Stream> watch_, old_;  // the old one leads to an address that is no longer ours
    std::unique_ptr<transport::HttpGet> list_;
};

}  // namespace marldale::routing
