#include <mulberryrudder/core/endpoint.hpp>

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace mulberryrudder
{

std::string to_string(endpoint const& value)
{
    bool const is_v6 = value.address.find(':') != std::string::npos;
    auto const host = is_v6 ? "[" + value.address + "]" : value.address;
    return host + ":" + std::to_string(value.port);
}

bool parse_endpoint(std::string const& text, endpoint& out)
{
    auto const colon = text.rfind(':');
    if (colon == std::string::npos)
        return false;
    auto host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    boost::system::error_code ec;
    boost::asio::ip::make_address(host, ec);
    std::uint16_t port = 0;
    auto const* const last = text.data() + text.size();
    auto const read = std::from_chars(text.data() + colon + 1, last, port);
    if (ec || read.ec != std::errc{} || read.ptr != last || port == 0)
        return false;
    out = {.address = host, .port = port};
    return true;
}

} // namespace mulberryrudder
