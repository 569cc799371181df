#include "part_ledger.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace mulberryrudder::control
{

namespace
{

/// Time for which a part is lent: instances ask several times a second while there are requests.
constexpr milliseconds loan_lifetime{1000};

} // namespace

void part_ledger::open(std::optional<std::set<customer_id>> pressed, instant now)
{
    ledger_.reopen(std::make_unique<balance_beside_a_leader>(std::move(pressed)), now);
}

void part_ledger::lend(instance_id lender, per_mille part, instant now)
{
    loans_[lender] = {.part = part, .expiry = now + loan_lifetime};
}

per_mille part_ledger::available(std::optional<per_mille> own_part, instant now) const
{
    auto out = own_part.value_or(per_mille());
    for (auto const& [lender, it] : loans_)
        if (now < it.expiry)
            out += it.part;
    return std::min(out, whole_share);
}

requests part_ledger::admit(plan_customer const& customer, requests wanted, per_mille part,
                            instant now)
{
    auto const admitted = ledger_.admit(customer, wanted, now, part);
    if (admitted != requests())
        spent_[customer.id] += admitted;
    return admitted;
}

std::map<customer_id, requests> part_ledger::take_spent()
{
    return std::exchange(spent_, {});
}

void part_ledger::add_spent(std::map<customer_id, requests> const& untold)
{
    for (auto const& [customer, count] : untold)
        spent_[customer] += count;
}

} // namespace mulberryrudder::control
