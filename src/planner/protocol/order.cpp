#include "protocol/order.h"

#include <array>
#include <charconv>

namespace marldale::protocol {
namespace {

// In plain digits: not every reader of orders knows exponents.
std::string digits(float value) {
    std::array<char, 64> text{};
    const auto end =
        std::to_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed).ptr;
    return {text.data(), end};
}

std::string tableName(TableId table) { return table == kAllTables ? "*" : std::to_string(table); }

std::string classNames(ClassMask mask, const std::vector<std::string>& classes) {
    if (mask == 0) return "*";
    std::string out;
    for (std::size_t k = 0; k < classes.size(); ++k) {
        if ((mask >> k & 1U) != 0) out += (out.empty() ? "" : "+") + classes[k];
    }
    return out;
}

struct Writer {
    const std::vector<std::string>& classes;
    std::string operator()(const LineOrder& o) const {
        return "share," + tableName(o.table) + ',' + o.server + ',' + digits(o.weight);
    }
    std::string operator()(const ClearOrder& o) const { return "clear," + tableName(o.table); }
    std::string operator()(const BindOrder& o) const {
        return "bind," + std::to_string(o.proxy) + ',' + tableName(o.table) + ',' +
               classNames(o.classes, classes);
    }
    std::string operator()(const ShutOrder& o) const { return (o.out ? "withdraw," : "restore,") + o.server; }
    std::string operator()(const LevelOrder& o) const {
        return "admit," + tableName(o.table) + ',' + classNames(o.classes, classes) + ',' + digits(o.limit) +
               ',' + std::to_string(o.retryMode);
    }
    std::string operator()(const MarkOrder& o) const {
        return "mark," + std::to_string(o.mark) + (o.everyProxy ? ",1" : ",0");
    }
};

}  // namespace

std::string orderText(const Order& order, const std::vector<std::string>& classes) {
    return std::visit(Writer{classes}, order);
}

}  // namespace marldale::protocol
