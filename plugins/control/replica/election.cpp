#include "replica.hpp"
#include "replica_events.hpp"

#include <mulberryrudder/core/invariant.hpp>

#include <algorithm>
#include <utility>

namespace mulberryrudder::control
{

namespace
{

/// Divides the election timeout; the result is the shortest wait before another election, within
/// which a candidate whose election succeeded is heard as the leader.
constexpr int election_retry_divisor = 3;

} // namespace

void replica::reset_election_timer()
{
    set_election_timer(config_.election_timeout, config_.election_timeout * 2);
}

void replica::reset_election_retry_timer()
{
    // The previous leader's lease has ended here, so a retry need not wait for it again.
    set_election_timer(config_.election_timeout / election_retry_divisor, config_.election_timeout);
}

void replica::set_election_timer(span min_timeout, span max_timeout)
{
    // Random timeouts make split votes unlikely.
    std::uniform_int_distribution<span::rep> timeout(min_timeout.count(), max_timeout.count());
    election_due_ = now() + span(timeout(ctx_->random));
}

bool replica::leader_lease_holds() const
{
    if (is_leader())
        return now() < lease_.confirmed_until();
    return now() < leader_lease_until_;
}

bool replica::candidate_is_up_to_date(messages::vote_request const& req) const
{
    return log_position{.term = req.last_term, .index = req.last} >= log_.last();
}

bool replica::is_term_synced() const
{
    return sync_queue_.synced_ticket() >= term_ticket_;
}

bool replica::is_log_synced() const
{
    return sync_queue_.durable() >= log_.last().index;
}

void replica::handle_term_synced()
{
    if (std::exchange(voted_, false))
        candidate_awaited_until_ = now() + config_.election_timeout / election_retry_divisor;
    // The time that the disk took does not count, so that an election outlasts a disk of any
    // speed, and replicas whose timers expired meanwhile do not all become candidates at once.
    if (auto const due = election_due_; majority(members()) > 1)
    {
        reset_election_retry_timer();
        election_due_ = std::max(election_due_, due);
    }
    if (!election_)
        return campaign_if_due();
    election_->vote_synced = election_->vote_synced.value_or(now());
    count_vote(self_.self.id);
}

bool replica::awaits_candidate() const
{
    return voted_ || now() < candidate_awaited_until_;
}

bool replica::may_campaign() const
{
    // What a vote is granted for must survive a crash: the vote may be counted after it.
    return has_vote() && is_registered() && is_term_synced() && is_log_synced();
}

void replica::campaign_if_due()
{
    if (now() < election_due_ || leader_lease_holds() || !may_campaign())
        return;
    reset_election_retry_timer();
    role_.election_timed_out();
    leader_.reset();
    pre_votes_.clear();
    ctx_->counters.add(replica_events::pre_votes);
    request_votes(true);
    count_pre_vote(self_.self.id);
}

void replica::request_votes(bool pre_vote)
{
    auto const requested_term = pre_vote ? term_id(state_.term.value() + 1) : state_.term;
    for (auto const& it : members().voters)
        if (it.id != self_.self.id)
            ctx_->send(it.id,
                       messages::vote_request{.term = requested_term,
                                              .to_disk = it.disk,
                                              .trial = pre_vote,
                                              .last = log_.last().index,
                                              .last_term = log_.last().term,
                                              .handed_over = !pre_vote && election_->handed_over});
}

void replica::count_pre_vote(instance_id voter_id)
{
    pre_votes_.insert(voter_id);
    if (pre_votes_.size() >= majority(members()))
        start_election();
}

void replica::count_vote(instance_id voter_id)
{
    votes_.insert(voter_id);
    // Votes are requested while the own one is written, so that others hear of the election before
    // they begin one. To lead without it would allow a second leadership in this term after a
    // crash.
    if (votes_.size() < majority(members()) || !election_->vote_synced)
        return;
    end_election("won");
    role_.election_won();
    become_leader();
}

void replica::start_election(bool handed_over)
{
    end_election("given_up");
    role_.pre_vote_won();
    pre_votes_.clear();
    votes_.clear();
    ctx_->counters.add(replica_events::elections);
    state_.term = term_id(state_.term.value() + 1);
    state_.voted_for = self_.self.id;
    voted_ = true;
    persist_term();
    election_ = {.begun = now(), .vote_synced = {}, .handed_over = handed_over};
    request_votes(false);
}

void replica::end_election(char const* outcome)
{
    if (!election_)
        return;
    auto const in_ms = [](span elapsed)
    { return std::to_string(std::chrono::duration_cast<milliseconds>(elapsed).count()); };
    ctx_->events.record(
        replica_events::election_ended,
        {{"term", std::to_string(state_.term.value())},
         {"outcome", outcome},
         {"took_ms", in_ms(now() - election_->begun)},
         {"own_sync_ms",
          election_->vote_synced ? in_ms(*election_->vote_synced - election_->begun) : "-1"},
         {"votes", std::to_string(votes_.size())}});
    election_.reset();
}

void replica::adopt_term(term_id term, std::optional<instance_id> vote)
{
    check_invariant(term > state_.term, "the term increases");
    end_election("lost");
    state_.term = term;
    state_.voted_for = vote;
    voted_ = vote.has_value();
    candidate_awaited_until_ = {};
    persist_term();
    step_down();
}

void replica::step_down()
{
    end_election("lost");
    role_.step_down();
    leader_.reset();
    pre_votes_.clear();
    votes_.clear();
    lease_.reset();
    peers_.clear();
    hands_over_ = false;
    refuse_uncommitted_replacements();
    reset_election_timer();
    if (!leadership_announced_)
        return;
    leadership_announced_ = false;
    ctx_->events.record(replica_events::not_leading, {});
    ctx_->observers.publish_following();
}

void replica::handle_vote_request(instance_id sender, messages::vote_request const& req, context&)
{
    if (req.to_disk != state_.disk || !is_registered())
        return;
    // While the leader's lease holds, the term does not change, so that a returning instance
    // with a higher term does not depose the leader.
    if (!req.trial && !is_bound_by_lease(req) && req.term > state_.term)
        adopt_term(req.term, candidate_is_up_to_date(req) ? std::optional(sender) : std::nullopt);
    bool const granted = grants_vote(sender, req);
    if (!granted)
        ctx_->counters.add(replica_events::votes_refused);
    if (granted && !req.trial && !state_.voted_for)
    {
        state_.voted_for = sender;
        voted_ = true;
        persist_term();
        reset_election_timer();
    }
    messages::vote_reply const reply{.term = granted ? req.term : state_.term,
                                     .disk = state_.disk,
                                     .trial = req.trial,
                                     .granted = granted};
    // A pre-vote binds nobody, and is of use only as long as no leader was heard.
    if (req.trial)
        ctx_->send(sender, reply);
    else
        send_after_sync(sender, reply);
}

bool replica::is_bound_by_lease(messages::vote_request const& req) const
{
    // The leader that hands over has ended its lease. One of a later term was elected by a majority
    // without which the requested term elects nobody.
    return leader_lease_holds() && !req.handed_over;
}

void replica::handle_lead_handover(instance_id sender, messages::lead_handover const& handover,
                                   context&)
{
    if (handover.to_disk != state_.disk || handover.term != state_.term || leader_ != sender ||
        !may_campaign())
        return;
    reset_election_retry_timer();
    role_.election_timed_out();
    leader_.reset();
    leader_lease_until_ = now();
    start_election(true);
}

bool replica::grants_vote(instance_id sender, messages::vote_request const& req)
{
    if (is_bound_by_lease(req) || is_leader() || !candidate_is_up_to_date(req))
        return false;
    // A new term would end the election that this replica has just voted in.
    if (req.trial)
        return req.term > state_.term && !awaits_candidate();
    return req.term == state_.term && (!state_.voted_for || *state_.voted_for == sender);
}

void replica::handle_vote_reply(instance_id sender, messages::vote_reply const& reply, context&)
{
    absence_.record_heard({.id = sender, .disk = reply.disk}, now());
    if (!members().counts(sender, reply.disk))
        return;
    if (!reply.granted)
    {
        if (reply.term > state_.term)
            adopt_term(reply.term);
        return;
    }
    bool const for_pre_vote = reply.trial && role_.current() == role::pre_candidate &&
                              reply.term == term_id(state_.term.value() + 1);
    if (for_pre_vote)
        count_pre_vote(sender);
    else if (!reply.trial && election_ && reply.term == state_.term)
        count_vote(sender);
}

} // namespace mulberryrudder::control
