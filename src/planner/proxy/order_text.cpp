#include "proxy/order_text.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>

namespace marldale::proxy {
namespace {

constexpr std::uint8_t kRetryModeMost = 3;
constexpr float kFigureMost =
    1e9F;  // of a weight or a level: more is a slip, and sums of it lose their digits

std::vector<std::string_view> split(std::string_view text, char between) {
    std::vector<std::string_view> out;
    for (;;) {
        const std::size_t at = text.find(between);
        out.push_back(text.substr(0, at));
        if (at == std::string_view::npos) return out;
        text.remove_prefix(at + 1);
    }
}

template <class Number>
bool number(std::string_view text, Number& out) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
    return error == std::errc{} && end == text.data() + text.size();
}

bool figure(std::string_view text, float& out) {
    return number(text, out) && out >= 0 && out <= kFigureMost;  // NaN fails
}

bool serverName(std::string_view text) {
    return !text.empty() && text.size() <= kNameMost &&
           std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}

bool table(std::string_view text, TableId& out) {
    if (text == "*") {
        out = kAllTables;
        return true;
    }
    return number(text, out) && out != kAllTables;
}

bool classMask(std::string_view text, const std::vector<std::string>& classes, ClassMask& out) {
    out = 0;
    if (text == "*") return true;
    for (const std::string_view name : split(text, '+')) {
        const auto at = std::find(classes.begin(), classes.end(), name);
        if (at == classes.end()) return false;
        out = static_cast<ClassMask>(out | 1U << (at - classes.begin()));
    }
    return true;
}

class Reader {
public:
    Reader(std::vector<std::string_view> fields, const std::vector<std::string>& classes)
        : f_(std::move(fields)), classes_(classes) {}

    // Empty: `out` is the order.
    std::string read(protocol::Order& out) {
        const std::string_view kind = f_.front();
        if (kind == "share") return share(out);
        if (kind == "clear") return clear(out);
        if (kind == "bind") return bind(out);
        if (kind == "withdraw" || kind == "restore") return shut(out);
        if (kind == "admit") return admit(out);
        if (kind == "mark") return mark(out);
        return "it is of no known kind";
    }

private:
    [[nodiscard]] bool has(std::size_t fields) const { return f_.size() == fields; }
    std::string share(protocol::Order& out) {
        protocol::LineOrder o;
        if (!has(4) || !table(f_[1], o.table)) return "share needs a table, a server and a weight";
        if (!serverName(f_[2])) return "a server's name that is none";
        if (!figure(f_[3], o.weight)) return "a weight that can't be";
        o.server = f_[2];
        out = std::move(o);
        return {};
    }
    std::string clear(protocol::Order& out) {
        protocol::ClearOrder o;
        if (!has(2) || !table(f_[1], o.table)) return "clear needs a table";
        out = o;
        return {};
    }
    std::string bind(protocol::Order& out) {
        protocol::BindOrder o;
        if (!has(4) || !number(f_[1], o.proxy)) return "bind needs a proxy, a table and classes";
        if (!table(f_[2], o.table) || o.table == kAllTables) return "a proxy is bound to one table";
        if (!classMask(f_[3], classes_, o.classes)) return "a class that there is not";
        out = o;
        return {};
    }
    std::string shut(protocol::Order& out) {
        if (!has(2) || !serverName(f_[1])) return "withdraw and restore need a server";
        out = protocol::ShutOrder{std::string(f_[1]), f_.front() == "withdraw"};
        return {};
    }
    std::string admit(protocol::Order& out) {
        protocol::LevelOrder o;
        unsigned mode = 0;
        if (!has(5) || !table(f_[1], o.table)) return "admit needs a table, classes, a level and a mode";
        if (!classMask(f_[2], classes_, o.classes)) return "a class that there is not";
        if (!figure(f_[3], o.limit)) return "a level that can't be";
        if (!number(f_[4], mode) || mode > kRetryModeMost) return "a mode of trying again that can't be";
        o.retryMode = static_cast<std::uint8_t>(mode);
        out = o;
        return {};
    }
    std::string mark(protocol::Order& out) {
        protocol::MarkOrder o;
        const bool whom = has(3) && (f_[2] == "0" || f_[2] == "1");
        if (!whom || !number(f_[1], o.mark)) return "mark needs a number, and 0 or 1";
        o.everyProxy = f_[2] == "1";
        out = o;
        return {};
    }
    const std::vector<std::string_view> f_;
    const std::vector<std::string>& classes_;
};

}  // namespace

std::optional<protocol::Order> readOrder(std::string_view text, const std::vector<std::string>& classes,
                                         std::string& wrong) {
    protocol::Order out;
    wrong = Reader(split(text, ','), classes).read(out);
    if (!wrong.empty()) return std::nullopt;
    return out;
}

std::vector<std::string_view> ordersOf(std::string_view call) { return split(call, ';'); }

}  // namespace marldale::proxy
