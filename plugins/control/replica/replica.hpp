#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_REPLICA_REPLICA_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_REPLICA_REPLICA_HPP

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
#include <optional>
#include <set>
#include <vector>

namespace mulberryrudder::control
{

/// What a leader knows of another replica's log.
struct progress
{
    disk_id disk;
    log_index next;                ///< First entry to send.
    log_index match;               ///< Last entry known to be on its disk.
    messages::round_id matched_in; ///< Newest round whose answer raised or kept `match`.
    std::uint32_t next_piece = 0;  ///< Of the snapshot that is being sent.
    bool awaiting = false;         ///< Entries or a piece are under way.
};

/// Keeps the control group's log: elects a leader, replicates and commits commands,
/// takes and transfers snapshots, and changes the group's membership. It follows
/// Raft (Ongaro and Ousterhout 2014) with pre-vote, a leader lease and voters that
/// are named by the contents of their disks.
///
/// Thread safety: the decision core's thread.
class replica final : public component, public replicated_log, public voter_group
{
public:
    explicit replica(component_parts const& parts);

    void recovered(disk_recovered const& it, context& with) override;
    void synced(disk_synced const& it, context& with) override;
    void disk_lost(disk_failed const& it, context& with) override;
    void received(envelope const& it, context& with) override;
    bool asked(operator_asked const& it, context& with) override;
    void tick(context& with) override;

    bool may_act(instant now) const override;
    instant confirmed_until() const override;
    term_id term() const override { return state_.term; }
    std::optional<instance_id> leader() const override { return leader_; }
    std::optional<log_index> propose(any_message command) override;
    log_index applied_index() const override { return applied_; }
    group_membership const& membership() const override { return members(); }
    bool begin_replacement(replacement const& wanted, instant now) override;

private:
    // replica.cpp: what the other parts share.
    bool is_failed() const { return role_.current() == role::stopped; }
    bool is_leader() const { return role_.current() == role::leader; }
    bool has_vote() const { return members().counts(self_.self.id, state_.disk); }
    voter own_voter() const { return {.id = self_.self.id, .disk = state_.disk}; }
    group_membership const& members() const { return members_.newest(); }
    instant now() const { return with_->now; }
    void begin_start(disk_recovered const& it);
    void take_new_disk_identity();
    void note_own_start();
    void persist_state();
    void persist_log(std::optional<log_index> cut_from, std::vector<log_entry> entries);
    void take_entry(log_entry const& it);
    void learn_addresses();
    std::uint64_t draw();
    void commit_up_to(log_index it);
    void apply_committed();
    void apply_one(log_entry const& it);

    /// Sends a message after everything written so far is synced.
    template <class T>
    void send_synced(instance_id to, T message)
    {
        envelope it{.from = self_.self.id, .to = to, .body = any_message::of(std::move(message))};
        if (queue_.ready(it))
            with_->out.push_back(send_message{std::move(it)});
    }

    // starting.cpp: first starts, restarts and disks that are replaced.
    bool is_blank() const;
    bool is_founder() const;
    voter founding_voter(instance_id id, disk_id disk) const;
    bool is_registered() const;
    bool must_announce() const;
    std::vector<instance_id> known_instances() const;
    void announce_start();
    void take_start(instance_id from, messages::start_request const& it, context& with);
    void take_start_reply(instance_id from, messages::start_reply const& it, context& with);
    messages::start_standing standing_of(instance_id from, messages::start_request const& it);
    bool record_start(start_record const& it);
    void found_if_all_blank();
    void join_anew();

    // election.cpp
    void await_leader();
    void await_votes();
    void wait_for_election(span least, span most);
    bool hears_leader() const;
    bool is_up_to_date(messages::vote_request const& it) const;
    void campaign_if_due();
    void ask_for_votes(bool trial);
    void count_vote(instance_id from);
    void stand_for_election();
    void adopt_term(term_id term);
    void stand_down();
    void take_vote_request(instance_id from, messages::vote_request const& it, context& with);
    void take_vote_reply(instance_id from, messages::vote_reply const& it, context& with);
    bool grants(instance_id from, messages::vote_request const& it);

    // leading.cpp
    void lead();
    void lead_tick();
    bool belongs(instance_id id) const;
    void follow_disk(instance_id id, disk_id disk);
    void append_command(any_message command);
    void open_round();
    void send_to_idle();
    void send_next(instance_id to, progress& it);
    void send_entries(instance_id to, progress& it);
    bool takes_answer(instance_id from, disk_id disk, term_id term, messages::round_id round);
    void take_append_reply(instance_id from, messages::append_reply const& it, context& with);
    void extend_lease();
    void forget_removed();
    void note_match(progress& it, log_index match, messages::round_id round);
    void note_mismatch(instance_id from, progress& it, messages::append_reply const& reply);
    void commit_by_majority();
    void announce_if_confirmed();
    void advance_membership();
    void append_membership(group_membership next);
    bool holds_full_state(progress const& it) const;
    std::optional<group_membership> next_step() const;
    void take_list(operator_request_id id, list_members const& it, context& with);
    void take_replace(operator_request_id id, replace_member const& it, context& with);
    replace_refusal refusal_of(replace_member const& it) const;
    /// Returns whether a replacement takes nobody's place.
    bool is_addition(replacement const& it) const;
    void note_replacement(replacement const& wanted);
    void answer_replaced(operator_request_id id, replace_refusal refusal);
    void answer_committed();
    void answer_all_unconfirmed();

    // following.cpp
    bool heard_leader(instance_id from, term_id term, disk_id to_disk);
    void take_append(instance_id from, messages::append_request const& it, context& with);
    bool fits(messages::append_request const& it) const;
    void append_new(std::vector<log_entry> const& entries);

    // snapshotting.cpp
    void take_snapshot_if_due();
    void send_piece(instance_id to, progress& it);
    void take_piece(instance_id from, messages::snapshot_piece const& it, context& with);
    void take_piece_reply(instance_id from, messages::snapshot_reply const& it, context& with);
    bool collect(messages::snapshot_piece const& it);
    void install();

    replica_settings const& config_;
    identity const& self_;
    context* with_ = nullptr; ///< The core's only context; set by the first input.

    role_machine role_;
    hard_state state_;
    log_store log_;
    membership_history members_;
    std::optional<snapshot> base_;
    sync_queue queue_;
    log_index committed_;
    log_index applied_;
    bool applying_ = false;
    bool had_vote_ = false;

    std::set<instance_id> registered_at_;
    std::map<instance_id, messages::start_reply> blank_replies_;
    bool fresh_disk_ = false; ///< No earlier start can have voted from this disk.
    bool announced_joining_ = false;
    std::set<instance_id> acquaintances_; ///< Control instances that spoke to this one.
    instant announce_due_;

    std::optional<instance_id> leader_;
    instant election_due_;
    instant heard_until_; ///< No vote for another replica before.
    std::set<instance_id> votes_;
    disk_ticket own_vote_;

    leader_lease lease_;
    std::map<instance_id, progress> peers_;
    log_index opened_at_;    ///< Where the own term begins in the log.
    bool announced_ = false; ///< The components know that this replica leads.
    instant heartbeat_due_;
    instant confirmation_due_; ///< Leadership ends unless a majority answers before.
    std::map<operator_request_id, log_index> replacing_;

    std::optional<snapshot> incoming_; ///< Of the leader, while its pieces arrive.
};

} // namespace mulberryrudder::control

#endif
