#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_CLAIMS_CLAIMANT_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_CLAIMS_CLAIMANT_HPP

#include "claims_settings.hpp"

#include <mulberryrudder/core/time.hpp>
#include <mulberryrudder/messages/claims.hpp>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace mulberryrudder::entry
{

/// How far a claim has come.
enum class claim_progress
{
    asking,
    granted,
    denied ///< No majority; `reason` of the claim says why.
};

/// One request's claim as the claimant sees it.
class asked_claim
{
public:
    asked_claim(messages::claim_request asked, instant give_up)
        : asked_(std::move(asked)), give_up_(give_up)
    {
    }

    messages::claim_request const& asked() const { return asked_; }
    claim_progress progress() const { return progress_; }
    instant give_up() const { return give_up_; }

    /// Takes a keeper's answer, or lets time pass; settles the claim when it can.
    void take(instance_id from, messages::claim_answer const& it, instant now);
    void expire(instant now);

    /// Returns the answer that decides a denied claim; nothing if too few keepers
    /// answered and none knew of an earlier claim.
    std::optional<messages::claim_answer> const& reason() const { return reason_; }

private:
    void settle(instant now);
    std::size_t grants() const;

    messages::claim_request asked_;
    instant give_up_;
    claim_progress progress_ = claim_progress::asking;
    std::map<instance_id, messages::claim_answer> answers_;
    std::optional<messages::claim_answer> reason_;
};

/// Repeats the ends of claims until each keeper has acknowledged them.
///
/// Thread safety: one owner.
class claim_endings
{
public:
    /// One message that is due.
    struct due_end
    {
        instance_id to;
        messages::claim_end what;
    };

    explicit claim_endings(claims_settings const& config) : config_(config) {}

    /// Takes an end over, to be told to the keepers from now on.
    void add(messages::claim_end what, std::vector<instance_id> const& keepers, instant now);

    void acknowledged(instance_id by, messages::claim_end_ack const& it);

    /// Returns the messages that are due; gives up on keepers that stay silent.
    std::vector<due_end> due(instant now);

private:
    struct ending
    {
        messages::claim_end what;
        std::set<instance_id> silent;
        instant next;
        instant give_up;
    };

    claims_settings const& config_;
    std::map<std::pair<messages::claim_id, messages::claim_holder>, ending> endings_;
};

} // namespace mulberryrudder::entry

#endif
