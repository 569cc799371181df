#ifndef MULBERRYRUDDER_FAKES_CALLER_CALLER_SETTINGS_HPP
#define MULBERRYRUDDER_FAKES_CALLER_CALLER_SETTINGS_HPP

#include <mulberryrudder/core/ids.hpp>
#include <mulberryrudder/core/units.hpp>
#include <mulberryrudder/kernel/settings.hpp>

#include <string>
#include <vector>

namespace mulberryrudder::fakes
{

/// The callers of one customer on one route.
struct customer_plan
{
    customer_id customer;
    std::string key; ///< Empty on open routes.
    route_id route;
    std::string method = "GET";
    std::string client = "127.0.0.1";
    std::int64_t per_second = 10;
    milliseconds deadline{1000};
    bool once = false; ///< Sends an idempotency key, and resends with it after a lost answer.
};

/// The `fake_callers` section.
struct caller_plan
{
    std::vector<endpoint> entries; ///< Where look-ups are asked first.
    std::vector<endpoint> targets; ///< Whose ledgers are read at the end.
    std::vector<customer_plan> customers;
    milliseconds duration{5000};
    bool lookup = true; ///< False: calls the first of `entries` without asking.
};

extern kernel::section<caller_plan> const plan_section;

/// Reads one element of `/fake_callers/customers`.
void read_value(boost::json::value const& from, kernel::reading const& at, kernel::limits within,
                customer_plan& out);

} // namespace mulberryrudder::fakes

#endif
