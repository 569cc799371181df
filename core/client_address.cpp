#include <mulberryrudder/core/client_address.hpp>

#include <boost/asio/ip/address.hpp>

namespace mulberryrudder
{

bool parse_client_address(std::string const& text, client_address& out)
{
    boost::system::error_code ec;
    auto const read = boost::asio::ip::make_address(text, ec);
    if (ec)
        return false;
    auto const mapped =
        read.is_v4() ? boost::asio::ip::make_address_v6(boost::asio::ip::v4_mapped, read.to_v4())
                     : read.to_v6();
    auto const bytes = mapped.to_bytes();
    std::copy(bytes.begin(), bytes.end(), out.bytes.begin());
    return true;
}

} // namespace mulberryrudder
