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

/// A claim as a keeper stores it.
struct stored_claim
{
    customer_id customer;
    digest fingerprint;
    messages::claim_holder holder;
    messages::claim_state state = messages::claim_state::in_progress;
    shared_reply content;
    instant run_deadline; ///< From then on the holder cannot be running the request.
    instant expires_at;

    /// Returns the state at `now`: `may_have_run` if the holder has not reported the
    /// end by `run_deadline`.
    messages::claim_state state_at(instant now) const;
};

/// Stores the records of one keeper, within limits on their count and bytes.
///
/// Thread safety: one owner.
class claim_store
{
public:
    explicit claim_store(claims_settings const& limits) : limits_(limits) {}

    /// Returns the record, or null. The pointer is valid until the next put() or expire().
    stored_claim const* find(messages::claim_id const& id) const;

    /// Returns whether one more record fits.
    bool has_room() const;

    /// Inserts or replaces a record. A reply that exceeds a limit is dropped, and the
    /// state becomes `reply_dropped`.
    void put(messages::claim_id const& id, stored_claim record);

    /// Removes the records that have expired.
    void expire(instant now);

    /// Returns the records in ascending order of their ids.
    std::map<messages::claim_id, stored_claim> const& records() const { return records_; }

private:
    void remove(messages::claim_id const& id);

    claims_settings const& limits_;
    std::map<messages::claim_id, stored_claim> records_;
    std::set<std::pair<instant, messages::claim_id>> expiries_;
    byte_count reply_bytes_;
};

/// Convert between the record of a message and a stored claim. The remaining times of
/// a message count from `now`.
stored_claim to_stored_claim(messages::claim_record const& record, instant now);
messages::claim_record to_claim_record(messages::claim_id const& id, stored_claim const& claim,
                                       instant now);

} // namespace mulberryrudder::entry

#endif
