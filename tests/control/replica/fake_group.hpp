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
    std::unique_ptr<core> decisions; ///< Null while the process is down.
    fake_disk disk;
    kernel::counter_set counters;
    event_recorder events;
    double clock_rate = 1;
    span clock_offset{0};
    instant frozen_until; ///< In true time; inputs wait until then.
    std::uint64_t start = 0;
};

/// How messages travel in a fake_group.
struct network_options
{
    span least_delay = milliseconds(1);
    span most_delay = milliseconds(20);
    double lost = 0;
    double duplicated = 0;
};

/// Runs several cores on one virtual time, with the group's invariants checked
/// after each input: one leader a term, equal entries at equal places, equal
/// states at equal indexes, and never two replicas that may act.
class fake_group
{
public:
    fake_group(std::size_t size, std::uint64_t seed, replica_settings config = {});

    fake_instance& at(std::uint32_t id) { return *instances_.at(id - 1); }
    std::size_t size() const { return instances_.size(); }

    /// Adds an instance that is no initial voter; returns its number.
    std::uint32_t add_instance();

    void start(std::uint32_t id);
    void kill(std::uint32_t id);
    void freeze(std::uint32_t id, span how_long);
    void fail_disk(std::uint32_t id);
    void set_cut(std::uint32_t from, std::uint32_t to, bool cut);
    void isolate(std::uint32_t id);
    void heal();
    void ask(std::uint32_t id, any_message question);

    void run_for(span how_long);
    /// Runs until `done`, at most for `most`; returns whether it was done.
    bool run_until(std::function<bool()> const& done, span most);

    bool is_up(std::uint32_t id) const { return instances_.at(id - 1)->decisions != nullptr; }
    replicated_log& log_of(std::uint32_t id);
    recorder& recorder_of(std::uint32_t id);
    bool may_act(std::uint32_t id);
    /// Returns who may act now; 0 for nobody.
    std::uint32_t acting();
    /// Proposes a value at whoever may act; returns whether there was one.
    bool propose(std::uint64_t value);
    /// Returns whether the values in the acting replica's state contain this one.
    bool has_value(std::uint32_t id, std::uint64_t value);

    instant now() const { return now_; }
    random_source& random() { return random_; }
    std::vector<any_message> answers;
    network_options network;
    span sync_delay = milliseconds(2);
    bool by_address = false; ///< The settings name seeds by address and no numbers.
    bool founding = true;    ///< The system starts for the first time.

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

    void schedule(instant due, std::function<void()> run);
    instant local(fake_instance const& it) const;
    void input_to(std::uint32_t id, std::uint64_t start, input const& what);
    void give(fake_instance& to, input const& what);
    void tick(std::uint32_t id, std::uint64_t start);
    void perform(fake_instance& by, effects const& out);
    void transmit(envelope const& it);
    void write(fake_instance& by, fake_disk::write it);
    void check_entries(persist const& it);
    void check(fake_instance& it);
    void check_one_acts();

    instant now_{seconds(1000)};
    random_source random_;
    kernel::settings config_;
    std::vector<instance_id> initial_;
    std::vector<std::unique_ptr<fake_instance>> instances_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::uint64_t order_ = 0;
    std::uint64_t next_request_ = 0;
    std::set<std::pair<std::uint32_t, std::uint32_t>> cuts_;

    std::map<term_id, instance_id> leaders_;
    std::map<std::pair<term_id, log_index>, std::uint64_t> entries_;
    std::map<log_index, std::uint64_t> digests_;
};

} // namespace mulberryrudder::control::testing

#endif
