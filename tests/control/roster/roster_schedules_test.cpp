#include "tests/control/support/fake_log.hpp"

#include <mulberryrudder/control/core.hpp>
#include <mulberryrudder/control/roster.hpp>
#include <mulberryrudder/control/steering.hpp>
#include <mulberryrudder/core/invariant.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>
#include <memory>
#include <set>

namespace mulberryrudder::control
{

namespace
{

using testing::fake_log;

/// Keeps what was recorded of each kind of event.
class recorded_events final : public kernel::event_sink
{
public:
    void record(kernel::event_kind const& kind, std::vector<kernel::event_field> fields) override
    {
        all_[std::string(kind.what().name)].push_back(std::move(fields));
    }

    std::vector<std::vector<kernel::event_field>> const& of(std::string const& name)
    {
        return all_[name];
    }

private:
    std::map<std::string, std::vector<std::vector<kernel::event_field>>> all_;
};

/// Several control instances on a shared virtual clock; the first three are the contacts of
/// all. Messages are delayed, lost at random, and dropped for isolated instances.
class control_fleet
{
public:
    control_fleet(std::size_t size, std::uint64_t seed) : random_(seed)
    {
        for (std::size_t n = 0; n != size; ++n)
            start(n, seed);
    }

    void start(std::size_t n, std::uint64_t seed)
    {
        if (nodes_.size() <= n)
            nodes_.resize(n + 1);
        identity self;
        self.self = {.id = id_of(n),
                     .region = region_id("r" + std::to_string(n / 2)),
                     .domain = domain_id("d" + std::to_string(n)),
                     .peer = {"10.0.0.1", static_cast<std::uint16_t>(n + 1)},
                     .caller = {}};
        self.operators = {"10.0.0.2", static_cast<std::uint16_t>(n + 1)};
        for (std::size_t k = 0; k != 3; ++k)
            self.contacts[id_of(k)] = {"10.0.0.1", static_cast<std::uint16_t>(k + 1)};
        nodes_[n] = std::make_unique<node>();
        nodes_[n]->decisions = std::make_unique<core>(core::options{.config = config_,
                                                                    .counters = counters_,
                                                                    .events = events_,
                                                                    .self = self,
                                                                    .seed = seed + n + 1});
        nodes_[n]->decisions->services().require<fake_log>().leads = n == 0;
    }

    void run(span duration)
    {
        for (span elapsed{0}; elapsed < duration; elapsed += milliseconds(10))
        {
            now_ += milliseconds(10);
            deliver();
            for (std::size_t n = 0; n != nodes_.size(); ++n)
                if (n != suspended_)
                    step(n, [](core& it, instant now, effects& out) { it.tick(now, out); });
        }
    }

    template <class T>
    operator_request_id request(std::size_t n, T body)
    {
        operator_request_id const id(++last_);
        step(n,
             [&](core& it, instant now, effects& out) {
                 it.handle(now, operator_asked{id, any_message::of(body)}, out);
             });
        return id;
    }

    /// Returns whether a leave was acknowledged as held, or nothing without an answer yet.
    std::optional<bool> leave_held(operator_request_id id) const
    {
        auto const it = answers_.find(id);
        return it == answers_.end() ? std::nullopt
                                    : std::optional(it->second.get<announcement_taken>()->held);
    }

    bool is_refused(operator_request_id id) const
    {
        return answers_.at(id).get<announcement_refused>() != nullptr;
    }

    recorded_events& events() { return events_; }

    /// Returns the leader's address from the redirect that answers a request.
    std::optional<endpoint> redirected_leader(operator_request_id id) const
    {
        return answers_.at(id).get<ask_elsewhere>()->leader;
    }

    /// Returns the slots of the serving targets that an instance knows.
    std::int64_t serving_slots(std::size_t n)
    {
        return nodes_[n]
            ->decisions->services()
            .require<roster_view>()
            .capacity_of(service_id("desk"), version_id("v1"))
            .count();
    }

    generation_id generation(std::size_t n)
    {
        return nodes_[n]->decisions->services().require<steering_view>().steering()->generation;
    }

    /// Polls an instance as an entry and returns the update that answers the poll.
    messages::roster_update update_of(std::size_t n, boot_id boot = boot_id(1))
    {
        messages::roster_poll poll{.generation = generation_id(), .known_boot = boot_id()};
        poll.self.who.id = entry_;
        poll.self.boot = boot;
        last_update_.reset();
        step(n,
             [&](core& it, instant now, effects& out) {
                 it.handle(now, message_arrived{{entry_, id_of(n), any_message::of(poll)}}, out);
             });
        for (int tries = 0; !last_update_ && tries != 100; ++tries)
            run(milliseconds(10));
        return *last_update_;
    }

