#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_RATE_CUSTOMER_SLICE_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_RATE_CUSTOMER_SLICE_HPP

#include <mulberryrudder/core/token_bucket.hpp>
#include <mulberryrudder/messages/lease.hpp>

#include <optional>

namespace mulberryrudder::entry
{

/// Holds one customer's slice on this instance: its bucket, what arrived, and what
/// is to be given back. Tokens leave it by admission, by being given back once, or
/// by being lost; they come by time, by a grant's initial tokens, or by a loan.
///
/// Thread safety: one owner.
class customer_slice
{
public:
    explicit customer_slice(instant now) : bucket_(now), reported_(now) {}

    /// Takes the tokens of one request, or returns false.
    bool take(instant now);

    /// Counts a request that arrived, admitted or not.
    void count_arrival() { arrived_ += request_cost; }

    /// Returns the tokens at `now`.
    millitokens tokens(instant now);
    millitokens burst() const { return slice_.burst; }

    /// Adds a loan, also above the burst; call trim() after the waiting were served.
    void lend(instant now, millitokens more);
    void trim() { bucket_.trim(); }

    /// Puts a granted slice in force; `answers` is the renewal that it answers.
    void grant(instant now, messages::rate_slice const& slice, sequence_id answers);

    /// Loses all tokens: the lease ended.
    void lapse(instant now);

    /// Returns the report for the renewal `carried_by`; gives back what it holds in
    /// excess. `live` says whether the slice is in force.
    messages::customer_demand report(instant now, sequence_id carried_by, bool live);

    /// Gives the whole slice back by the next report and takes no other.
    void hand_back(instant now);

private:
    millitokens usable_burst() const;
    millitokens surplus() const;

    token_bucket bucket_;
    messages::rate_slice slice_;         ///< As granted.
    millitokens excess_;                 ///< Cut off by a smaller slice, to be given back.
    millitokens room_;                   ///< Largest burst that `excess_` was cut from.
    std::optional<millitokens> ceiling_; ///< Most the bucket may hold while tokens that were
                                         ///< given back may not have reached the ledger.
    sequence_id ceiling_until_;          ///< A grant that answers this renewal lifts it.
    millitokens arrived_;                ///< Since the last report.
    instant reported_;
    bool handed_back_ = false;
};

} // namespace mulberryrudder::entry

#endif
