#ifndef MULBERRYRUDDER_TESTS_ROSTER_FLEET_ROSTER_FLEET_HPP
#define MULBERRYRUDDER_TESTS_ROSTER_FLEET_ROSTER_FLEET_HPP

#include <mulberryrudder/control/core.hpp>
#include <mulberryrudder/control/roster.hpp>
#include <mulberryrudder/control/steering.hpp>
#include <mulberryrudder/core/units.hpp>
#include <mulberryrudder/entry/core.hpp>
#include <mulberryrudder/entry/plan_view.hpp>

#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace mulberryrudder::testing
{

/// Control instances, each in a failure domain of its own, and entries beside them, on one
/// virtual time. All traffic of an entry shares its link; the control instances' links
/// are wide.
///
/// Thread safety: one owner.
class roster_fleet
{
public:
    struct options
    {
        std::size_t controls = 9;
        std::size_t entries = 18;
        byte_count entry_link{60}; ///< Bytes a millisecond that are left for control's messages.
        std::uint64_t seed = 1;
    };

    explicit roster_fleet(options const& with);

    void run(span time);

    /// Starts a target, which announces itself again and again to control instances that
    /// are not silent.
    void start_target(int target);

    /// A target says that it leaves; returns the number by which `held` knows the answer.
    control::operator_request_id leave(std::size_t control, int target);

    /// Sends an order to a control instance.
    control::operator_request_id order(std::size_t control, any_message what);

    /// Returns the answer to a request of an operator or target, or null.
    any_message const* answer(control::operator_request_id id) const;

    /// Lets the instances meet, and puts a plan in force.
    void put_first_plan();

    /// Commits what the leader, control instance 0, was asked for, at some instances.
    void commit(std::set<std::size_t> const& at);

    /// Loses every message between two groups of control instances; entries reach all.
    void part(std::set<std::size_t> const& one_side);
    /// Loses every message from and to some control instances.
    void silence(std::set<std::size_t> const& some);

    /// Returns how many targets an entry believes to serve.
    std::size_t serving(std::size_t entry);
    bool serves(std::size_t entry, int target);
    generation_id generation(std::size_t entry);

    /// Returns the bytes that went to entries so far.
    byte_count sent_to_entries() const { return sent_to_entries_; }

    std::size_t entries() const { return entries_.size(); }
    instant now() const { return now_; }

private:
    struct control_node;
    struct entry_node;
    struct flight
    {
        instant due;
        envelope what;
    };
    struct announcing
    {
        sequence_id sequence;
        instant announce_at;
    };

    static instance_id control_id(std::size_t n);
    static instance_id entry_id(std::size_t n);
    static std::size_t index_of(instance_id id);
    static bool is_entry(instance_id id);

    template <class Effects>
    void carry_out(Effects const& out);
    void transmit(envelope const& it);
    void deliver();
    bool is_lost(envelope const& it) const;
    void announce_targets();
    std::size_t talking_control(std::size_t near) const;
    entry::plan_view& view(std::size_t entry);

    options with_;
    random_source random_;
    kernel::settings config_ = kernel::settings::defaults();
    kernel::counter_set counters_;
    kernel::null_event_sink events_;
    std::vector<std::unique_ptr<control::core>> controls_;
    std::vector<std::unique_ptr<entry::core>> entries_;
    std::vector<instant> link_free_; ///< When each entry's link has sent what waits.
    std::vector<flight> flights_;
    std::set<std::size_t> one_side_;
    std::set<std::size_t> silent_;
    std::map<int, announcing> targets_; ///< Those that serve.
    std::map<control::operator_request_id, any_message> answers_;
    byte_count sent_to_entries_{0};
    std::uint64_t last_ = 0;
    instant now_{seconds(1000)};
};

} // namespace mulberryrudder::testing

#endif
