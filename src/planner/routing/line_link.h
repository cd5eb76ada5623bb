// A dialled connection that speaks lines, dialled anew by its owner whenever it is lost.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "protocol/lines.h"
#include "transport/connection.h"

namespace marldale::routing {

class LineLink {
public:
    struct Handlers {
        std::function<void()> up;
        std::function<bool(std::string_view)> line;  // false: no more lines of this connection are wanted
        std::function<void(const std::string& why)> lost;
    };

    LineLink(transport::Loop& loop, transport::Address to, std::size_t lineMost, std::size_t outputMost,
             Handlers handlers);
    ~LineLink() { drop(); }
    LineLink(const LineLink&) = delete;
    LineLink& operator=(const LineLink&) = delete;

    void dial();
    void moveTo(transport::Address to) { to_ = std::move(to); }  // holds from the next dial on
    void drop();  // without a word to the owner; also from within its handlers
    [[nodiscard]] bool say(std::string_view line) { return connection_ && connection_->write(line); }

private:
    transport::Loop& loop_;
    transport::Address to_;
    const std::size_t lineMost_, outputMost_;
    const Handlers handlers_;
    protocol::LineReader reader_;
    std::unique_ptr<transport::Connection> connection_;
};

}  // namespace marldale::routing
