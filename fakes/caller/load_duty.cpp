#include "customer_load.hpp"
#include "ledger.hpp"

#include <mulberryrudder/kernel/asio_duty.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <deque>
#include <iostream>

namespace mulberryrudder::fakes
{

namespace
{

constexpr int load_order = 100;
constexpr milliseconds check_period{20};

/// Makes the calls of all customers, then prints what they saw as JSON.
class load_duty final : public kernel::asio_duty
{
public:
    explicit load_duty(kernel::duty_parts const& given)
        : asio_duty(kernel::duty_name("load"), given), plan_(given.config.get(plan_section))
    {
        for (auto const& it : plan_.customers)
            loads_.emplace_back(loop(), plan_, it, client_);
    }

protected:
    void started() override
    {
        for (auto& it : loads_)
            it.start();
        run_every(check_period, [this] { check(); });
    }
    void take_messages() override {}

private:
    void check()
    {
        auto const finished = [](customer_load const& it) { return it.finished(); };
        if (reading_ || !std::all_of(loads_.begin(), loads_.end(), finished))
            return;
        reading_ = true;
        boost::asio::co_spawn(loop(), end(), boost::asio::detached);
    }

    boost::asio::awaitable<void> end()
    {
        co_await read_ledgers(client_, plan_.targets, ledger_, unread_);
        std::cout << boost::json::serialize(report()) << std::endl;
        parts().end_process(0);
    }

    boost::json::object report() const
    {
        boost::json::array customers;
        std::uint64_t lied = 0;
        for (auto const& it : loads_)
        {
            auto out = to_json(it.report());
            out["customer"] = it.who().customer.value();
            out["route"] = it.who().route.value();
            customers.push_back(std::move(out));
            for (auto const& key : it.report().said_not_run)
                lied += ledger_.count(key);
        }
        auto const twice = std::count_if(ledger_.begin(), ledger_.end(),
                                         [](auto const& it) { return it.second > 1; });
        return {{"customers", std::move(customers)},
                {"ran_twice", twice},
                {"ran_though_refused_as_not_run", lied},
                {"keys_that_ran", ledger_.size()},
                {"ledgers_unread", unread_}};
    }

    caller_plan plan_;
    http_client client_;
    std::deque<customer_load> loads_;
    ledger ledger_;
    std::uint64_t unread_ = 0;
    bool reading_ = false;
};

kernel::duty_registrar<load_duty> const entered{"load", load_order};

} // namespace

} // namespace mulberryrudder::fakes
