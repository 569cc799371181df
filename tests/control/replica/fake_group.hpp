#ifndef MULBERRYRUDDER_TESTS_CONTROL_REPLICA_FAKE_GROUP_HPP
#define MULBERRYRUDDER_TESTS_CONTROL_REPLICA_FAKE_GROUP_HPP

#include "fake_disk.hpp"
#include "recorder.hpp"

#include <plugins/control/replica/replica_settings.hpp>

#include <mulberryrudder/control/core.hpp>
#include <mulberryrudder/control/operator_members.hpp>
#include <mulberryrudder/control/replicated_log.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace mulberryrudder::control::testing
{

/// Records the names of events.
class event_recorder final : public kernel::event_sink
{
public:
    void record(kernel::event_kind const& kind, std::vector<kernel::event_field>) override
    {
        names.emplace_back(kind.what().name);
    }

    std::vector<std::string> names;
};

/// One control instance with its disk, clock and decision core.
struct fake_instance
{
    instance_id id;
    std::unique_ptr<core> decision_core; ///< Null while the process is down.
    fake_disk disk;
    std::optional<span> sync_delay; ///< Of its disk; that of the group without one.
    kernel::counter_set counters;
    event_recorder events;
    double clock_rate = 1;
    span clock_offset{0};
    instant frozen_until;    ///< In group time, not local time; inputs are delayed until then.
    std::uint64_t start = 0; ///< Number of starts so far.
};

/// Delays and faults of the network in a fake_group.
struct network_options
{
    span min_delay = milliseconds(1);
    span max_delay = milliseconds(20);
    double loss_probability = 0;
    double duplicate_probability = 0;
    /// Of the link from one instance to another, which carries one message after the other and
    /// keeps their order; without one, a message takes its delay only.
    std::optional<bytes_per_second> bandwidth;
};

/// Runs several decision cores in virtual time and checks the group's invariants after each
/// input: one leader per term, equal entries at equal terms and indexes, equal states at equal
/// indexes, and at most one replica that may act.
class fake_group
{
public:
    fake_group(std::size_t size, std::uint64_t seed, replica_settings config = {});

    fake_instance& at(std::uint32_t id) { return *instances_.at(id - 1); }
    std::size_t size() const { return instances_.size(); }

    /// Adds an instance that is not an initial voter; returns its id.
    std::uint32_t add_instance();

    void start(std::uint32_t id);
    /// Starts an instance whose disk cannot be read until mend_disk().
    void start_unreadable(std::uint32_t id);
    void kill(std::uint32_t id);
    /// Requests a planned stop; the process ends once its core completes it.
    void request_stop(std::uint32_t id);
    void freeze(std::uint32_t id, span duration);
    /// Lets all writes to an instance's disk fail until mend_disk() or the next start.
    void fail_disk(std::uint32_t id);
    void mend_disk(std::uint32_t id);
    void set_link_cut(std::uint32_t sender, std::uint32_t receiver, bool cut);
    void isolate(std::uint32_t id);
    void heal();
    /// Sends a request of an operator to an instance that is up; returns its id, for answer_to().
    operator_request_id send_operator_request(std::uint32_t id, any_message request);
    /// Returns the answer to a request of an operator, or null.
    any_message const* answer_to(operator_request_id id) const;
    /// Returns where an instance accepts operators' requests.
    static endpoint operator_address(std::uint32_t id);

    void run_for(span duration);
    /// Runs until `done` returns true or the timeout expires; returns the last result of `done`.
    bool run_until(std::function<bool()> const& done, span timeout);

    bool is_up(std::uint32_t id) const { return instances_.at(id - 1)->decision_core != nullptr; }
    replicated_log& log_of(std::uint32_t id);
    recorder& recorder_of(std::uint32_t id);
    bool may_act(std::uint32_t id);
    /// Returns the id of the replica that may act and is not frozen; 0 if there is none.
    std::uint32_t acting_leader();
    /// Calls a function with the id of the acting leader and its local time, if there is one.
    void act_as_leader(std::function<void(std::uint32_t id, instant now)> const& act);
    /// Proposes a value on the acting leader; returns whether it was accepted.
    bool propose(std::uint64_t value, byte_count size = byte_count(8));
    /// Returns whether the replica runs and its state contains the value.
    bool has_value(std::uint32_t id, std::uint64_t value);

    instant now() const { return now_; }
    random_source& random() { return random_; }
    byte_count bytes_sent;            ///< By all instances.
    std::vector<any_message> answers; ///< All of them, the oldest first.
    network_options network;
    span sync_delay = milliseconds(2); ///< Of a batch of writes.
    bool seeds_by_address = false;     ///< The settings give the seeds by address, without ids.
    bool may_found = true;             ///< Instances with blank disks may found a group.

private:
    struct event
    {
        instant due;
        std::uint64_t order;
        std::function<void()> run;
        friend bool operator>(event const& a, event const& b)
        {
            return std::pair(a.due, a.order) > std::pair(b.due, b.order);
        }
    };

    void start_with(std::uint32_t id, disk_recovered const& recovery);
    void schedule(instant due, std::function<void()> run);
    instant local_time(fake_instance const& instance) const;
    void deliver_when_running(std::uint32_t id, std::uint64_t start, input const& core_input);
    void deliver(fake_instance& instance, input const& core_input);
    void tick(std::uint32_t id, std::uint64_t start);
    void perform(fake_instance& instance, effects const& out);
    void transmit(envelope const& message);
    /// Returns when the last byte of a message that is sent now has been sent.
    instant end_of_sending(envelope const& message);
    void write(fake_instance& instance, fake_disk::write data);
    void end_process(std::uint32_t id, std::uint64_t start);
    /// Syncs all writes that wait, one batch after the other as the disk duty does.
    void sync_batch(std::uint32_t id, std::uint64_t start);
    /// Tells an instance that its disk was reopened, or what it holds, once it is mended.
    void reopen_disk_when_mended(std::uint32_t id, std::uint64_t start);
    void check_entries(persist const& written);
    void check(fake_instance& instance);
    void check_single_acting_leader();

    instant now_{seconds(1000)};
    random_source random_;
    kernel::settings config_;
    std::vector<instance_id> initial_voters_;
    std::vector<std::unique_ptr<fake_instance>> instances_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::uint64_t order_ = 0;
    std::uint64_t next_request_ = 0;
    std::map<operator_request_id, any_message> answer_by_request_;
    std::set<std::pair<std::uint32_t, std::uint32_t>> cut_links_;
    /// When each link has sent all messages; by sender and receiver.
    std::map<std::pair<std::uint32_t, std::uint32_t>, instant> links_free_at_;

    std::map<term_id, instance_id> leaders_;
    std::map<std::pair<term_id, log_index>, std::uint64_t> entries_;
    std::map<log_index, std::uint64_t> digests_;
};

} // namespace mulberryrudder::control::testing

#endif
