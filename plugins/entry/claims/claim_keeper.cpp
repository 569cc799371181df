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

constexpr std::size_t max_page_records = 256;
constexpr std::size_t max_page_bytes = 65'536;
constexpr span pull_interval = seconds(1);

bool has_ended(claim_state state)
{
    return state == claim_state::finished || state == claim_state::reply_dropped;
}

/// Ranks states by how strongly they indicate that the request ran.
int evidence_rank(claim_state state)
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

void claim_keeper::update_view(keeper_view view, instant now)
{
    if (!views_.empty() && now - view_confirmed_at_ > config_.view_bound)
    {
        views_.clear();
        pulled_.clear();
    }
    // Claims that rely on a grant from before this instance restarted have ended by then.
    if (views_.empty())
        next_pull_ = now + 2 * config_.timeout;
    view_confirmed_at_ = now;
    views_.update(std::move(view), now);
    views_.discard_before(now - config_.window - config_.settling_time());
}

bool claim_keeper::is_view_current(instant now) const
{
    return !views_.empty() && now - view_confirmed_at_ <= config_.view_bound;
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

bool claim_keeper::can_rule_out_earlier_grant(messages::claim_request const& request,
                                              instant now) const
{
    if (!is_view_current(now) || request.key_age > config_.window)
        return false;
    auto others = request.keepers;
    if (std::erase(others, self_) == 0)
        return false;
    auto const horizon = now - request.key_age - config_.settling_time();
    return complete_since(others) <= horizon &&
           views_.unchanged_since(horizon, request.wanted.id, request.wanted.customer,
                                  request.keepers);
}

messages::claim_answer claim_keeper::make_answer(messages::claim_request const& request,
                                                 claim_answer_kind kind) const
{
    return {.id = request.wanted.id, .holder = request.wanted.holder, .kind = kind};
}

messages::claim_answer claim_keeper::answer_from_record(messages::claim_request const& request,
                                                        stored_claim const& record,
                                                        instant now) const
{
    if (record.fingerprint != request.wanted.fingerprint)
        return make_answer(request, claim_answer_kind::other_content);
    auto out = make_answer(request, claim_answer_kind::held);
    out.known = record.state_at(now);
    out.content = record.content;
    return out;
}

std::optional<messages::claim_answer>
claim_keeper::handle_request(messages::claim_request const& request, instant now)
{
    auto const* const record = store_.find(request.wanted.id);
    if (record != nullptr && record->holder == request.wanted.holder)
    {
        // A late copy of the request must not reactivate a released claim.
        if (record->state != claim_state::in_progress)
            return std::nullopt;
        return make_answer(request, claim_answer_kind::granted);
    }
    if (record != nullptr && record->state != claim_state::released)
        return answer_from_record(request, *record, now);
    if (!can_rule_out_earlier_grant(request, now))
        return make_answer(request, claim_answer_kind::unsettled);
    if (record == nullptr && !store_.has_room())
        return std::nullopt;
    store_.put(request.wanted.id, to_stored_claim(request.wanted, now));
    return make_answer(request, claim_answer_kind::granted);
}

void claim_keeper::handle_end(messages::claim_end const& message, instant now)
{
    auto const* const stored = store_.find(message.record.id);
    auto const& reported = message.record;
    if (stored == nullptr || stored->holder == reported.holder)
    {
        bool const already_ended = stored != nullptr && has_ended(stored->state);
        if (!already_ended)
            store_.put(reported.id, to_stored_claim(reported, now));
        return;
    }
    check_invariant(!(has_ended(stored->state) && has_ended(reported.state)),
                    "a non-idempotent request ran twice under one Idempotency-Key");
    // If this claim may have run, the other holder's claim had no majority.
    if (evidence_rank(reported.state) > evidence_rank(stored->state))
        store_.put(reported.id, to_stored_claim(reported, now));
}

std::vector<instance_id> claim_keeper::members_except(instance_id excluded) const
{
    std::vector<instance_id> out;
    if (views_.empty())
        return out;
    for (auto const& it : views_.current().members)
        if (it.id != self_ && it.id != excluded)
            out.push_back(it.id);
    return out;
}

bool claim_keeper::is_keeper(instance_id instance, messages::claim_id const& id,
                             customer_id const& customer) const
{
    if (views_.empty())
        return true;
    auto const keepers = keepers_of(id, customer, views_.current());
    return std::find(keepers.begin(), keepers.end(), instance) != keepers.end();
}

messages::claims_page claim_keeper::make_page(messages::claims_pull const& pull,
                                              instance_id requester, instant now) const
{
    messages::claims_page out{.boot = pull.boot, .after = pull.after};
    auto const& records = store_.records();
    auto it =
        pull.after == messages::claim_id{} ? records.begin() : records.upper_bound(pull.after);
    std::size_t body_bytes = 0;
    for (; it != records.end() && out.records.size() != max_page_records &&
           body_bytes < max_page_bytes;
         ++it)
    {
        if (!is_keeper(requester, it->first, it->second.customer))
            continue;
        body_bytes += it->second.content ? it->second.content->body.size() : 0;
        out.records.push_back(to_claim_record(it->first, it->second, now));
    }
    out.more = it != records.end();
    if (out.more)
        out.next = std::prev(it)->first;
    if (!is_view_current(now))
        return out;
    auto complete_from = complete_since(members_except(requester));
    if (views_.has_changed())
        complete_from = std::max(complete_from, views_.last_change());
    out.settled_for = now - complete_from;
    out.view = digest_of(views_.current());
    return out;
}

std::optional<messages::claims_pull> claim_keeper::merge(messages::claims_page const& page,
                                                         instance_id sender, instant now)
{
    if (page.boot != boot_)
        return std::nullopt;
    for (auto const& record : page.records)
        merge(record, now);
    if (page.more)
        return messages::claims_pull{.boot = boot_, .after = page.next};
    // The peer's records count as complete here only if both have the same view.
    if (views_.empty() || page.view != digest_of(views_.current()))
        return std::nullopt;
    auto const complete_from = now - page.settled_for;
    auto const [known, added] = pulled_.emplace(sender, complete_from);
    if (!added)
        known->second = std::min(known->second, complete_from);
    return std::nullopt;
}

void claim_keeper::merge(messages::claim_record const& reported, instant now)
{
    auto const* const stored = store_.find(reported.id);
    auto incoming = to_stored_claim(reported, now);
    if (stored == nullptr)
        return store_.put(reported.id, std::move(incoming));
    bool const contested = stored->holder != incoming.holder &&
                           stored->state == claim_state::in_progress &&
                           incoming.state == claim_state::in_progress;
    // Either may have had the majority, with a grant that a restarted keeper lost, so
    // neither holder may release the other's claim.
    if (contested)
    {
        incoming.state = claim_state::may_have_run;
        incoming.holder = {};
    }
    if (evidence_rank(incoming.state) > evidence_rank(stored->state))
        store_.put(reported.id, std::move(incoming));
}

std::vector<instance_id> claim_keeper::due_pulls(instant now)
{
    std::vector<instance_id> out;
    if (!is_view_current(now) || now < next_pull_)
        return out;
    next_pull_ = now + pull_interval;
    for (auto const& it : members_except(self_))
        if (!pulled_.contains(it))
            out.push_back(it);
    return out;
}

bool claim_keeper::is_recovered() const
{
    auto const others = members_except(self_);
    return std::all_of(others.begin(), others.end(),
                       [this](auto const& it) { return pulled_.contains(it); });
}

void claim_keeper::expire(instant now)
{
    store_.expire(now);
}

} // namespace mulberryrudder::entry
