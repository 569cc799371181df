#include "customer_load.hpp"

#include <mulberryrudder/core/header_names.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>

#include <random>

namespace mulberryrudder::fakes
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::use_awaitable;

/// Sendings of one request, the first included, when answers are lost.
constexpr int most_sendings = 3;
constexpr milliseconds lookup_limit{500};
/// How long entries that were asked without a look-up are kept.
constexpr milliseconds fallback_time_to_live{200};

/// Returns an idempotency key: a UUID of version 7 (RFC 9562), which tells its own time.
std::string new_idempotency_key(random_source& random)
{
    auto const since = std::chrono::system_clock::now().time_since_epoch();
    auto const ms =
        static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(since).count());
    auto const high = (ms << 16U) | 0x7000U | (random() & 0xFFFU);
    auto const low = (random() >> 2U) | (std::uint64_t{2} << 62U);
    char buf[37];
    std::snprintf(buf, sizeof buf, "%08llx-%04llx-%04llx-%04llx-%012llx",
                  static_cast<unsigned long long>(high >> 32U),
                  static_cast<unsigned long long>((high >> 16U) & 0xFFFFU),
                  static_cast<unsigned long long>(high & 0xFFFFU),
                  static_cast<unsigned long long>(low >> 48U),
                  static_cast<unsigned long long>(low & 0xFFFFFFFFFFFFU));
    return buf;
}

boost::json::object parsed(std::string const& body)
{
    boost::system::error_code ec;
    auto const value = boost::json::parse(body, ec);
    return !ec && value.is_object() ? value.get_object() : boost::json::object();
}

std::string text_of(boost::json::object const& from, std::string_view name)
{
    auto const* const it = from.if_contains(name);
    return it != nullptr && it->is_string() ? std::string(it->get_string()) : std::string();
}

} // namespace

customer_load::customer_load(asio::io_context& loop, caller_plan const& plan,
                             customer_plan const& who, http_client& client)
    : loop_(loop), plan_(plan), who_(who), client_(client), random_(std::random_device{}())
{
}

void customer_load::start()
{
    asio::co_spawn(loop_, keep_sending(), asio::detached);
}

asio::awaitable<void> customer_load::keep_sending()
{
    asio::steady_timer timer(loop_);
    auto const first = std::chrono::steady_clock::now();
    auto const end = first + plan_.duration;
    for (std::uint64_t n = 0;; ++n)
    {
        auto const at = first + microseconds(n * 1'000'000 / who_.per_second);
        if (at >= end)
            break;
        timer.expires_at(at);
        co_await timer.async_wait(use_awaitable);
        ++running_;
        asio::co_spawn(loop_, call(n), asio::detached);
    }
    stopped_ = true;
}

asio::awaitable<std::vector<endpoint>> customer_load::entries()
{
    if (monotonic_now() >= found_until_ && !looking_up_)
    {
        looking_up_ = true;
        co_await look_up();
        looking_up_ = false;
    }
    co_return found_.empty() ? plan_.entries : found_;
}

asio::awaitable<void> customer_load::look_up()
{
    found_until_ = monotonic_now() + fallback_time_to_live;
    if (!plan_.lookup)
        co_return;
    http_request const asked(
        http::verb::get, "/v1/lookup?route=" + who_.route.value() + "&client=" + who_.client, 11);
    for (auto const& it : plan_.entries)
    {
        auto const how = co_await client_.send(it, asked, monotonic_now() + lookup_limit);
        if (!how.reply || how.reply->result_int() != 200)
            continue;
        auto const body = parsed(how.reply->body());
        found_.clear();
        for (auto const& address : body.at("instances").as_array())
            if (endpoint where; parse_endpoint(std::string(address.as_string()), where))
                found_.push_back(where);
        found_until_ = monotonic_now() + milliseconds(body.at("ttl_ms").as_int64());
        co_return;
    }
}

http_request customer_load::request(std::uint64_t number, std::string const& nonce) const
{
    auto const verb = who_.method == "POST" ? http::verb::post : http::verb::get;
    http_request out(verb, "/" + who_.route.value() + "/item/" + std::to_string(number), 11);
    if (!who_.key.empty())
        out.set(http::field::authorization, "Bearer " + who_.key);
    out.set(header_names::deadline, std::to_string(who_.deadline.count()));
    if (who_.once)
        out.set(header_names::idempotency_key, nonce);
    out.body() = nonce;
    return out;
}

asio::awaitable<void> customer_load::call(std::uint64_t number)
{
    auto const nonce = new_idempotency_key(random_);
    auto const started = monotonic_now();
    auto const deadline = started + who_.deadline + who_.deadline / 2;
    auto const ways = co_await entries();
    exchange_result how;
    ++report_.sent;
    int sendings = 0;
    for (auto const& it : ways)
    {
        if (sendings++ == most_sendings)
            break;
        how = co_await client_.send(it, request(number, nonce), deadline);
        if (how.reply || monotonic_now() >= deadline)
            break;
        // A lost answer is asked for again only where that cannot run the request twice.
        if (how.connected && who_.method == "POST" && !who_.once)
            break;
        found_until_ = instant{};
    }
    judge(how, nonce, started);
    --running_;
}

void customer_load::judge(exchange_result const& how, std::string const& nonce, instant started)
{
    if (!how.reply)
        ++(how.connected ? report_.cut : report_.unreached);
    else if ((*how.reply)[http::field::content_type] == "application/problem+json")
        judge_refusal(*how.reply, nonce);
    else
        judge_answer(*how.reply, nonce, started);
}

void customer_load::judge_refusal(http_reply const& reply, std::string const& nonce)
{
    auto const body = parsed(reply.body());
    ++report_.refused[text_of(body, "reason")];
    if (who_.once && text_of(body, "verdict") == "not_run")
        report_.said_not_run.insert(who_.customer.value() + "/" + nonce);
}

void customer_load::judge_answer(http_reply const& reply, std::string const& nonce, instant started)
{
    auto const body = parsed(reply.body());
    bool const own = text_of(body, "echo") == nonce &&
                     text_of(body, "customer") == who_.customer.value() &&
                     body.if_contains("saw_key") != nullptr && !body.at("saw_key").as_bool();
    if (!own)
        ++report_.wrong;
    else if (reply.result_int() != 200)
        ++report_.failed;
    else
    {
        ++report_.answered;
        ++report_.versions[text_of(body, "version")];
        report_.latencies.push_back(monotonic_now() - started);
    }
}

} // namespace mulberryrudder::fakes
