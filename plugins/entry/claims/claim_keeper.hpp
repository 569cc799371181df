#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_CLAIMS_CLAIM_KEEPER_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_CLAIMS_CLAIM_KEEPER_HPP

#include "claim_store.hpp"
#include "keeper_sets.hpp"

#include <map>
#include <optional>
#include <set>

namespace mulberryrudder::entry
{

/// The keeper's side of the claims: grants a claim to the first that asks, and
/// only while it can be sure that no other was granted before. It can be sure of
/// a key that was made after the keeper began to watch, while the key's keepers
/// did not change; and of an older key once it has the records of the key's other
/// keepers, as far as these can be sure.
///
/// Thread safety: one owner.
class claim_keeper
{
public:
    claim_keeper(instance_id self, boot_id boot, claims_settings const& config)
        : self_(self), boot_(boot), config_(config), store_(config)
    {
    }

    /// Takes the membership that a live lease shows. After a time without one the
    /// keeper starts to watch anew; its records stay.
    void follow(keeper_view view, instant now);

    /// Returns whether the membership was confirmed lately enough to act.
    bool is_watching(instant now) const;

    /// Returns the current view. Precondition: follow() was called.
    keeper_view const& view() const { return views_.current(); }
    bool has_view() const { return !views_.empty(); }

    /// Answers a claimant; nothing if the keeper has no room or the message is stale.
    std::optional<messages::claim_answer> ask(messages::claim_request const& it, instant now);

    /// Takes a claim's end.
    void end(messages::claim_end const& it, instant now);

    /// Returns a page of the records of which the asker is a keeper too.
    messages::claims_page page(messages::claims_pull const& it, instance_id asker,
                               instant now) const;

    /// Takes a page over; returns the pull for the next one, if there is more.
    std::optional<messages::claims_pull> merge(messages::claims_page const& it, instance_id from,
                                               instant now);

    /// Returns the instances to pull records from now.
    std::vector<instance_id> due_pulls(instant now);

    /// Returns whether every other member's records were taken over.
    bool is_recovered() const;

    void expire(instant now);

    std::size_t size() const { return store_.records().size(); }

private:
    bool is_keeper(instance_id who, messages::claim_id const& id,
                   customer_id const& customer) const;
    bool is_sure(messages::claim_request const& it, instant now) const;
    instant complete_since(std::vector<instance_id> const& others) const;
    std::vector<instance_id> others_than(instance_id excluded) const;
    messages::claim_answer answer(messages::claim_request const& it,
                                  messages::claim_answer_kind kind) const;
    messages::claim_answer known(messages::claim_request const& it, stored_claim const& record,
                                 instant now) const;
    void merge(messages::claim_record const& it, instant now);

    instance_id self_;
    boot_id boot_;
    claims_settings const& config_;
    claim_store store_;
    view_history views_;
    instant confirmed_{}; ///< When a live lease last showed the membership.
    instant next_pull_{};
    std::map<instance_id, instant> pulled_; ///< Since when each peer could be sure.
};

} // namespace mulberryrudder::entry

#endif
