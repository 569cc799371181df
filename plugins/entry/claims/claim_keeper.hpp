#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_CLAIMS_CLAIM_KEEPER_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_CLAIMS_CLAIM_KEEPER_HPP

#include "claim_store.hpp"
#include "keeper_sets.hpp"

#include <map>
#include <optional>
#include <set>

namespace mulberryrudder::entry
{

/// The keeper's side of the claim protocol. A keeper grants a claim to the first
/// claimant that requests it, and only if it can rule out an earlier grant.
///
/// It can rule one out for a key that was created after the keeper started to
/// observe the membership, if the key's keepers have not changed since. For an older
/// key it also needs the records of the key's other keepers, and these records must
/// be complete from before the key's creation.
///
/// Thread safety: one owner.
class claim_keeper
{
public:
    claim_keeper(instance_id self, boot_id boot, claims_settings const& config)
        : self_(self), boot_(boot), config_(config), store_(config)
    {
    }

    /// Updates the membership from a live lease. If the last update is more than
    /// `view_bound` old, observation restarts at `now`; the records are kept.
    void update_view(keeper_view view, instant now);

    /// Returns whether the membership was confirmed within the last `view_bound`.
    bool is_view_current(instant now) const;

    /// Returns the current view. Precondition: update_view() was called.
    keeper_view const& view() const { return views_.current(); }
    bool has_view() const { return !views_.empty(); }

    /// Returns the answer to a claimant; nothing if the store is full or the request
    /// is a late copy.
    std::optional<messages::claim_answer> handle_request(messages::claim_request const& request,
                                                         instant now);

    /// Records the end of a claim.
    void handle_end(messages::claim_end const& message, instant now);

    /// Returns a page of the records of which the requester is a keeper too.
    messages::claims_page make_page(messages::claims_pull const& pull, instance_id requester,
                                    instant now) const;

    /// Merges a page of a peer's records; returns the pull for the next page, if any.
    std::optional<messages::claims_pull> merge(messages::claims_page const& page,
                                               instance_id sender, instant now);

    /// Returns the instances whose records are to be pulled now.
    std::vector<instance_id> due_pulls(instant now);

    /// Returns whether every other member's records have been pulled.
    bool is_recovered() const;

    /// Removes expired records.
    void expire(instant now);

    std::size_t size() const { return store_.records().size(); }

private:
    bool is_keeper(instance_id instance, messages::claim_id const& id,
                   customer_id const& customer) const;
    /// Returns whether no other claimant can hold an earlier grant for the key.
    bool can_rule_out_earlier_grant(messages::claim_request const& request, instant now) const;
    /// Returns the time since which the records include every grant: by this keeper's
    /// own observation, or earlier if the records of all `others` were pulled.
    instant complete_since(std::vector<instance_id> const& others) const;
    std::vector<instance_id> members_except(instance_id excluded) const;
    messages::claim_answer make_answer(messages::claim_request const& request,
                                       messages::claim_answer_kind kind) const;
    messages::claim_answer answer_from_record(messages::claim_request const& request,
                                              stored_claim const& record, instant now) const;
    void merge(messages::claim_record const& reported, instant now);

    instance_id self_;
    boot_id boot_;
    claims_settings const& config_;
    claim_store store_;
    view_history views_;
    instant view_confirmed_at_{}; ///< When a live lease last confirmed the membership.
    instant next_pull_{};
    std::map<instance_id, instant> pulled_; ///< Peers and since when their records are complete.
};

} // namespace mulberryrudder::entry

#endif
