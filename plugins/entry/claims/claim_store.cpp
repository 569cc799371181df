#include "claim_store.hpp"

#include <algorithm>

namespace mulberryrudder::entry
{

using messages::claim_state;

namespace
{

byte_count reply_size(stored_claim const& claim)
{
    return byte_count(claim.content ? static_cast<std::int64_t>(claim.content->body.size()) : 0);
}

} // namespace

claim_state stored_claim::state_at(instant now) const
{
    bool const overdue = state == claim_state::in_progress && run_deadline <= now;
    return overdue ? claim_state::may_have_run : state;
}

stored_claim const* claim_store::find(messages::claim_id const& id) const
{
    auto const it = records_.find(id);
    return it == records_.end() ? nullptr : &it->second;
}

bool claim_store::has_room() const
{
    return static_cast<std::int64_t>(records_.size()) < limits_.record_limit;
}

void claim_store::put(messages::claim_id const& id, stored_claim record)
{
    remove(id);
    bool const fits = reply_size(record) <= limits_.reply_limit &&
                      reply_bytes_ + reply_size(record) <= limits_.store_limit;
    if (record.state == claim_state::finished && !fits)
    {
        record.state = claim_state::reply_dropped;
        record.content = nullptr;
    }
    reply_bytes_ += reply_size(record);
    expiries_.emplace(record.expires_at, id);
    records_.emplace(id, std::move(record));
}

void claim_store::remove(messages::claim_id const& id)
{
    auto const it = records_.find(id);
    if (it == records_.end())
        return;
    reply_bytes_ -= reply_size(it->second);
    expiries_.erase({it->second.expires_at, id});
    records_.erase(it);
}

void claim_store::expire(instant now)
{
    while (!expiries_.empty() && expiries_.begin()->first <= now)
        remove(messages::claim_id(expiries_.begin()->second));
}

stored_claim to_stored_claim(messages::claim_record const& record, instant now)
{
    return {.customer = record.customer,
            .fingerprint = record.fingerprint,
            .holder = record.holder,
            .state = record.state,
            .content = record.content,
            .run_deadline = now + record.run_within,
            .expires_at = now + record.expires_in};
}

messages::claim_record to_claim_record(messages::claim_id const& id, stored_claim const& claim,
                                       instant now)
{
    return {.id = id,
            .customer = claim.customer,
            .fingerprint = claim.fingerprint,
            .holder = claim.holder,
            .state = claim.state,
            .content = claim.content,
            .run_within = std::max(claim.run_deadline - now, span{}),
            .expires_in = std::max(claim.expires_at - now, span{})};
}

} // namespace mulberryrudder::entry
