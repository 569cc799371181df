#ifndef MULBERRYRUDDER_FAKES_CALLER_CUSTOMER_LOAD_HPP
#define MULBERRYRUDDER_FAKES_CALLER_CUSTOMER_LOAD_HPP

#include "caller_settings.hpp"
#include "http_client.hpp"
#include "report.hpp"

#include <mulberryrudder/core/random.hpp>

#include <boost/asio/io_context.hpp>

namespace mulberryrudder::fakes
{

/// Calls as one customer: looks entry instances up, keeps the answer as long as
/// it may, sends requests at a steady rate and checks each answer.
///
/// Thread safety: the load duty's thread.
class customer_load
{
public:
    customer_load(boost::asio::io_context& loop, caller_plan const& plan, customer_plan const& who,
                  http_client& client);

    /// Starts to send; finished() turns true once all answers came or were given up.
    void start();
    bool finished() const { return stopped_ && running_ == 0; }

    customer_report const& report() const { return report_; }
    customer_plan const& who() const { return who_; }

private:
    boost::asio::awaitable<void> keep_sending();
    boost::asio::awaitable<void> call(std::uint64_t number);
    boost::asio::awaitable<void> look_up();
    boost::asio::awaitable<std::vector<endpoint>> entries();
    http_request request(std::uint64_t number, std::string const& nonce) const;
    void judge(exchange_result const& how, std::string const& nonce, instant started);
    void judge_answer(http_reply const& reply, std::string const& nonce, instant started);
    void judge_refusal(http_reply const& reply, std::string const& nonce);

    boost::asio::io_context& loop_;
    caller_plan const& plan_;
    customer_plan const& who_;
    http_client& client_;
    customer_report report_;
    std::vector<endpoint> found_;
    instant found_until_;
    bool looking_up_ = false;
    random_source random_;
    std::size_t running_ = 0;
    bool stopped_ = false;
};

} // namespace mulberryrudder::fakes

#endif
