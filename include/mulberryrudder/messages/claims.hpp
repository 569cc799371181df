#ifndef MULBERRYRUDDER_MESSAGES_CLAIMS_HPP
#define MULBERRYRUDDER_MESSAGES_CLAIMS_HPP

#include <mulberryrudder/core/digest.hpp>
#include <mulberryrudder/core/exchange.hpp>
#include <mulberryrudder/core/ids.hpp>
#include <mulberryrudder/core/time.hpp>

#include <compare>
#include <vector>

namespace mulberryrudder::messages
{

/// Names a claim: the digest of a customer and its Idempotency-Key.
using claim_id = strong_id<struct claim_tag, digest>;

/// Who holds a claim: one request at one start of one entry instance.
struct claim_holder
{
    instance_id instance;
    boot_id boot;
    request_id request;

    friend auto operator<=>(claim_holder const&, claim_holder const&) = default;
    friend bool operator==(claim_holder const&, claim_holder const&) = default;
};

/// What a keeper knows of a claim.
enum class claim_state : std::uint16_t
{
    in_progress,   ///< Granted to its holder, who may run the request.
    finished,      ///< Ran; the reply is kept.
    reply_dropped, ///< Ran; the reply was too large to keep.
    may_have_run,  ///< Its end is not known.
    released       ///< Nothing ran; another holder may have it.
};

/// One claim as a keeper stores it; the spans are what is left at sending.
struct claim_record
{
    claim_id id;
    customer_id customer; ///< Whose home region the keepers are chosen by.
    digest fingerprint;   ///< Of the request's content.
    claim_holder holder;
    claim_state state = claim_state::in_progress;
    shared_reply content;      ///< With `finished`, else null.
    microseconds run_within{}; ///< Until the holder can no longer be running it.
    microseconds expires_in{}; ///< Until the record may be forgotten.
};

/// Asks a keeper for a claim.
struct claim_request
{
    claim_record wanted;              ///< State `in_progress`.
    std::vector<instance_id> keepers; ///< The keeper set as the claimant sees it, ascending.
    microseconds key_age{};           ///< Since the Idempotency-Key was made, by its own time.
};

/// What a keeper answers.
enum class claim_answer_kind : std::uint16_t
{
    granted,
    held,          ///< A record stands in the way; `known` shows its state.
    other_content, ///< A record of the same key has another fingerprint.
    unsettled      ///< The keeper cannot tell whether the key was claimed before.
};

/// Answers a claim_request.
struct claim_answer
{
    claim_id id;
    claim_holder holder; ///< The asker.
    claim_answer_kind kind = claim_answer_kind::unsettled;
    claim_state known = claim_state::in_progress; ///< With `held`.
    shared_reply content;                         ///< With `held` and `finished`.
};

/// Tells a keeper how a claim ended; repeated until it is acknowledged.
struct claim_end
{
    claim_record record; ///< State `finished`, `reply_dropped`, `may_have_run` or `released`.
};

/// Acknowledges a claim_end.
struct claim_end_ack
{
    claim_id id;
    claim_holder holder;
};

/// Asks another keeper for the records that the sender is a keeper of too.
struct claims_pull
{
    boot_id boot;
    claim_id after; ///< Last id of the page before; the zero digest for the first.
};

/// One page of records, in ascending order of their ids.
struct claims_page
{
    boot_id boot;   ///< Of the asker.
    claim_id after; ///< Of the pull.
    std::vector<claim_record> records;
    bool more = false;
    claim_id next; ///< With `more`: where the next pull goes on.
    digest view; ///< Of the members and home regions that the sender sees.
    /// For how long the sender has seen the same members, with complete records.
    microseconds settled_for{};
};

} // namespace mulberryrudder::messages

#endif