    /// Returns how often an entry's restart was reported to the peer link.
    int restart_count() const { return restart_count_; }

    fake_log& log(std::size_t n) { return nodes_[n]->decisions->services().require<fake_log>(); }

    /// Drops all messages from and to an instance, or stops doing so.
    void set_isolated(std::size_t n, bool is_isolated)
    {
        if (is_isolated)
            isolated_.insert(id_of(n));
        else
            isolated_.erase(id_of(n));
    }

    /// Lets the time pass for all instances but this one. Messages to it wait, and are handled
    /// before its next tick.
    void suspend(std::size_t n, span duration)
    {
        suspended_ = n;
        run(duration);
        suspended_.reset();
        deliver();
    }

    double loss_rate = 0;

private:
    struct node
    {
        std::unique_ptr<core> decisions;
    };
    struct transfer
    {
        instant due;
        envelope message;
    };

    static instance_id id_of(std::size_t n)
    {
        return instance_id(static_cast<std::uint32_t>(n + 1));
    }

    template <class Step>
    void step(std::size_t n, Step const& action)
    {
        effects out;
        action(*nodes_[n]->decisions, now_, out);
        for (auto const& it : out)
        {
            if (auto const* const sent = std::get_if<send_message>(&it))
                transmit(sent->message);
            else if (auto const* const answer = std::get_if<answer_operator>(&it))
                answers_.emplace(answer->id, answer->body);
            else if (auto const* const learned = std::get_if<learn_instance>(&it))
                restart_count_ += learned->restarted;
        }
    }

    void transmit(envelope const& message)
    {
        if (message.to == entry_)
        {
            last_update_ = *message.body.get<messages::roster_update>();
            return;
        }
        std::uniform_real_distribution<double> chance(0, 1);
        std::uniform_int_distribution<int> delay(1, 60);
        if (isolated_.contains(message.from) || isolated_.contains(message.to) ||
            chance(random_) < loss_rate)
            return;
        transfers_.push_back({now_ + milliseconds(delay(random_)), message});
    }

    void deliver()
    {
        auto all = std::exchange(transfers_, {});
        for (auto& it : all)
        {
            if (it.due > now_ || (suspended_ && it.message.to == id_of(*suspended_)))
                transfers_.push_back(it);
            else if (it.message.to.value() <= nodes_.size())
                step(it.message.to.value() - 1, [&](core& receiver, instant now, effects& out)
                     { receiver.handle(now, message_arrived{it.message}, out); });
        }
    }

    random_source random_;
    kernel::settings config_ = kernel::settings::defaults();
    kernel::counter_set counters_;
    recorded_events events_;
    std::vector<std::unique_ptr<node>> nodes_;
    std::vector<transfer> transfers_;
    std::set<instance_id> isolated_;
    std::optional<std::size_t> suspended_;
    std::map<operator_request_id, any_message> answers_;
    instant now_{seconds(1000)};
    std::uint64_t last_ = 0;
    instance_id const entry_{500};
    std::optional<messages::roster_update> last_update_;
    int restart_count_ = 0;
};

target_announced
announcement(int n, std::uint64_t sequence,
             messages::target_standing standing = messages::target_standing::serving)
{
    return {{.id = target_id("t" + std::to_string(n)),
             .start = start_id(1),
             .sequence = sequence_id(sequence),
             .service = service_id("desk"),
             .where = {"10.1.0.1", static_cast<std::uint16_t>(n + 1)},
             .domain = domain_id("d0"),
             .version = version_id("v1"),
             .capacity = slots(1),
             .standing = standing}};
}

class roster_schedules_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(roster_schedules_test);
    CPPUNIT_TEST(instances_that_know_only_their_contacts_discover_the_others);
    CPPUNIT_TEST(a_leave_is_acknowledged_after_a_majority_holds_it);
    CPPUNIT_TEST(an_isolated_instance_does_not_acknowledge_a_leave);
    CPPUNIT_TEST(a_restarted_instance_counts_all_control_instances);
    CPPUNIT_TEST(a_restarted_instance_recovers_the_targets);
    CPPUNIT_TEST(the_steering_state_reaches_instances_that_do_not_replicate_the_log);
    CPPUNIT_TEST(followers_redirect_to_the_leader);
    CPPUNIT_TEST(an_isolated_instance_reports_that_it_is_not_connected);
    CPPUNIT_TEST(a_poll_that_waited_for_a_suspended_instance_is_answered_as_not_connected);
    CPPUNIT_TEST(a_restarted_entry_is_reported_to_the_peer_link_once);
    CPPUNIT_TEST(an_announcement_that_is_refused_is_logged_with_its_target);
    CPPUNIT_TEST(all_instances_converge_on_the_same_targets_despite_message_loss);
    CPPUNIT_TEST_SUITE_END();

public:
    void instances_that_know_only_their_contacts_discover_the_others()
    {
        control_fleet fleet(6, 1);
        fleet.run(seconds(1));
        fleet.request(5, announcement(1, 1));
        fleet.run(seconds(1));
        for (std::size_t n = 0; n != 6; ++n)
            CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, fleet.serving_slots(n));
    }

