#include "fake_target.hpp"

#include <mulberryrudder/core/header_names.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <sstream>

namespace mulberryrudder::fakes
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::use_awaitable;
using asio::ip::tcp;

/// How much longer a cold or slow request takes.
constexpr int slowness = 10;

} // namespace

fake_target::fake_target(asio::io_context& loop, target_group const& like, std::uint32_t number,
                         target_status& status, std::uint64_t seed)
    : loop_(loop), like_(like), where_(asio::ip::make_address(like.first.address),
                                       static_cast<std::uint16_t>(like.first.port + number)),
      acceptor_(loop), status_(status), random_(seed), started_(monotonic_now())
{
}

void fake_target::listen()
{
    acceptor_.open(where_.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(where_);
    acceptor_.listen();
}

void fake_target::start()
{
    asio::co_spawn(loop_, accept(), asio::detached);
}

asio::awaitable<void> fake_target::accept()
{
    while (acceptor_.is_open())
    {
        boost::system::error_code ec;
        auto from = co_await acceptor_.async_accept(asio::redirect_error(use_awaitable, ec));
        if (ec)
            co_return;
        asio::co_spawn(loop_, serve(std::move(from)), asio::detached);
    }
}

asio::awaitable<void> fake_target::serve(socket from)
{
    boost::beast::flat_buffer buf;
    boost::system::error_code ec;
    from.set_option(tcp::no_delay(true), ec);
    while (!status_.dead)
    {
        http_request asked;
        co_await http::async_read(from, buf, asked, asio::redirect_error(use_awaitable, ec));
        if (ec)
            co_return;
        auto reply = co_await handle(asked);
        if (status_.dead)
            co_return;
        reply.prepare_payload();
        co_await send(from, std::move(reply));
        if (!from.is_open())
            co_return;
    }
}

asio::awaitable<void> fake_target::send(socket& to, http_reply reply)
{
    boost::system::error_code ec;
    if (faulty() && happens(like_.truncated))
    {
        std::ostringstream text;
        text << reply;
        auto const whole = text.str();
        co_await asio::async_write(to, asio::buffer(whole.data(), whole.size() - 1),
                                   asio::redirect_error(use_awaitable, ec));
        to.close(ec);
        co_return;
    }
    co_await http::async_write(to, reply, asio::redirect_error(use_awaitable, ec));
    if (ec)
        to.close(ec);
}

asio::awaitable<http_reply> fake_target::handle(http_request const& asked)
{
    if (asked.target() == "/ledger")
        co_return ledger();
    if (asked.target() == "/health")
        co_return answer(asked, 200);
    if (like_.crashes && asked.body().find("poison") != std::string::npos)
    {
        die();
        co_return answer(asked, 500);
    }
    if (status_.busy >= like_.capacity.count())
    {
        auto shed = answer(asked, 503);
        shed.set(header_names::not_run, "true");
        co_return shed;
    }
    ++status_.busy;
    asio::steady_timer timer(loop_, time_needed());
    co_await timer.async_wait(use_awaitable);
    --status_.busy;
    co_return run(asked);
}

http_reply fake_target::run(http_request const& asked)
{
    if (auto const key = asked.find(header_names::idempotency_key); key != asked.end())
        ++runs_[std::string(asked[header_names::customer]) + "/" + std::string(key->value())];
    if (faulty() && happens(like_.failing))
        return answer(asked, 500);
    auto out = answer(asked, 200);
    if (faulty() && happens(like_.crossed))
        out.set(header_names::request_id, "1");
    return out;
}

/// Echoes the request, so that a caller can tell its own answer from another's.
http_reply fake_target::answer(http_request const& asked, unsigned status) const
{
    http_reply out(static_cast<http::status>(status), asked.version());
    out.keep_alive(true);
    out.set(http::field::content_type, "application/json");
    out.set(header_names::request_id, asked[header_names::request_id]);
    auto const busy = like_.lying ? 0 : status_.busy.load();
    out.set(header_names::load,
            std::to_string(busy) + "/" + std::to_string(like_.capacity.count()));
    out.body() = boost::json::serialize(
        boost::json::object{{"path", asked.target()},
                            {"customer", asked[header_names::customer]},
                            {"version", like_.version.value()},
                            {"saw_key", asked.find(http::field::authorization) != asked.end()},
                            {"echo", asked.body()}});
    return out;
}

http_reply fake_target::ledger() const
{
    boost::json::object runs;
    for (auto const& [key, n] : runs_)
        runs[key] = n;
    http_reply out(http::status::ok, 11);
    out.keep_alive(true);
    out.body() = boost::json::serialize(runs);
    return out;
}

bool fake_target::happens(per_mille share)
{
    return std::uniform_int_distribution<std::int64_t>(0, 999)(random_) < share.count();
}

bool fake_target::faulty() const
{
    return monotonic_now() >= started_ + like_.faulty_after;
}

milliseconds fake_target::time_needed()
{
    bool const cold = monotonic_now() < started_ + like_.cold_time;
    bool const slow = faulty() && happens(like_.slow);
    return cold || slow ? like_.service_time * slowness : like_.service_time;
}

/// Stands for a crash: the port closes, and connections end without an answer.
void fake_target::die()
{
    status_.dead = true;
    boost::system::error_code ec;
    acceptor_.close(ec);
}

} // namespace mulberryrudder::fakes
