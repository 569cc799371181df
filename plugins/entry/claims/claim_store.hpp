#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_CLAIMS_CLAIM_STORE_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_CLAIMS_CLAIM_STORE_HPP

#include "claims_settings.hpp"

#include <mulberryrudder/core/time.hpp>
#include <mulberryrudder/messages/claims.hpp>

#include <map>
#include <set>
#include <utility>

namespace mulberryrudder::entry
{

/// A claim as a keeper holds it.
struct stored_claim
{
    customer_id customer;
    digest fingerprint;
    messages::claim_holder holder;
    messages::claim_state state = messages::claim_state::in_progress;
    shared_reply content;
    instant run_by; ///< The holder can no longer be running it then.
    instant expires;

    /// Returns the state as it stands at `now`: a holder that is overdue and did
    /// not tell the end may have run the request.
    messages::claim_state state_at(instant now) const;
};

/// Holds the records of one keeper, within the limits on count and bytes.
///
/// Thread safety: one owner.
class claim_store
{
public:
    explicit claim_store(claims_settings const& limits) : limits_(limits) {}

    /// Returns the record, or null.
    stored_claim const* find(messages::claim_id const& id) const;

    /// Returns whether one more record fits.
    bool has_room() const;

    /// Enters or replaces a record; drops the reply if there is no room for it.
    void put(messages::claim_id const& id, stored_claim record);

    /// Forgets what has expired.
    void expire(instant now);

    /// Returns the records in ascending order of their ids.
    std::map<messages::claim_id, stored_claim> const& records() const { return records_; }

private:
    void drop(messages::claim_id const& id);

    claims_settings const& limits_;
    std::map<messages::claim_id, stored_claim> records_;
    std::set<std::pair<instant, messages::claim_id>> expiries_;
    byte_count reply_bytes_;
};

/// Makes a record of what came in a message, and the other way round. What is
/// left of a span counts from `now`.
stored_claim stored_from(messages::claim_record const& it, instant now);
messages::claim_record record_of(messages::claim_id const& id, stored_claim const& it, instant now);

} // namespace mulberryrudder::entry

#endif
