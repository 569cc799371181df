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

constexpr span resend_interval = milliseconds(250);

/// Ranks answers by how much they tell about an earlier request with the same key.
int answer_rank(claim_answer const& answer)
{
    if (answer.kind == claim_answer_kind::granted)
        return 0;
    if (answer.kind == claim_answer_kind::unsettled)
        return 1;
    if (answer.kind == claim_answer_kind::other_content)
        return 4;
    switch (answer.known)
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

bool has_ended(claim_answer const& answer)
{
    return answer.kind == claim_answer_kind::held &&
           (answer.known == claim_state::finished || answer.known == claim_state::reply_dropped);
}

} // namespace

void requested_claim::add_answer(instance_id keeper, claim_answer const& answer, instant now)
{
    auto const& keepers = request_.keepers;
    if (std::find(keepers.begin(), keepers.end(), keeper) == keepers.end())
        return;
    if (progress_ != claim_progress::pending || deadline_ <= now)
        return expire(now);
    answers_.insert_or_assign(keeper, answer);
    evaluate(now);
}

std::size_t requested_claim::grant_count() const
{
    return static_cast<std::size_t>(
        std::count_if(answers_.begin(), answers_.end(),
                      [](auto const& it) { return it.second.kind == claim_answer_kind::granted; }));
}

void requested_claim::evaluate(instant now)
{
    for (auto const& [keeper, it] : answers_)
        if (!reason_ || answer_rank(it) > answer_rank(*reason_))
            reason_ = it;
    if (reason_ && has_ended(*reason_))
    {
        progress_ = claim_progress::denied;
        return;
    }
    auto const needed = majority_of(request_.keepers.size());
    if (grant_count() >= needed)
    {
        progress_ = claim_progress::granted;
        return;
    }
    // Waits for all answers, since a later one may still carry the stored reply.
    bool const complete = answers_.size() == request_.keepers.size();
    if (!complete && now < deadline_)
        return;
    progress_ = claim_progress::denied;
    if (reason_ && reason_->kind == claim_answer_kind::granted)
        reason_.reset();
}

void requested_claim::expire(instant now)
{
    if (progress_ == claim_progress::pending && deadline_ <= now)
        evaluate(now);
}

void claim_end_sender::add(messages::claim_end message, std::vector<instance_id> const& keepers,
                           instant now)
{
    auto const key = std::pair(message.record.id, message.record.holder);
    pending_.insert_or_assign(key, pending_end{.message = std::move(message),
                                               .unacknowledged = {keepers.begin(), keepers.end()},
                                               .next_send = now,
                                               .deadline = now + config_.end_retry});
}

void claim_end_sender::acknowledge(instance_id keeper, messages::claim_end_ack const& ack)
{
    auto const found = pending_.find({ack.id, ack.holder});
    if (found == pending_.end())
        return;
    found->second.unacknowledged.erase(keeper);
    if (found->second.unacknowledged.empty())
        pending_.erase(found);
}

std::vector<claim_end_sender::due_end> claim_end_sender::due(instant now)
{
    std::vector<due_end> out;
    std::erase_if(pending_, [now](auto const& it) { return it.second.deadline <= now; });
    for (auto& [key, it] : pending_)
    {
        if (now < it.next_send)
            continue;
        it.next_send = now + resend_interval;
        for (auto const& receiver : it.unacknowledged)
            out.push_back({receiver, it.message});
    }
    return out;
}

} // namespace mulberryrudder::entry
