#ifndef MULBERRYRUDDER_TESTS_ROSTER_FLEET_ROSTER_FLEET_HPP
#define MULBERRYRUDDER_TESTS_ROSTER_FLEET_ROSTER_FLEET_HPP

#include "tests/quota_fleet/admission_record.hpp"

#include <mulberryrudder/control/core.hpp>
#include <mulberryrudder/control/replicated_log.hpp>
#include <mulberryrudder/control/roster.hpp>
#include <mulberryrudder/control/steering.hpp>
#include <mulberryrudder/core/units.hpp>
#include <mulberryrudder/entry/core.hpp>
#include <mulberryrudder/entry/plan_view.hpp>
#include <mulberryrudder/wire/codec.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace mulberryrudder::testing
{

/// Control instances, each in a failure domain of its own, and entries in the same domains,
/// on a shared virtual clock. All messages to an entry share a link of limited bandwidth; the
/// links between control instances are not limited.
///
/// Thread safety: one owner.
class roster_fleet
{
public:
    struct options
    {
        std::size_t controls = 9;
        std::size_t entries = 18;
        byte_count entry_link{60}; ///< Bytes per millisecond for messages of control instances.
        std::uint64_t seed = 1;
        bool counts_traffic = false; ///< traffic() is counted, which takes time.
        /// Control instances that the settings of entries name.
        std::vector<std::size_t> entry_seeds{0, 1, 2};
        /// Requests a second of the only customer of the first plan, whose burst is the same
        /// number; 0 for a plan without customers.
        std::int64_t rate = 0;
    };

    /// Messages between control instances of one kind.
    struct message_total
    {
        std::int64_t messages = 0;
        byte_count bytes{0}; ///< Encoded, without what RPC and TCP add.
    };

    explicit roster_fleet(options const& config);

    void run(span duration);

    /// Lets the customer send this many thousandths of its rate from now on, each request to one of
    /// these entries, drawn at random. Precondition: the first plan is in force, with a customer.
    void set_load(per_mille load, std::vector<std::size_t> entries);
    /// What happened to the requests of the customer.
    admission_record const& record() const { return record_; }

    /// Starts a target, which announces itself periodically to a control instance that is
    /// reachable.
    void start_target(int target);

    /// Starts a target anew at the address that another one had, later than all starts before, and
    /// announces it once to control instance 0.
    void start_anew(int target, int at_address_of);

    /// Announces that a target leaves; returns the id of the request, for answer().
    control::operator_request_id leave(std::size_t control, int target);

    /// Announces that a target leaves, now at this control instance and then periodically at one
    /// that is reachable, until the end.
    control::operator_request_id leave_repeatedly(std::size_t control, int target);

    /// Deregisters a target, which never announced that it leaves; returns the id of the
    /// request, for answer().
    control::operator_request_id deregister(std::size_t control, int target);

    /// Lets a target be silent from now on, and an entry report to its control instance that the
    /// target said in an answer that it leaves.
    void report_departure(std::size_t entry, int target);

    /// Sends a request of an operator or target to a control instance.
    control::operator_request_id request(std::size_t control, any_message body);

    /// Returns the answer to a request of an operator or target, or null.
    any_message const* answer(control::operator_request_id id) const;

    /// Lets the instances discover each other, and puts a plan in force.
    void apply_first_plan();

    /// Commits the commands that the leader, control instance 0, proposed, at these replicas.
    void commit(std::set<std::size_t> const& replicas);

    /// Drops all messages between these control instances and the others. Entries still reach
    /// both groups. An empty set ends the partition.
    void partition(std::set<std::size_t> const& group);
    /// Drops all messages from these control instances to the other ones, which they still
    /// hear. Entries still reach all of them. An empty set ends it.
    void mute(std::set<std::size_t> const& controls);
    /// Drops all messages from the control instances `senders` to the control instances
    /// `receivers`, in addition to the effect of mute() and partition().
    void cut(std::set<std::size_t> const& senders, std::set<std::size_t> const& receivers);
    /// Drops all messages from and to these control instances.
    void isolate(std::set<std::size_t> const& controls);

    /// Suspends these control instances; their messages are lost. An empty set resumes them.
    void freeze(std::set<std::size_t> const& controls);
    /// Lets other traffic fill the links of all entries from now on: the time for which messages
    /// wait on them grows by `growth` thousandths of the time, up to `max_wait`.
    void fill_entry_links(per_mille growth, milliseconds max_wait);
    /// Drops all messages from and to these entries.
    void disconnect(std::set<std::size_t> const& entries);
    /// Drops all messages between these entries and all control instances but one. An empty set
    /// ends it.
    void confine(std::set<std::size_t> const& entries, std::size_t control);

    /// Requests a planned stop of a control instance, which runs on in this fleet.
    void stop_control(std::size_t control);
    /// Starts an instance again, without any state of its earlier start but what its disk holds.
    void restart_control(std::size_t control);
    void restart_entry(std::size_t entry);
    /// Gives a control instance a blank disk, from its next start on.
    void clear_disk(std::size_t control);
    /// Lets the disks of these control instances hang: what they are asked to keep is not synced,
    /// and is lost with the next start. An empty set lets all work.
    void hang_disks(std::set<std::size_t> const& controls);
    /// Lets the disk of a control instance fail, or work again. One that starts while its disk
    /// fails reads it once it works.
    void fail_disk(std::size_t control);
    void mend_disk(std::size_t control);
    /// Lets control instances run that keep no leaves, from their next start on, as an earlier
    /// version.
    void remove_disks(std::set<std::size_t> const& controls);
    /// Starts a control instance again that does not lead, with the state after the first `held`
    /// commands that were committed, as of its last snapshot.
    void restart_follower(std::size_t control, std::size_t held);
    /// Lets a control instance lead, with all commands that were ever committed. Precondition:
    /// nobody leads, and it has run since its start.
    void lead(std::size_t control);
    /// Lets no control instance lead any more.
    void remove_leader();

    /// Delivers an announcement that a target sent before its newest one.
    control::operator_request_id deliver_old_announcement(std::size_t control, int target);

    /// Returns how many targets are serving in the view of an entry.
    std::size_t serving_count(std::size_t entry);
    bool is_serving(std::size_t entry, int target);
    /// Returns the generation of the state that an entry acts by; the lowest without a plan.
    generation_id generation(std::size_t entry);
    /// Returns whether an entry acts by a plan: it has one, and does not refuse requests.
    bool acts_by_plan(std::size_t entry);
    /// Returns the part of the rates that an entry takes for its own, or nothing before it knows
    /// how many entries there are.
    std::optional<per_mille> part_of(std::size_t entry);
    /// Returns the control instance to which an entry reports, if there is one.
    std::optional<std::size_t> control_of(std::size_t entry);
    /// Returns whether an entry refuses requests because its plan is outdated.
    bool is_refusing(std::size_t entry);

    /// Returns the size of all messages to entries so far.
    byte_count sent_to_entries() const { return sent_to_entries_; }

    /// Returns how many messages between control instances contained a whole table of targets.
    int tables_sent() const { return tables_sent_; }

    /// Returns how many messages between control instances contained a whole steering state.
    int states_sent() const { return states_sent_; }

    /// Returns the number of notices of targets in all messages between control instances.
    std::size_t notices_between_controls() const { return notices_between_controls_; }

    /// Returns the messages between control instances so far, by their kind on the wire.
    std::map<wire::message_kind, message_total> const& traffic() const { return traffic_; }

    std::size_t entries() const { return entries_.size(); }
    instant now() const { return now_; }

private:
    /// The disk of a control instance.
    struct control_disk
    {
        any_message record;                           ///< The newest that was synced.
        std::optional<control::keep_record> unsynced; ///< The write that is under way.
        instant synced_at;                            ///< When it is synced.
        bool fails = false;
        bool was_read = false; ///< By the running process.
    };
    struct transfer
    {
        instant due;
        envelope message;
    };
    struct announcer
    {
        sequence_id sequence;
        instant next_announcement;
        messages::target_standing standing = messages::target_standing::serving;
    };

    void start_control(std::size_t n, bool leads);
    /// Tells a control instance what its disk holds.
    void read_disk(std::size_t n);
    /// Lets a control instance apply the first `count` commands that were committed, but for those
    /// that it has applied.
    void apply_committed(std::size_t control, std::size_t count);
    std::unique_ptr<entry::core> make_entry(std::size_t n);

    std::uint64_t next_seed();

    static instance_id control_id(std::size_t n);
    static instance_id entry_id(std::size_t n);
    static std::size_t index_of(instance_id id);
    static bool is_entry(instance_id id);

    void process(std::size_t control, control::effects const& effects);
    void process(entry::effects const& effects);
    /// Completes the writes to the disks that are due.
    void sync_disks();
    void handle(std::size_t control, control::input const& what);
    void transmit(envelope const& message);
    void count_traffic(envelope const& message);
    void deliver();
    bool is_dropped(envelope const& message) const;
    /// Returns how long other traffic lets a message to an entry wait.
    span link_wait() const;
    void announce_targets();
    void send_requests();
    void send_request(std::size_t entry);
    /// Returns the first control instance from `preferred` on that is not isolated, if any.
    std::optional<std::size_t> reachable_control(std::size_t preferred) const;
    entry::plan_view& view(std::size_t entry);

    options config_;
    random_source random_;
    kernel::settings settings_ = kernel::settings::defaults();
    kernel::counter_set counters_;
    kernel::null_event_sink events_;
    std::vector<std::unique_ptr<control::core>> controls_;
    std::vector<control_disk> disks_; ///< Of the control instances.
    std::set<std::size_t> hanging_disks_;
    std::set<std::size_t> without_disk_;
    std::vector<std::unique_ptr<entry::core>> entries_;
    std::vector<instant> link_free_at_; ///< When each entry's link has sent all queued messages.
    per_mille link_wait_growth_;
    milliseconds max_link_wait_{0};
    instant links_filled_at_; ///< From when on they fill.
    std::vector<transfer> transfers_;
    std::set<std::size_t> partition_group_;
    std::set<std::size_t> muted_;
    std::set<std::size_t> cut_senders_;
    std::set<std::size_t> cut_receivers_;
    std::set<std::size_t> isolated_;
    std::set<std::size_t> frozen_;
    std::set<std::size_t> disconnected_;
    std::set<std::size_t> confined_; ///< Entries that reach `only_control_` alone.
    std::size_t only_control_ = 0;
    std::vector<control::log_entry> committed_; ///< By any leader, in order.
    std::map<int, announcer> targets_;          ///< Those that announce themselves.
    std::map<control::operator_request_id, any_message> answers_;
    byte_count sent_to_entries_{0};
    int tables_sent_ = 0;
    int states_sent_ = 0;
    std::size_t notices_between_controls_ = 0;
    std::map<wire::message_kind, message_total> traffic_;
    per_mille load_; ///< Of the customer's rate.
    std::vector<std::size_t> loaded_entries_;
    std::uint64_t last_request_ = 0;
    admission_record record_;
    std::uint64_t last_ = 0;
    std::uint64_t starts_ = 0; ///< Of all instances; makes each start differ.
    instant now_{seconds(1000)};
};

} // namespace mulberryrudder::testing

#endif
