#ifndef MULBERRYRUDDER_TESTS_QUOTA_FLEET_QUOTA_FLEET_HPP
#define MULBERRYRUDDER_TESTS_QUOTA_FLEET_QUOTA_FLEET_HPP

#include "admission_record.hpp"
#include "tests/entry/plan_stages/plan_bench.hpp"

#include <mulberryrudder/control/core.hpp>

#include <memory>
#include <set>
#include <string_view>
#include <vector>

namespace mulberryrudder::testing
{

/// Entries with the stages that admit requests, and one control instance in each failure domain, on
/// a shared virtual clock. Control instance 0 leads. The callers of customers choose among the
/// entries at random. One customer is watched; another one stands for all others and stays
/// below its rate.
///
/// Thread safety: one owner.
class quota_fleet
{
public:
    struct options
    {
        std::size_t controls = 9;
        std::size_t entries = 182;
        /// Requests a second of the customer that is watched; its burst is the same number.
        std::int64_t rate = 9;
        std::int64_t others = 300; ///< Requests a second that the other customer sends.
        std::uint64_t seed = 1;
    };

    explicit quota_fleet(options const& config);
    ~quota_fleet();

    /// Runs for a time in which the watched customer sends `load` thousandths of its rate.
    void run(span duration, per_mille load);

    /// Lets all entries report to these control instances, in turn, as they do once their own one
    /// is silent or hears too few others.
    void attach_entries(std::vector<std::size_t> const& controls);
    /// Leaves all entries without a control instance, as while they search for one.
    void detach_entries();
    /// Lets these control instances lose all messages from and to them.
    void isolate(std::set<std::size_t> const& controls);
    /// Lets control instances lose all messages between this group and the others. Entries reach
    /// both groups.
    void partition(std::set<std::size_t> const& group);
    /// Makes another control instance the leader.
    void change_leader(std::size_t control);
    /// Leaves no control instance the leader.
    void remove_leader();
    /// Starts all control instances again, without any state of their earlier start and without a
    /// leader.
    void restart_controls();
    /// Starts entries again, without any state of their earlier start.
    void restart_entries(std::set<std::size_t> const& entries);
    /// Leaves all instances without the number of entries, as after a start of all.
    void forget_entries();
    /// Tells all instances how many entries there are.
    void tell_entries();
    /// Suspends entries; their messages wait for them.
    void suspend(std::set<std::size_t> const& entries) { suspended_ = entries; }

    /// What happened to the requests of the watched customer.
    admission_record const& record() const { return record_; }

    /// Returns the value of a counter that all instances share.
    std::uint64_t counter(std::string_view name) const;

    static constexpr milliseconds step = admission_record::step;

private:
    class fake_fleet_state;
    struct transfer
    {
        instant due;
        envelope message;
    };

    /// Tells each control instance which others it hears.
    void notice_silence();
    /// Tells each control instance its part of the rates, by the entries that report to it.
    void divide_rates();
    std::unique_ptr<control::core> make_control(std::size_t n);
    std::unique_ptr<entry::core> make_entry(std::size_t n);
    void send_requests(std::int64_t rate, std::string const& key);
    void send_request(std::string const& key);
    void deliver();
    bool is_dropped(envelope const& message) const;
    template <class Effects>
    void process(Effects const& effects);

    static instance_id control_id(std::size_t n);
    static instance_id entry_id(std::size_t n);
    static bool is_entry(instance_id id);
    static std::size_t index_of(instance_id id);

    options config_;
    random_source random_;
    kernel::settings settings_ = kernel::settings::defaults();
    kernel::counter_set counters_;
    kernel::null_event_sink events_;
    shared_steering steering_;
    std::vector<std::unique_ptr<control::core>> controls_;
    std::vector<std::unique_ptr<entry::core>> entries_;
    std::vector<transfer> transfers_;
    std::set<std::size_t> isolated_;
    std::set<std::size_t> partition_group_;
    std::set<std::size_t> suspended_;
    admission_record record_;
    std::set<request_id> watched_; ///< Unanswered requests of the watched customer.
    std::uint64_t last_request_ = 0;
    instant now_{seconds(1000)};
    instant notice_silence_at_ = never;
};

} // namespace mulberryrudder::testing

#endif
