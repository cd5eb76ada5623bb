#include "emulator/distribution.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <numeric>
#include <stdexcept>

namespace marldale::emulator {
namespace {

constexpr double kSpanMost = 3.6e9;  // microseconds: an hour

std::vector<std::string> wordsOf(std::string_view text) {
    std::vector<std::string> out;
    std::size_t at = 0;
    while (at < text.size()) {
        const std::size_t from = text.find_first_not_of(' ', at);
        if (from == std::string_view::npos) break;
        const std::size_t to = std::min(text.find(' ', from), text.size());
        out.emplace_back(text.substr(from, to - from));
        at = to;
    }
    return out;
}

double spanOf(const std::string& word) {
    const auto span = parseSpan(word);
    if (!span) throw std::invalid_argument(word + " is no span of time, as 5ms, 1.5s or 300us");
    return *span;
}

double numberOf(const std::string& word, double least, double most) {
    char* end = nullptr;
    const double out = std::strtod(word.c_str(), &end);
    if (end == word.c_str() || *end != 0 || !(out >= least && out <= most)) {
        throw std::invalid_argument(word + " is not between " + std::to_string(least) + " and " +
                                    std::to_string(most));
    }
    return out;
}

}  // namespace

std::optional<double> parseSpan(std::string_view text) {
    const std::string word(text);
    char* end = nullptr;
    const double number = std::strtod(word.c_str(), &end);
    if (end == word.c_str() || !(number >= 0)) return std::nullopt;
    const std::string_view unit(end);
    const double factor = unit == "us" ? 1 : unit == "ms" ? 1e3 : unit == "s" ? 1e6 : 0;
    if (factor == 0 || number * factor > kSpanMost) return std::nullopt;
    return number * factor;
}

Distribution Distribution::samples(std::vector<double> values) {
    Distribution out(Kind::samples, 0, 0);
    out.samples_ = std::move(values);
    return out;
}

Distribution Distribution::parse(std::string_view text) {
    const std::vector<std::string> words = wordsOf(text);
    const auto takes = [&](std::size_t count) {
        if (words.size() != count + 1) {
            throw std::invalid_argument(words[0] + " takes " + std::to_string(count) + " figures");
        }
    };
    if (words.empty()) throw std::invalid_argument("a distribution is missing");
    const std::string& kind = words[0];
    if (kind == "fixed" || kind == "exp") {
        takes(1);
        return kind == "fixed" ? fixed(spanOf(words[1])) : exponential(spanOf(words[1]));
    }
    if (kind == "uniform") {
        takes(2);
        const double from = spanOf(words[1]), to = spanOf(words[2]);
        if (from > to) throw std::invalid_argument("uniform: the first figure is above the second");
        return {Kind::uniform, from, to};
    }
    if (kind == "lognormal") {
        takes(2);
        return {Kind::lognormal, spanOf(words[1]), numberOf(words[2], 0, 3)};
    }
    if (kind == "erlang") {
        takes(2);
        return {Kind::erlang, std::floor(numberOf(words[1], 1, 100)), spanOf(words[2])};
    }
    if (kind == "samples" && words.size() > 1) {
        std::vector<double> values;
        for (std::size_t i = 1; i < words.size(); ++i) values.push_back(spanOf(words[i]));
        return samples(std::move(values));
    }
    throw std::invalid_argument(kind + " is none of fixed, exp, uniform, lognormal, erlang, samples");
}

double Distribution::draw(Stream& random) const {
    switch (kind_) {
        case Kind::fixed: return a_;
        case Kind::exponential: return a_ * random.exponential();
        case Kind::uniform: return random.uniform(a_, b_);
        case Kind::lognormal: return a_ * std::exp(b_ * random.normal());
        case Kind::erlang: {
            double sum = 0;
            for (int i = 0; i < static_cast<int>(a_); ++i) sum += random.exponential();
            return b_ * sum / a_;
        }
        case Kind::samples: return samples_[random.below(static_cast<std::uint32_t>(samples_.size()))];
    }
    return 0;
}

double Distribution::mean() const {
    switch (kind_) {
        case Kind::fixed:
        case Kind::exponential: return a_;
        case Kind::uniform: return (a_ + b_) / 2;
        case Kind::lognormal: return a_ * std::exp(b_ * b_ / 2);
        case Kind::erlang: return b_;
        case Kind::samples:
            return std::accumulate(samples_.begin(), samples_.end(), 0.0) /
                   static_cast<double>(samples_.size());
    }
    return 0;
}

double Distribution::variance() const {
    switch (kind_) {
        case Kind::fixed: return 0;
        case Kind::exponential: return a_ * a_;
        case Kind::uniform: return (b_ - a_) * (b_ - a_) / 12;
        case Kind::lognormal: return (std::exp(b_ * b_) - 1) * mean() * mean();
        case Kind::erlang: return b_ * b_ / a_;
        case Kind::samples: {
            double sum = 0;
            for (const double s : samples_) sum += (s - mean()) * (s - mean());
            return sum / static_cast<double>(samples_.size());
        }
    }
    return 0;
}

}  // namespace marldale::emulator
