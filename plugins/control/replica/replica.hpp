#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_REPLICA_REPLICA_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_REPLICA_REPLICA_HPP

#include "leader_absence.hpp"
#include "leader_lease.hpp"
#include "log_store.hpp"
#include "membership_history.hpp"
#include "replica_settings.hpp"
#include "role.hpp"
#include "sync_queue.hpp"

#include <mulberryrudder/control/component.hpp>
#include <mulberryrudder/control/operator_members.hpp>
#include <mulberryrudder/control/replicated_log.hpp>
#include <mulberryrudder/messages/replica.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace mulberryrudder::control
{

/// The state that a leader keeps for each other replica.
struct progress
{
    disk_id disk;
    log_index next_index;  ///< Index of the next entry to send.
    log_index match_index; ///< Index of the last entry known to be on the replica's disk.
    messages::round_id matched_round; ///< Newest round whose reply confirmed `match_index`.
    messages::round_id replied_round; ///< Newest round that the replica replied to.
    messages::round_id heard_round;   ///< Newest round that it received, synced or not.
    instant answers_until;            ///< Counts as answering until then, without a newer reply.
    instant syncs_until;              ///< Its disk counts as hanging then, without a newer match.
    /// The snapshot whose pieces are sent. It stays until it has arrived, also if a newer one is
    /// taken, so that the transfer ends.
    std::shared_ptr<snapshot const> transfer;
    std::uint32_t next_piece = 0;    ///< Position of the next of its pieces to send.
    bool in_flight = false;          ///< Entries or a piece were sent and not yet answered.
    messages::round_id flight_round; ///< In which they were sent.
    log_index flight_last;           ///< Last of the entries that were sent.
};

/// An election in which this replica is the candidate.
struct own_election
{
    instant begun;
    std::optional<instant> vote_synced; ///< The own vote counts from then on.
    bool handed_over = false;           ///< The leader of the term before asked for it.
};

/// Replicates the control group's log: elects a leader, replicates and commits commands,
/// takes and transfers snapshots, and changes the group's membership. Implements Raft
/// (Ongaro and Ousterhout 2014) with pre-vote, a leader lease and voters that are
/// identified by instance and disk id.
///
/// Thread safety: the decision core's thread.
class replica final : public component, public replicated_log, public voter_group
{
public:
    explicit replica(component_parts const& parts);

    void recovered(disk_recovered const& recovery, context& ctx) override;
    void synced(disk_synced const& sync, context& ctx) override;
    void disk_lost(disk_failed const& failure, context& ctx) override;
    void reopened(disk_reopened const& reopening, context& ctx) override;
    void received(envelope const& message, context& ctx) override;
    bool asked(operator_asked const& req, context& ctx) override;
    void tick(context& ctx) override;

    bool may_act(instant now) const override;
    instant confirmed_until() const override;
    term_id term() const override { return state_.term; }
    std::optional<instance_id> leader() const override { return leader_; }
    std::optional<log_index> propose(any_message command) override;
    log_index applied_index() const override { return applied_index_; }
    group_membership const& membership() const override { return members(); }
    bool answers(instance_id id) const override;
    bool begin_replacement(replacement const& change, std::vector<replacement> const& abandoned,
                           instant now) override;
    bool is_membership_committed() const override
    {
        return memberships_.newest_index() <= commit_index_;
    }
    bool hand_over_lead(std::set<instance_id> const& excluded, instant now) override;

private:
    // replica.cpp: persistence, commit and apply; used by all other parts.
    bool is_stopped() const { return role_.current() == role::stopped; }
    bool is_leader() const { return role_.current() == role::leader; }
    bool has_vote() const { return members().counts(self_.self.id, state_.disk); }
    voter own_voter() const { return {.id = self_.self.id, .disk = state_.disk}; }
    group_membership const& members() const { return memberships_.newest(); }
    instant now() const { return ctx_->now; }
    /// Records this start, under a new disk id if the disk is blank or a copy.
    void init_disk_identity(disk_recovered const& recovery);
    void renew_disk_id();
    void record_own_start();
    void persist_state();
    /// Persists the state with a new term or vote, or that of a start.
    void persist_term();
    void persist_log(std::optional<log_index> cut_from, std::vector<log_entry> entries);
    /// Takes part in the group again, after a failure of the disk.
    void resume();
    void append_entry(log_entry const& entry);
    void report_peer_addresses();
    std::uint64_t random_nonzero();
    void commit_up_to(log_index index);
    void apply_committed();
    void apply_entry(log_entry const& entry);

    /// Sends a message once all writes issued so far are synced.
    template <class T>
    void send_after_sync(instance_id receiver, T message)
    {
        envelope it{
            .from = self_.self.id, .to = receiver, .body = any_message::of(std::move(message))};
        if (sync_queue_.pass_or_hold(it))
            ctx_->out.push_back(send_message{std::move(it)});
    }

    /// Reports that a leader begins or ceases to be missing.
    void record_leader_absence();

    // starting.cpp: founding the group, restarts, and replaced or outdated disks.
    /// Returns whether this disk has neither a group nor any entry.
    bool is_blank() const;
    bool is_founder() const;
    voter make_founding_voter(instance_id id, disk_id disk) const;
    /// Returns whether enough voters recorded this start for this replica to vote.
    bool is_registered() const;
    bool must_announce() const;
    std::vector<instance_id> known_instance_ids() const;
    void announce_start();
    void handle_start_request(instance_id sender, messages::start_request const& req, context& ctx);
    void handle_start_reply(instance_id sender, messages::start_reply const& reply, context& ctx);
    messages::start_standing classify_start(instance_id sender, messages::start_request const& req);
    bool record_start(start_record const& record);
    void found_group_if_all_blank();
    void rejoin_with_new_disk_id();

    // election.cpp: pre-vote, election and the election timer.
    void reset_election_timer();
    void reset_election_retry_timer();
    void set_election_timer(span min_timeout, span max_timeout);
    /// Returns whether this replica must refuse its vote because a leader's lease holds.
    bool leader_lease_holds() const;
    bool candidate_is_up_to_date(messages::vote_request const& req) const;
    /// Returns whether the newest term and vote are on the disk.
    bool is_term_synced() const;
    bool is_log_synced() const;
    void handle_term_synced();
    /// Returns whether this replica has voted and the candidate may still become the leader.
    bool awaits_candidate() const;
    void campaign_if_due();
    /// Returns whether an election of this replica may begin.
    bool may_campaign() const;
    void request_votes(bool pre_vote);
    void count_pre_vote(instance_id voter_id);
    void count_vote(instance_id voter_id);
    void start_election(bool handed_over = false);
    /// Records the end of the own election, if one is open.
    void end_election(char const* outcome);
    /// Takes over a higher term, with a vote for its candidate if there is one.
    void adopt_term(term_id term, std::optional<instance_id> vote = std::nullopt);
    void step_down();
    void handle_vote_request(instance_id sender, messages::vote_request const& req, context& ctx);
    void handle_vote_reply(instance_id sender, messages::vote_reply const& reply, context& ctx);
    bool grants_vote(instance_id sender, messages::vote_request const& req);
    /// Returns whether a lease forbids to vote as requested.
    bool is_bound_by_lease(messages::vote_request const& req) const;
    void handle_lead_handover(instance_id sender, messages::lead_handover const& handover,
                              context& ctx);

    // leading.cpp: replication and commit on the leader.
    void become_leader();
    void tick_as_leader();
    /// Returns whether entries wait to be committed while a voter is not heard, which another
    /// leader may reach.
    bool may_hold_up_commits() const;
    bool is_voter_or_joining(instance_id id) const;
    void track_peer(instance_id id, disk_id disk);
    void append_command(any_message command);
    void open_round();
    void send_to_idle_peers();
    /// Sends what the replica needs next; a heartbeat while it has not answered what was sent.
    void send_next(instance_id receiver, progress& peer);
    void send_entries(instance_id receiver, progress& peer);
    /// Records that entries up to `last`, or a piece of a snapshot, are under way.
    void begin_flight(progress& peer, log_index last);
    /// Ends the flight if a reply to a message of `round` shows that it arrived or was lost.
    /// `may_answer` tells whether the reply fits what is under way.
    static void end_flight_if_settled(progress& peer, messages::round_id round, bool may_answer);
    void send_append(instance_id receiver, progress const& peer, log_index previous,
                     std::vector<log_entry> entries);
    /// Returns whether a reply is for this leader's term and the tracked disk of the sender;
    /// counts it for the lease. Steps down on a higher term.
    bool accept_reply(instance_id sender, disk_id disk, term_id term, messages::round_id round);
    void handle_append_reply(instance_id sender, messages::append_reply const& reply, context& ctx);
    /// Returns the state that is kept for the sender if a message of it with its tracked disk is
    /// for this leader, else null.
    progress* find_peer(instance_id sender, disk_id disk);
    void handle_round_received(instance_id sender, messages::round_received const& notice,
                               context& ctx);
    void extend_lease();
    void remove_departed_peers();
    void record_match(progress& peer, log_index match_index, messages::round_id round);
    void handle_mismatch(instance_id sender, progress& peer, messages::append_reply const& reply);
    void advance_commit_index();
    void announce_leadership_if_confirmed();

    // changing_members.cpp: membership changes on the leader and operators' requests.
    void advance_membership_change();
    void append_membership(group_membership next);
    /// Begins to replicate to the instances that are to join, without waiting for the next
    /// announcement of their start.
    void track_joining_peers();
    /// Returns whether a round of this term is one of the newest `count`, or just before them.
    bool is_within(messages::round_id round, std::uint64_t count) const;
    /// Returns when a number of rounds from now will have been sent.
    instant after_rounds(int count) const { return now() + config_.heartbeat_interval * count; }
    /// Returns whether a replica was heard recently, and in this term, and its disk does not hang.
    bool is_reachable(progress const& peer) const;
    /// Returns whether a replica holds all committed entries and replied recently.
    bool is_caught_up(progress const& peer) const;
    /// Returns whether a voter is this replica or one that was heard recently with its disk.
    bool is_heard(voter const& it) const;
    /// Returns whether a voter is this replica or one that replied recently with its disk.
    bool is_working(voter const& it) const;
    /// Returns whether a majority of the candidate's voters works. A change to a
    /// membership without one could not be committed, and would end this leadership.
    bool has_working_majority(group_membership const& candidate) const;
    std::optional<group_membership> next_membership_step() const;
    /// Returns the memberships that complete a change step by step, the most urgent first.
    std::vector<group_membership> membership_steps() const;
    void handle_list_members(operator_request_id id, list_members const& req, context& ctx);
    void handle_replace_member(operator_request_id id, replace_member const& req, context& ctx);
    replace_refusal replacement_refusal(replace_member const& req) const;
    /// Returns whether a replacement adds a voter instead of replacing one.
    bool is_addition(replacement const& change) const;
    /// Adds a change that is carried out step by step. Gives up what it replaces: additions, other
    /// changes of the same leaving voter, and those in `abandoned`.
    void add_pending_replacement(replacement const& change,
                                 std::vector<replacement> const& abandoned);
    void answer_replace_request(operator_request_id id, replace_refusal refusal);
    void answer_committed_replacements();
    void refuse_uncommitted_replacements();

    // following.cpp: appends from the leader.
    /// Follows the sender as the leader of `term` and renews its lease; returns false if the
    /// message is of an earlier term or for another disk.
    bool accept_leader(instance_id sender, term_id term, disk_id to_disk);
    /// Tells the leader that its message was received, if the reply waits for the disk.
    void confirm_round(instance_id leader, messages::round_id round);
    void handle_append_request(instance_id sender, messages::append_request const& req,
                               context& ctx);
    bool matches_previous_entry(messages::append_request const& req) const;
    void append_missing(std::vector<log_entry> const& entries);

    // snapshotting.cpp: taking, sending and installing snapshots.
    void take_snapshot_if_due();
    bool is_snapshot_due() const;
    /// Makes a snapshot the newest one. Precondition: it is not null.
    void hold_snapshot(std::shared_ptr<snapshot const> it);
    /// Returns the index of the newest snapshot; 0 without one.
    log_index snapshot_index() const { return snapshot_ ? snapshot_->index : log_index(); }
    /// Returns about how many bytes of entries may be applied until a snapshot is due, and how many
    /// may wait for their commit.
    byte_count log_byte_limit() const;
    void persist_newest_snapshot();
    /// Updates the counters of the sizes of log and snapshot.
    void record_sizes();
    void send_snapshot_piece(instance_id receiver, progress& peer);
    void handle_snapshot_piece(instance_id sender, messages::snapshot_piece const& piece,
                               context& ctx);
    void handle_snapshot_reply(instance_id sender, messages::snapshot_reply const& reply,
                               context& ctx);
    /// Adds a piece to the incoming snapshot; returns whether the snapshot is complete.
    bool collect_piece(messages::snapshot_piece const& piece);
    void install_snapshot();

    replica_settings const& config_;
    identity const& self_;
    context* ctx_ = nullptr; ///< The core's only context; set by the first input.

    role_machine role_;
    hard_state state_;
    log_store log_;
    membership_history memberships_;
    std::shared_ptr<snapshot const> snapshot_; ///< The newest; null before the first one.
    byte_count snapshot_size_;                 ///< About how many bytes it takes.
    sync_queue sync_queue_;
    /// After a failure of the disk: it holds the whole state once this write is synced.
    std::optional<disk_ticket> restoring_ticket_;
    log_index commit_index_;
    log_index applied_index_;
    byte_count applied_bytes_; ///< About how many the entries applied since the snapshot take.
    bool applying_ = false;
    bool had_vote_ = false;

    std::set<instance_id> registered_at_; ///< Instances that recorded this start.
    std::map<instance_id, messages::start_reply> start_replies_;
    bool fresh_disk_ = false; ///< No earlier start can have voted with this disk id.
    bool reported_catching_up_ = false;
    std::set<instance_id> roster_peers_; ///< Control instances that sent a roster exchange.
    instant announce_due_;

    std::optional<instance_id> leader_;
    instant election_due_;
    instant leader_lease_until_; ///< No vote for another replica before then.
    std::set<instance_id> pre_votes_;
    std::set<instance_id> votes_;
    /// Open until this replica leads, steps down or begins another one: the votes may arrive while
    /// it requests pre-votes for the next one.
    std::optional<own_election> election_;
    disk_ticket term_ticket_;         ///< Newest write of a term or vote.
    bool voted_ = false;              ///< It is a vote, and is not synced.
    instant candidate_awaited_until_; ///< No pre-vote for another replica before then.
    instant recovered_at_;            ///< When the disk was read.

    leader_absence absence_;
    leader_lease lease_;
    std::map<instance_id, progress> peers_;
    log_index term_start_;              ///< Index of the first entry of the own term as leader.
    bool leadership_announced_ = false; ///< publish_leading() was called in this term.
    bool hands_over_ = false;           ///< Accepts no command until another replica leads.
    instant heartbeat_due_;
    instant confirmation_deadline_; ///< Steps down unless a majority replies before then.
    instant give_way_at_;           ///< Steps down then if nothing is committed before.
    /// Index of the membership entry that each open replace request waits for.
    std::map<operator_request_id, log_index> replace_requests_;

    std::optional<snapshot> incoming_snapshot_; ///< The leader's snapshot while its pieces arrive.
};

} // namespace mulberryrudder::control

#endif
