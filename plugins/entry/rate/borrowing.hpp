#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_RATE_BORROWING_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_RATE_BORROWING_HPP

#include "rate_settings.hpp"

#include <mulberryrudder/core/random.hpp>
#include <mulberryrudder/messages/lease.hpp>

#include <optional>

namespace mulberryrudder::entry
{

/// Decides when to ask the ledger for one customer's tokens, and which answers
/// count. A loan is used only if it answers the request that is open now and came
/// within its time, counted from when the request was sent.
///
/// Thread safety: one owner.
class borrowing
{
public:
    explicit borrowing(rate_settings const& settings) : settings_(settings) {}

    /// Returns whether the ledger may be asked now for requests that wait.
    bool may_ask(instant now) const { return !open_ && now >= next_; }

    /// Returns whether the ledger may be asked now for tokens in advance.
    bool may_top_up(instant now) const { return !open_ && now >= next_top_up_; }

    /// Opens a request and returns its message; sequence and settled are set.
    messages::borrow_request ask(instant now);

    /// Takes an answer; returns the tokens lent, or nothing if the answer does not count.
    std::optional<millitokens> answered(messages::borrow_grant const& it, instant now);

    /// Puts the next question off, longer after each one in a row that did not suffice.
    void put_off(instant now, random_source& random);

    /// Forgets the waits once a loan has sufficed.
    void satisfied() { shortfalls_ = 0; }

    /// Gives up a request that was not answered in time; returns whether there was one.
    bool give_up(instant now);

    /// Drops an open request: the lease has ended.
    void abandon();

private:
    struct open_request
    {
        sequence_id sequence;
        instant sent;
        instant deadline;
    };

    rate_settings const& settings_;
    std::optional<open_request> open_;
    sequence_id sequence_;
    sequence_id settled_;
    instant next_;
    instant next_top_up_;
    unsigned shortfalls_ = 0;
};

} // namespace mulberryrudder::entry

#endif
