#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_LEDGER_OUTSTANDING_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_LEDGER_OUTSTANDING_HPP

#include <mulberryrudder/core/ids.hpp>
#include <mulberryrudder/core/time.hpp>

#include <algorithm>
#include <limits>
#include <vector>

namespace mulberryrudder::control
{

/// Lists the amounts of one thing that were granted to one entry and may still be in
/// force there: grants may be lost, late or unconfirmed, so the entry may act by any.
/// `largest(a, b)` must cover both amounts.
///
/// Thread safety: one owner.
template <class Amount>
class outstanding
{
public:
    /// Adds what a grant carried; the entry cannot act by it after `until`.
    void add(sequence_id answers, instant until, Amount amount)
    {
        if (!(amount == Amount{}) || !grants_.empty())
            grants_.push_back({answers, until, amount});
    }

    /// The entry acts by the grant that answered `accepted` or by a later one.
    void confirm(sequence_id accepted)
    {
        std::erase_if(grants_, [accepted](grant const& it) { return it.answers < accepted; });
    }

    /// Drops what has ended.
    void expire(instant now)
    {
        std::erase_if(grants_, [now](grant const& it) { return it.until <= now; });
    }

    /// The entry's process is gone or unknown: from now on only time ends these.
    void orphan()
    {
        for (auto& it : grants_)
            it.answers = sequence_id(std::numeric_limits<sequence_id::rep>::max());
    }

    /// The entry acts by none of these any more.
    void clear() { grants_.clear(); }

    /// Returns the most that the entry may act by.
    Amount most() const
    {
        Amount out{};
        for (auto const& it : grants_)
            out = largest(out, it.amount);
        return out;
    }

    bool empty() const { return grants_.empty(); }

private:
    struct grant
    {
        sequence_id answers;
        instant until;
        Amount amount;
    };
    std::vector<grant> grants_;
};

} // namespace mulberryrudder::control

#endif
