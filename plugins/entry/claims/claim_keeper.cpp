#include "claim_keeper.hpp"

#include <mulberryrudder/core/invariant.hpp>

#include <algorithm>
#include <iterator>

namespace mulberryrudder::entry
{

using messages::claim_answer_kind;
using messages::claim_state;

namespace
{

constexpr std::size_t page_size = 256;
constexpr std::size_t page_bytes = 64 * 1024;
constexpr span pull_period = seconds(1);

bool has_ended(claim_state state)
{
    return state == claim_state::finished || state == claim_state::reply_dropped;
}

/// Orders states by how much they say that the request ran.
int weight(claim_state state)
{
    switch (state)
    {
    case claim_state::released:
        return 0;
    case claim_state::in_progress:
        return 1;
    case claim_state::may_have_run:
        return 2;
    case claim_state::reply_dropped:
        return 3;
    case claim_state::finished:
        return 4;
    }
    return 2;
}

} // namespace

void claim_keeper::follow(keeper_view view, instant now)
{
    if (!views_.empty() && now - confirmed_ > config_.view_bound)
    {
        views_.clear();
        pulled_.clear();
    }
    // Claims that counted a grant of this instance's last start have ended by then.
    if (views_.empty())
        next_pull_ = now + 2 * config_.timeout;
    confirmed_ = now;
    views_.follow(std::move(view), now);
    views_.forget_before(now - config_.window - config_.settling());
}

bool claim_keeper::is_watching(instant now) const
{
    return !views_.empty() && now - confirmed_ <= config_.view_bound;
}

instant claim_keeper::complete_since(std::vector<instance_id> const& others) const
{
    auto latest = instant::min();
    for (auto const& id : others)
    {
        auto const it = pulled_.find(id);
        if (it == pulled_.end())
            return views_.first_known();
        latest = std::max(latest, it->second);
    }
    return std::min(latest, views_.first_known());
}

bool claim_keeper::is_sure(messages::claim_request const& it, instant now) const
{
    if (!is_watching(now) || it.key_age > config_.window)
        return false;
    auto others = it.keepers;
    if (std::erase(others, self_) == 0)
        return false;
    auto const horizon = now - it.key_age - config_.settling();
    return complete_since(others) <= horizon &&
           views_.unchanged_since(horizon, it.wanted.id, it.wanted.customer, it.keepers);
}

messages::claim_answer claim_keeper::answer(messages::claim_request const& it,
                                            claim_answer_kind kind) const
{
    return {.id = it.wanted.id, .holder = it.wanted.holder, .kind = kind};
}

messages::claim_answer claim_keeper::known(messages::claim_request const& it,
                                           stored_claim const& record, instant now) const
{
    if (record.fingerprint != it.wanted.fingerprint)
        return answer(it, claim_answer_kind::other_content);
    auto out = answer(it, claim_answer_kind::held);
    out.known = record.state_at(now);
    out.content = record.content;
    return out;
}

std::optional<messages::claim_answer> claim_keeper::ask(messages::claim_request const& it,
                                                        instant now)
{
    auto const* const record = store_.find(it.wanted.id);
    if (record != nullptr && record->holder == it.wanted.holder)
    {
        // A late copy must not bring a released claim back to life.
        if (record->state != claim_state::in_progress)
            return std::nullopt;
        return answer(it, claim_answer_kind::granted);
    }
    if (record != nullptr && record->state != claim_state::released)
        return known(it, *record, now);
    if (!is_sure(it, now))
        return answer(it, claim_answer_kind::unsettled);
    if (record == nullptr && !store_.has_room())
        return std::nullopt;
    store_.put(it.wanted.id, stored_from(it.wanted, now));
    return answer(it, claim_answer_kind::granted);
}

void claim_keeper::end(messages::claim_end const& it, instant now)
{
    auto const* const record = store_.find(it.record.id);
    auto const& told = it.record;
    if (record == nullptr || record->holder == told.holder)
    {
        bool const known_better = record != nullptr && has_ended(record->state);
        if (!known_better)
            store_.put(told.id, stored_from(told, now));
        return;
    }
    check_invariant(!(has_ended(record->state) && has_ended(told.state)),
                    "a non-idempotent request ran twice under one Idempotency-Key");
    // The other holder's claim had no majority if this one may have run.
    if (weight(told.state) > weight(record->state))
        store_.put(told.id, stored_from(told, now));
}

std::vector<instance_id> claim_keeper::others_than(instance_id excluded) const
{
    std::vector<instance_id> out;
    if (views_.empty())
        return out;
    for (auto const& it : views_.current().places)
        if (it.id != self_ && it.id != excluded)
            out.push_back(it.id);
    return out;
}

bool claim_keeper::is_keeper(instance_id who, messages::claim_id const& id,
                             customer_id const& customer) const
{
    if (views_.empty())
        return true;
    auto const keepers = keepers_of(id, customer, views_.current());
    return std::find(keepers.begin(), keepers.end(), who) != keepers.end();
}

messages::claims_page claim_keeper::page(messages::claims_pull const& it, instance_id asker,
                                         instant now) const
{
    messages::claims_page out{.boot = it.boot, .after = it.after};
    auto const& all = store_.records();
    auto at = it.after == messages::claim_id{} ? all.begin() : all.upper_bound(it.after);
    std::size_t n = 0;
    for (; at != all.end() && out.records.size() != page_size && n < page_bytes; ++at)
    {
        if (!is_keeper(asker, at->first, at->second.customer))
            continue;
        n += at->second.content ? at->second.content->body.size() : 0;
        out.records.push_back(record_of(at->first, at->second, now));
    }
    out.more = at != all.end();
    if (out.more)
        out.next = std::prev(at)->first;
    if (!is_watching(now))
        return out;
    auto since = complete_since(others_than(asker));
    if (views_.has_changed())
        since = std::max(since, views_.last_change());
    out.settled_for = now - since;
    out.view = digest_of(views_.current());
    return out;
}

std::optional<messages::claims_pull> claim_keeper::merge(messages::claims_page const& it,
                                                         instance_id from, instant now)
{
    if (it.boot != boot_)
        return std::nullopt;
    for (auto const& record : it.records)
        merge(record, now);
    if (it.more)
        return messages::claims_pull{.boot = boot_, .after = it.next};
    // What a peer is sure of holds here only if it sees the same members.
    if (views_.empty() || it.view != digest_of(views_.current()))
        return std::nullopt;
    auto const since = now - it.settled_for;
    auto const [known, added] = pulled_.emplace(from, since);
    if (!added)
        known->second = std::min(known->second, since);
    return std::nullopt;
}

void claim_keeper::merge(messages::claim_record const& it, instant now)
{
    auto const* const record = store_.find(it.id);
    auto taken = stored_from(it, now);
    if (record == nullptr)
        return store_.put(it.id, std::move(taken));
    bool const contested = record->holder != taken.holder &&
                           record->state == claim_state::in_progress &&
                           taken.state == claim_state::in_progress;
    // Either may have had the majority, with a grant that a restart forgot; neither
    // can release the other's claim.
    if (contested)
    {
        taken.state = claim_state::may_have_run;
        taken.holder = {};
    }
    if (weight(taken.state) > weight(record->state))
        store_.put(it.id, std::move(taken));
}

std::vector<instance_id> claim_keeper::due_pulls(instant now)
{
    std::vector<instance_id> out;
    if (!is_watching(now) || now < next_pull_)
        return out;
    next_pull_ = now + pull_period;
    for (auto const& it : others_than(self_))
        if (!pulled_.contains(it))
            out.push_back(it);
    return out;
}

bool claim_keeper::is_recovered() const
{
    auto const others = others_than(self_);
    return std::all_of(others.begin(), others.end(),
                       [this](auto const& it) { return pulled_.contains(it); });
}

void claim_keeper::expire(instant now)
{
    store_.expire(now);
}

} // namespace mulberryrudder::entry
