#include "replica.hpp"
#include "replica_events.hpp"

#include <mulberryrudder/core/invariant.hpp>

namespace mulberryrudder::control
{

namespace
{

/// Part of the election timeout after which a lost election is tried again.
constexpr int retry_divisor = 3;

} // namespace

void replica::await_leader()
{
    wait_for_election(config_.election_timeout, config_.election_timeout * 2);
}

void replica::await_votes()
{
    // The lost leader's lease has ended here, so the next try need not wait for it again.
    wait_for_election(config_.election_timeout / retry_divisor, config_.election_timeout);
}

void replica::wait_for_election(span least, span most)
{
    // Replicas that wait for different times seldom split the vote.
    std::uniform_int_distribution<span::rep> spread(least.count(), most.count());
    election_due_ = now() + span(spread(with_->random));
}

bool replica::hears_leader() const
{
    if (is_leader())
        return now() < lease_.confirmed_until();
    return now() < heard_until_;
}

bool replica::is_up_to_date(messages::vote_request const& it) const
{
    return log_position{.term = it.last_term, .index = it.last} >= log_.last();
}

void replica::campaign_if_due()
{
    if (now() < election_due_ || hears_leader() || !has_vote() || !is_registered())
        return;
    await_votes();
    role_.election_due();
    leader_.reset();
    votes_.clear();
    with_->counters.add(replica_events::trials);
    ask_for_votes(true);
    count_vote(self_.self.id);
}

void replica::ask_for_votes(bool trial)
{
    auto const asked_term = trial ? term_id(state_.term.value() + 1) : state_.term;
    for (auto const& it : members().voters)
        if (it.id != self_.self.id)
            send_synced(it.id, messages::vote_request{.term = asked_term,
                                                      .to_disk = it.disk,
                                                      .trial = trial,
                                                      .last = log_.last().index,
                                                      .last_term = log_.last().term});
}

void replica::count_vote(instance_id from)
{
    votes_.insert(from);
    if (votes_.size() < majority(members()))
        return;
    if (role_.current() == role::pre_candidate)
        return stand_for_election();
    role_.vote_won();
    lead();
}

void replica::stand_for_election()
{
    role_.trial_won();
    await_votes();
    votes_.clear();
    with_->counters.add(replica_events::elections);
    state_.term = term_id(state_.term.value() + 1);
    state_.voted_for = self_.self.id;
    persist_state();
    own_vote_ = queue_.newest();
    ask_for_votes(false);
}

void replica::adopt_term(term_id term)
{
    check_invariant(term > state_.term, "terms only grow");
    state_.term = term;
    state_.voted_for.reset();
    persist_state();
    stand_down();
}

void replica::stand_down()
{
    role_.stand_down();
    leader_.reset();
    votes_.clear();
    lease_.reset();
    peers_.clear();
    answer_all_unconfirmed();
    await_leader();
    if (!announced_)
        return;
    announced_ = false;
    with_->events.record(replica_events::not_leading, {});
    with_->observers.publish_following();
}

void replica::take_vote_request(instance_id from, messages::vote_request const& it, context&)
{
    if (it.to_disk != state_.disk || !is_registered())
        return;
    // A replica that hears its leader leaves the term as it is, so that a returning
    // instance disturbs nobody.
    if (!it.trial && !hears_leader() && it.term > state_.term)
        adopt_term(it.term);
    bool const granted = grants(from, it);
    if (!granted)
        with_->counters.add(replica_events::votes_refused);
    if (granted && !it.trial && !state_.voted_for)
    {
        state_.voted_for = from;
        persist_state();
        await_leader();
    }
    send_synced(from, messages::vote_reply{.term = granted ? it.term : state_.term,
                                           .disk = state_.disk,
                                           .trial = it.trial,
                                           .granted = granted});
}

bool replica::grants(instance_id from, messages::vote_request const& it)
{
    if (hears_leader() || is_leader() || !is_up_to_date(it))
        return false;
    if (it.trial)
        return it.term > state_.term;
    return it.term == state_.term && (!state_.voted_for || *state_.voted_for == from);
}

void replica::take_vote_reply(instance_id from, messages::vote_reply const& it, context&)
{
    if (!members().counts(from, it.disk))
        return;
    if (!it.granted)
    {
        if (it.term > state_.term)
            adopt_term(it.term);
        return;
    }
    bool const for_trial = it.trial && role_.current() == role::pre_candidate &&
                           it.term == term_id(state_.term.value() + 1);
    bool const for_vote = !it.trial && role_.current() == role::candidate && it.term == state_.term;
    if (for_trial || for_vote)
        count_vote(from);
}

} // namespace mulberryrudder::control
