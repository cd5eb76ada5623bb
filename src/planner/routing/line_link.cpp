#include "routing/line_link.h"

#include "routing/limits.h"

namespace marldale::routing {

LineLink::LineLink(transport::Loop& loop, transport::Address to, std::size_t lineMost, std::size_t outputMost,
                   Handlers handlers)
    : loop_(loop),
      to_(std::move(to)),
      lineMost_(lineMost),
      outputMost_(outputMost),
      handlers_(std::move(handlers)),
      reader_(lineMost) {}

void LineLink::dial() {
    drop();
    reader_ = protocol::LineReader(lineMost_);
    transport::Connection::Handlers handlers;
    handlers.connected = handlers_.up;
    handlers.received = [this](std::string_view bytes) {
        if (!reader_.feed(bytes, handlers_.line)) handlers_.lost("a line without an end");
    };
    handlers.ended = [this](transport::Ended how) { handlers_.lost(transport::name(how)); };
    connection_ =
        std::make_unique<transport::Connection>(loop_, to_, limits::kDial, outputMost_, std::move(handlers));
}

void LineLink::drop() {
    if (!connection_) return;
    connection_->close();
    loop_.bury(std::move(connection_));
}

}  // namespace marldale::routing
