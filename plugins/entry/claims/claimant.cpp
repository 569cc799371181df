#include "claimant.hpp"

#include "keeper_sets.hpp"

#include <algorithm>

namespace mulberryrudder::entry
{

using messages::claim_answer;
using messages::claim_answer_kind;
using messages::claim_state;

namespace
{

constexpr span repeat_period = milliseconds(250);

/// Orders answers by how much they settle about an earlier request.
int weight(claim_answer const& it)
{
    if (it.kind == claim_answer_kind::granted)
        return 0;
    if (it.kind == claim_answer_kind::unsettled)
        return 1;
    if (it.kind == claim_answer_kind::other_content)
        return 4;
    switch (it.known)
    {
    case claim_state::finished:
        return 6;
    case claim_state::reply_dropped:
        return 5;
    case claim_state::may_have_run:
        return 3;
    case claim_state::in_progress:
    case claim_state::released:
        return 2;
    }
    return 2;
}

bool has_ended(claim_answer const& it)
{
    return it.kind == claim_answer_kind::held &&
           (it.known == claim_state::finished || it.known == claim_state::reply_dropped);
}

} // namespace

void asked_claim::take(instance_id from, claim_answer const& it, instant now)
{
    auto const& keepers = asked_.keepers;
    if (std::find(keepers.begin(), keepers.end(), from) == keepers.end())
        return;
    if (progress_ != claim_progress::asking || give_up_ <= now)
        return expire(now);
    answers_.insert_or_assign(from, it);
    settle(now);
}

std::size_t asked_claim::grants() const
{
    return static_cast<std::size_t>(
        std::count_if(answers_.begin(), answers_.end(),
                      [](auto const& it) { return it.second.kind == claim_answer_kind::granted; }));
}

void asked_claim::settle(instant now)
{
    for (auto const& [from, it] : answers_)
        if (!reason_ || weight(it) > weight(*reason_))
            reason_ = it;
    if (reason_ && has_ended(*reason_))
    {
        progress_ = claim_progress::denied;
        return;
    }
    auto const needed = majority_of(asked_.keepers.size());
    if (grants() >= needed)
    {
        progress_ = claim_progress::granted;
        return;
    }
    // A later answer may still bring the stored reply, so all are waited for.
    bool const complete = answers_.size() == asked_.keepers.size();
    if (!complete && now < give_up_)
        return;
    progress_ = claim_progress::denied;
    if (reason_ && reason_->kind == claim_answer_kind::granted)
        reason_.reset();
}

void asked_claim::expire(instant now)
{
    if (progress_ == claim_progress::asking && give_up_ <= now)
        settle(now);
}

void claim_endings::add(messages::claim_end what, std::vector<instance_id> const& keepers,
                        instant now)
{
    auto const key = std::pair(what.record.id, what.record.holder);
    endings_.insert_or_assign(key, ending{.what = std::move(what),
                                          .silent = {keepers.begin(), keepers.end()},
                                          .next = now,
                                          .give_up = now + config_.end_retry});
}

void claim_endings::acknowledged(instance_id by, messages::claim_end_ack const& it)
{
    auto const found = endings_.find({it.id, it.holder});
    if (found == endings_.end())
        return;
    found->second.silent.erase(by);
    if (found->second.silent.empty())
        endings_.erase(found);
}

std::vector<claim_endings::due_end> claim_endings::due(instant now)
{
    std::vector<due_end> out;
    std::erase_if(endings_, [now](auto const& it) { return it.second.give_up <= now; });
    for (auto& [key, it] : endings_)
    {
        if (now < it.next)
            continue;
        it.next = now + repeat_period;
        for (auto const& to : it.silent)
            out.push_back({to, it.what});
    }
    return out;
}

} // namespace mulberryrudder::entry
