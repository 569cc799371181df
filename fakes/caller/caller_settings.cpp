#include "caller_settings.hpp"

namespace mulberryrudder::fakes
{

namespace
{

using kernel::required_field;

constexpr kernel::limits rates{1, 100'000};
constexpr kernel::limits times{1, 3'600'000};

std::vector<kernel::field_spec<customer_plan>> const& customer_fields()
{
    static std::vector<kernel::field_spec<customer_plan>> const it{
        field("customer", &customer_plan::customer, kernel::unbounded, "Customer's name."),
        field("key", &customer_plan::key, kernel::unbounded, "Its key, made up for the test."),
        required_field("route", &customer_plan::route, kernel::unbounded, "Route."),
        field("method", &customer_plan::method, kernel::unbounded, "GET or POST."),
        field("client", &customer_plan::client, kernel::unbounded, "Address in look-ups."),
        field("per_second", &customer_plan::per_second, rates, "Requests a second."),
        field("deadline", &customer_plan::deadline, times, "Milliseconds a request may take."),
        field("once", &customer_plan::once, kernel::unbounded, "Sends an idempotency key."),
    };
    return it;
}

} // namespace

void read_value(boost::json::value const& from, kernel::reading const& at, kernel::limits,
                customer_plan& out)
{
    read_members(from, at, customer_fields(), out);
}

kernel::section<caller_plan> const plan_section{
    "fake_callers",
    {
        required_field("entries", &caller_plan::entries, kernel::unbounded,
                       "Entry instances that are asked first."),
        field("targets", &caller_plan::targets, kernel::unbounded,
              "Stand-ins for targets whose ledgers are read at the end."),
        required_field("customers", &caller_plan::customers, kernel::unbounded, "Who calls."),
        field("duration", &caller_plan::duration, times, "Milliseconds that calls are made."),
        field("lookup", &caller_plan::lookup, kernel::unbounded,
              "False to call the first entry without asking."),
    }};

} // namespace mulberryrudder::fakes
