#include "shared_status.hpp"

#include <mulberryrudder/kernel/asio_duty.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <map>
#include <vector>

namespace mulberryrudder::fakes
{

target_status& status_of(target_group const& group, std::uint32_t number)
{
    static std::map<std::pair<std::string, std::uint32_t>, target_status> all;
    return all[{group.name, number}];
}

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::use_awaitable;

constexpr int announcer_order = 200;
constexpr seconds send_limit{1};
/// How long a leaving target serves on after it has said so.
constexpr seconds leave_time{3};

/// Announces all stand-ins of the process to the entry instances of their domain.
class announcer_duty final : public kernel::asio_duty
{
public:
    explicit announcer_duty(kernel::duty_parts const& given)
        : asio_duty(kernel::duty_name("announcer"), given), config_(given.config.get(fake_section))
    {
        for (auto const& group : config_.groups)
            for (std::uint32_t n = 0; n != group.count; ++n)
                targets_.push_back({group, n, &status_of(group, n)});
    }

    void prepare_stop() override
    {
        asio::post(loop(),
                   [this]
                   {
                       leaving_ = true;
                       announce_all();
                       run_every(leave_time, [this] { parts().end_process(0); });
                   });
    }

protected:
    void started() override
    {
        announce_all();
        run_every(config_.announce_period, [this] { announce_all(); });
    }
    void take_messages() override {}

private:
    struct announced_target
    {
        target_group group;
        std::uint32_t number;
        target_status const* status;
    };

    void announce_all()
    {
        std::vector<std::string> texts;
        for (auto const& it : targets_)
            if (!it.status->dead)
                texts.push_back(text_of(it));
        for (auto const& it : config_.entries)
            asio::co_spawn(loop(), announce(it, texts), asio::detached);
    }

    std::string text_of(announced_target const& it) const
    {
        boost::json::array routes;
        for (auto const& route : it.group.routes)
            routes.emplace_back(route.value());
        auto where = it.group.first;
        where.port = static_cast<std::uint16_t>(where.port + it.number);
        auto const busy = it.group.lying ? 0 : it.status->busy.load();
        return boost::json::serialize(
            boost::json::object{{"target", it.group.name + "-" + std::to_string(it.number)},
                                {"address", to_string(where)},
                                {"domain", it.group.domain.value()},
                                {"version", it.group.version.value()},
                                {"routes", std::move(routes)},
                                {"slots", it.group.capacity.count()},
                                {"state", leaving_ ? "leaving" : "serving"},
                                {"busy", busy}});
    }

    static asio::awaitable<void> announce(endpoint to, std::vector<std::string> texts)
    {
        boost::system::error_code ec;
        boost::beast::tcp_stream stream(co_await asio::this_coro::executor);
        stream.expires_after(send_limit);
        asio::ip::tcp::endpoint const where(asio::ip::make_address(to.address), to.port);
        co_await stream.async_connect(where, asio::redirect_error(use_awaitable, ec));
        boost::beast::flat_buffer buf;
        for (std::size_t n = 0; n != texts.size() && !ec; ++n)
        {
            http_request out(http::verb::post, "/v1/announce", 11);
            out.set(http::field::host, to_string(to));
            out.body() = texts[n];
            out.prepare_payload();
            co_await http::async_write(stream, out, asio::redirect_error(use_awaitable, ec));
            http_reply reply;
            if (!ec)
                co_await http::async_read(stream, buf, reply,
                                          asio::redirect_error(use_awaitable, ec));
        }
    }

    fake_settings config_;
    std::vector<announced_target> targets_;
    bool leaving_ = false;
};

kernel::duty_registrar<announcer_duty> const entered{"announcer", announcer_order};

} // namespace

} // namespace mulberryrudder::fakes
