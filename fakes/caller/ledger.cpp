#include "ledger.hpp"

#include <boost/json/parse.hpp>

namespace mulberryrudder::fakes
{

namespace
{

constexpr seconds read_limit{2};

} // namespace

boost::asio::awaitable<void> read_ledgers(http_client& client, std::vector<endpoint> targets,
                                          ledger& out, std::uint64_t& unread)
{
    http_request const asked(boost::beast::http::verb::get, "/ledger", 11);
    for (auto const& it : targets)
    {
        auto const how = co_await client.send(it, asked, monotonic_now() + read_limit);
        if (!how.reply)
        {
            ++unread;
            continue;
        }
        auto const runs = boost::json::parse(how.reply->body());
        for (auto const& run : runs.as_object())
            out[std::string(run.key())] += run.value().to_number<std::uint64_t>();
    }
}

} // namespace mulberryrudder::fakes
