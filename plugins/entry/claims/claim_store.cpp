#include "claim_store.hpp"

#include <algorithm>

namespace mulberryrudder::entry
{

using messages::claim_state;

namespace
{

byte_count size_of(stored_claim const& it)
{
    return byte_count(it.content ? static_cast<std::int64_t>(it.content->body.size()) : 0);
}

} // namespace

claim_state stored_claim::state_at(instant now) const
{
    bool const overdue = state == claim_state::in_progress && run_by <= now;
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
    drop(id);
    bool const fits = size_of(record) <= limits_.reply_limit &&
                      reply_bytes_ + size_of(record) <= limits_.store_limit;
    if (record.state == claim_state::finished && !fits)
    {
        record.state = claim_state::reply_dropped;
        record.content = nullptr;
    }
    reply_bytes_ += size_of(record);
    expiries_.emplace(record.expires, id);
    records_.emplace(id, std::move(record));
}

void claim_store::drop(messages::claim_id const& id)
{
    auto const it = records_.find(id);
    if (it == records_.end())
        return;
    reply_bytes_ -= size_of(it->second);
    expiries_.erase({it->second.expires, id});
    records_.erase(it);
}

void claim_store::expire(instant now)
{
    while (!expiries_.empty() && expiries_.begin()->first <= now)
        drop(messages::claim_id(expiries_.begin()->second));
}

stored_claim stored_from(messages::claim_record const& it, instant now)
{
    return {.customer = it.customer,
            .fingerprint = it.fingerprint,
            .holder = it.holder,
            .state = it.state,
            .content = it.content,
            .run_by = now + it.run_within,
            .expires = now + it.expires_in};
}

messages::claim_record record_of(messages::claim_id const& id, stored_claim const& it, instant now)
{
    return {.id = id,
            .customer = it.customer,
            .fingerprint = it.fingerprint,
            .holder = it.holder,
            .state = it.state,
            .content = it.content,
            .run_within = std::max(it.run_by - now, span{}),
            .expires_in = std::max(it.expires - now, span{})};
}

} // namespace mulberryrudder::entry