    // Guards against a target that is not used and of which the log does not tell why, and against
    // a log that its announcements fill.
    void an_announcement_that_is_refused_is_logged_with_its_target()
    {
        control_fleet fleet(3, 1);
        announcement_unreadable const bad{
            .id = target_id("t1"),
            .failed = {{.place = "/Info/Capacity", .expected = "a whole number from 0 to 1"}}};
        for (int n = 0; n != 11; ++n)
        {
            auto const id = fleet.request(0, bad);
            CPPUNIT_ASSERT(fleet.is_refused(id));
            fleet.run(seconds(1));
        }
        auto const& recorded = fleet.events().of("roster.announcement_refused");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, recorded.size());
        CPPUNIT_ASSERT_EQUAL(std::string("t1"), recorded.front().front().value);
    }

    void a_leave_is_acknowledged_after_a_majority_holds_it()
    {
        control_fleet fleet(6, 2);
        fleet.run(seconds(1));
        fleet.request(0, announcement(1, 1));
        fleet.run(seconds(1));
        auto const id = fleet.request(4, announcement(1, 2, messages::target_standing::leaving));
        CPPUNIT_ASSERT(!fleet.leave_held(id));
        fleet.run(milliseconds(500));
        CPPUNIT_ASSERT(fleet.leave_held(id) == true);
        int informed = 0;
        for (std::size_t n = 0; n != 6; ++n)
            informed += fleet.serving_slots(n) == 0;
        CPPUNIT_ASSERT(informed >= 4);
    }

    void an_isolated_instance_does_not_acknowledge_a_leave()
    {
        control_fleet fleet(6, 3);
        fleet.run(seconds(1));
        fleet.request(4, announcement(1, 1));
        fleet.set_isolated(4, true);
        auto const id = fleet.request(4, target_leaves{target_id("t1"), std::nullopt});
        fleet.run(seconds(2));
        CPPUNIT_ASSERT(fleet.leave_held(id) == false);
    }

    // Guards against a violation of DRAIN: an instance that had just started counted a majority
    // of its contacts as a majority of all control instances, and acknowledgements of messages
    // of its earlier start as acknowledgements of its current messages.
    void a_restarted_instance_counts_all_control_instances()
    {
        // Restarts at different times between two messages that list the control instances.
        for (int phase = 0; phase != 20; ++phase)
        {
            control_fleet fleet(9, 10);
            fleet.run(seconds(2));
            fleet.request(0, announcement(1, 1));
            fleet.run(milliseconds(500 + 50 * phase));
            for (std::size_t n = 3; n != 8; ++n)
                fleet.set_isolated(n, true);
            fleet.start(8, 99);
            auto const id =
                fleet.request(8, announcement(1, 2, messages::target_standing::leaving));
            fleet.run(milliseconds(1000));
            CPPUNIT_ASSERT(fleet.leave_held(id) == false);
            for (std::size_t n = 3; n != 8; ++n)
                fleet.set_isolated(n, false);
            auto const second_id =
                fleet.request(8, announcement(1, 3, messages::target_standing::leaving));
            fleet.run(milliseconds(1000));
            CPPUNIT_ASSERT(fleet.leave_held(second_id) == true);
        }
    }

    void a_restarted_instance_recovers_the_targets()
    {
        control_fleet fleet(6, 4);
        fleet.run(seconds(1));
        fleet.request(0, announcement(1, 1));
        fleet.run(seconds(1));
        fleet.start(5, 99);
        fleet.run(milliseconds(200));
        fleet.request(1, announcement(1, 2));
        fleet.run(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, fleet.serving_slots(5));
    }

    void the_steering_state_reaches_instances_that_do_not_replicate_the_log()
    {
        control_fleet fleet(6, 5);
        fleet.run(seconds(1));
        fleet.request(0, evacuation_order{domain_id("d3"), true});
        fleet.log(0).commit_all();
        fleet.run(seconds(1));
        for (std::size_t n = 0; n != 6; ++n)
            CPPUNIT_ASSERT(fleet.generation(n) == generation_id(1));
    }

    void followers_redirect_to_the_leader()
    {
        control_fleet fleet(6, 6);
        fleet.run(seconds(1));
        auto const id = fleet.request(5, plan_question{});
        CPPUNIT_ASSERT(fleet.redirected_leader(id) == (endpoint{"10.0.0.2", 1}));
        fleet.set_isolated(0, true);
        fleet.run(seconds(2));
        CPPUNIT_ASSERT(!fleet.redirected_leader(fleet.request(5, plan_question{})));
    }

    // Guards against messages to a process that ended: an entry restarts at the same address,
    // and the open connection still leads to the earlier process.
    void a_restarted_entry_is_reported_to_the_peer_link_once()
    {
        control_fleet fleet(3, 8);
        fleet.run(seconds(1));
        fleet.update_of(0, boot_id(1));
        fleet.update_of(0, boot_id(1));
        CPPUNIT_ASSERT_EQUAL(0, fleet.restart_count());
        fleet.update_of(0, boot_id(2));
        CPPUNIT_ASSERT_EQUAL(1, fleet.restart_count());
        fleet.update_of(0, boot_id(2));
        CPPUNIT_ASSERT_EQUAL(1, fleet.restart_count());
    }

    void an_isolated_instance_reports_that_it_is_not_connected()
    {
        control_fleet fleet(6, 7);
        fleet.run(seconds(2));
        CPPUNIT_ASSERT(fleet.update_of(3).connected);
        fleet.set_isolated(3, true);
        fleet.run(milliseconds(1200));
        CPPUNIT_ASSERT(!fleet.update_of(3).connected);
        CPPUNIT_ASSERT(fleet.update_of(2).connected);
        fleet.set_isolated(3, false);
        fleet.run(seconds(1));
        CPPUNIT_ASSERT(fleet.update_of(3).connected);
    }

    // Guards against a violation of DRAIN: messages that had waited for a suspended instance were
    // handled before its next tick, as if it had heard the others and missed nothing.
    void a_poll_that_waited_for_a_suspended_instance_is_answered_as_not_connected()
    {
        control_fleet fleet(6, 7);
        fleet.run(seconds(2));
        CPPUNIT_ASSERT(fleet.update_of(3).connected);
        fleet.suspend(3, seconds(10));
        CPPUNIT_ASSERT(!fleet.update_of(3).connected);
    }

    void all_instances_converge_on_the_same_targets_despite_message_loss()
    {
        CPPUNIT_ASSERT(rc::check(
            "targets announce themselves and leave, and instances are isolated, in random order",
            [](std::uint32_t seed)
            {
                control_fleet fleet(6, seed);
                random_source random(seed);
                fleet.loss_rate = 0.1;
                std::vector<std::uint64_t> sequences(8, 0);
                std::set<int> deregistered;
                for (int step = 0; step != 60; ++step)
                {
                    auto const n = static_cast<int>(random() % sequences.size());
                    auto const control = static_cast<std::size_t>(random() % 6);
                    fleet.set_isolated(static_cast<std::size_t>(random() % 6), random() % 2 == 0);
                    if (random() % 8 == 0)
                    {
                        fleet.request(control, target_leaves{target_id("t" + std::to_string(n)),
                                                             start_id(1)});
                        fleet.request(
                            (control + 1) % 6,
                            target_leaves{target_id("t" + std::to_string(n)), start_id(1)});
                        deregistered.insert(n);
                    }
                    else if (!deregistered.contains(n))
                        fleet.request(control,
                                      announcement(n, ++sequences[static_cast<std::size_t>(n)]));
                    fleet.run(milliseconds(50));
                }
                for (std::size_t n = 0; n != 6; ++n)
                    fleet.set_isolated(n, false);
                fleet.loss_rate = 0;
                std::int64_t expected = 0;
                for (int n = 0; n != 8; ++n)
                {
                    if (deregistered.contains(n))
                        continue;
                    ++expected;
                    fleet.request(0, announcement(n, ++sequences[static_cast<std::size_t>(n)]));
                }
                fleet.run(milliseconds(1500));
                for (std::size_t n = 0; n != 6; ++n)
                    RC_ASSERT(fleet.serving_slots(n) == expected);
            }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(roster_schedules_test);

} // namespace

} // namespace mulberryrudder::control
