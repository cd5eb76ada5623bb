#include "gateway/calls.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace marldale::demo {

namespace beast = boost::beast;
namespace http = beast::http;

std::mt19937_64& dice() {
    static std::mt19937_64 one{std::random_device{}()};
    return one;
}
double uniform() { return std::uniform_real_distribution<double>(0, 1)(dice()); }
std::string newId(const std::string& prefix) {
    static std::uint64_t count = 0;
    return prefix + std::to_string(++count) + "-" + std::to_string(dice()() % 1000000);
}
tcp::endpoint endpointOf(const std::string& address) {
    const auto colon = address.rfind(':');
    return {asio::ip::make_address(address.substr(0, colon)),
            static_cast<unsigned short>(std::stoul(address.substr(colon + 1)))};
}

awaitable<void> pause(milliseconds time) {
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

awaitable<Reply> call(std::string method, std::string address, std::string target, std::string body,
                      milliseconds within) {
    for (int hop = 0; hop < 3; ++hop) {
        beast::tcp_stream stream(co_await asio::this_coro::executor);
        boost::system::error_code wrong;
        stream.expires_after(within);
        const tcp::endpoint to = endpointOf(address);
        co_await stream.async_connect(to, asio::redirect_error(asio::use_awaitable, wrong));
        if (wrong) co_return Reply{};
        http::request<http::string_body> request(http::string_to_verb(method), target, 11);
        request.set(http::field::host, address);
        request.set(http::field::content_type, "application/json");
        request.body() = body;
        request.keep_alive(false);
        request.prepare_payload();
        co_await http::async_write(stream, request, asio::redirect_error(asio::use_awaitable, wrong));
        if (wrong) co_return Reply{};
        beast::flat_buffer buffer;
        http::response<http::string_body> response;
        co_await http::async_read(stream, buffer, response, asio::redirect_error(asio::use_awaitable, wrong));
        if (wrong) co_return Reply{};
        if (response.result_int() != 307) co_return Reply{response.result_int(), response.body()};
        std::string place(response[http::field::location]);  // http://ip:port/path
        if (place.rfind("http://", 0) != 0) co_return Reply{};
        place.erase(0, 7);
        address = place.substr(0, place.find('/'));
    }
    co_return Reply{};
}

}  // namespace marldale::demo
