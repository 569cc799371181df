#ifndef MULBERRYRUDDER_ENTRY_RETRY_BUDGET_HPP
#define MULBERRYRUDDER_ENTRY_RETRY_BUDGET_HPP

#include <mulberryrudder/core/invariant.hpp>
#include <mulberryrudder/core/units.hpp>

#include <algorithm>

namespace mulberryrudder::entry
{

/// Limits retries to a share of the requests, after Finagle's retry budget: each
/// request deposits a part of a token, each retry takes a whole one. It starts
/// empty, so at no time have there been more retries than the share allows; what
/// quiet times save up is bounded.
///
/// Thread safety: one owner.
class retry_budget
{
public:
    /// Takes note of a request's first attempt.
    void deposit(per_mille share, requests most_saved)
    {
        seen_ += requests(1);
        auto const cap = millitokens(most_saved.count() * request_cost.count());
        saved_ = std::min(cap, saved_ + millitokens(share.count()));
    }

    bool has_token() const { return saved_ >= request_cost; }

    /// Takes a token for a retry or a hedge. Precondition: has_token().
    void withdraw(per_mille share)
    {
        saved_ -= request_cost;
        spent_ += requests(1);
        check_invariant(saved_.count() >= 0, "a retry budget is not overdrawn");
        check_invariant(spent_.count() * 1000 <= seen_.count() * share.count(),
                        "retries are within their share of the requests");
    }

private:
    requests seen_;
    requests spent_;
    millitokens saved_;
};

} // namespace mulberryrudder::entry

#endif
