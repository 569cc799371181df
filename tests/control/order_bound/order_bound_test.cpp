#include "tests/control/replica/fake_group.hpp"

#include <mulberryrudder/control/operator_answers.hpp>
#include <mulberryrudder/control/steering.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>

namespace mulberryrudder::control
{

namespace
{

using testing::fake_group;

constexpr std::uint32_t instances = 9;
constexpr std::uint32_t first_voters = 3;
constexpr std::uint64_t seeds = 30;

/// Limit Contact: time after the last disturbance from which control counts as stable.
constexpr milliseconds contact{3000};
/// Limit AckTimeout: time for which an operator waits for the acknowledgement of an order.
constexpr milliseconds ack_timeout{4000};
/// Time for which an operator waits for the answer to one try.
constexpr milliseconds try_timeout{1000};
/// Time between two tries of an operator.
constexpr milliseconds retry_pause{200};

/// An operator who sends an order until it is acknowledged: to the leader that an answer names,
/// else to one instance after the other.
class fake_operator
{
public:
    fake_operator(fake_group& group, evacuation_order order)
        : group_(group), order_(std::move(order)),
          receiver_(std::uniform_int_distribution<std::uint32_t>(1, instances)(group.random()))
    {
    }

    /// Sends the order until it is acknowledged; returns whether that is so before `deadline`.
    bool send_until(instant deadline)
    {
        while (group_.now() < deadline)
        {
            auto const id = group_.send_operator_request(receiver_, any_message::of(order_));
            group_.run_until([&] { return group_.answer_to(id) != nullptr; }, try_timeout);
            auto const* const answer = group_.answer_to(id);
            auto const* const decision =
                answer == nullptr ? nullptr : answer->get<steering_answer>();
            if (decision != nullptr)
                return decision->result == order_result::accepted && group_.now() <= deadline;
            if (!follow(answer))
                group_.run_for(retry_pause);
        }
        return false;
    }

private:
    /// Chooses the receiver of the next try; returns whether an answer named it.
    bool follow(any_message const* answer)
    {
        auto const* const redirect = answer == nullptr ? nullptr : answer->get<ask_elsewhere>();
        for (std::uint32_t id = 1; redirect != nullptr && id <= instances; ++id)
            if (redirect->leader == fake_group::operator_address(id))
            {
                receiver_ = id;
                return true;
            }
        receiver_ = receiver_ % instances + 1;
        return false;
    }

    fake_group& group_;
    evacuation_order order_;
    std::uint32_t receiver_;
};

class order_bound_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(order_bound_test);
    CPPUNIT_TEST(an_order_after_a_suspension_is_acknowledged_in_time);
    CPPUNIT_TEST(an_order_after_restarts_is_acknowledged_in_time);
    CPPUNIT_TEST(an_order_after_the_loss_of_a_disk_is_acknowledged_in_time);
    CPPUNIT_TEST(an_order_after_a_cut_in_one_direction_is_acknowledged_in_time);
    CPPUNIT_TEST(an_order_after_a_restart_of_all_instances_is_acknowledged_in_time);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a violation of AckTimeout by a leader or voter that was suspended.
    void an_order_after_a_suspension_is_acknowledged_in_time()
    {
        repeat(
            [](fake_group& group)
            {
                for (int n = 0; n != 2; ++n)
                    group.freeze(any_instance(group), seconds(4));
                group.run_for(seconds(4));
            });
    }

    // Guards against a violation of AckTimeout by an election after the leader or voters restart.
    void an_order_after_restarts_is_acknowledged_in_time()
    {
        repeat(
            [](fake_group& group)
            {
                auto const first = group.acting_leader();
                auto const second = any_instance(group);
                for (auto const id : {first, second})
                    if (group.is_up(id))
                        group.kill(id);
                group.run_for(seconds(2));
                for (auto const id : {first, second})
                    if (!group.is_up(id))
                        group.start(id);
            });
    }

    // Guards against a violation of AckTimeout by a voter that is replaced, or joins anew.
    void an_order_after_the_loss_of_a_disk_is_acknowledged_in_time()
    {
        repeat(
            [](fake_group& group)
            {
                auto const id = any_instance(group);
                group.kill(id);
                group.at(id).disk = {};
                group.run_for(seconds(5));
                group.start(id);
            });
    }

    // Guards against a violation of AckTimeout by an instance that hears the others while these
    // do not hear it.
    void an_order_after_a_cut_in_one_direction_is_acknowledged_in_time()
    {
        repeat(
            [](fake_group& group)
            {
                auto const id = any_instance(group);
                for (std::uint32_t other = 1; other <= instances; ++other)
                    group.set_link_cut(id, other, true);
                group.run_for(seconds(4));
                for (std::uint32_t other = 1; other <= instances; ++other)
                    group.set_link_cut(id, other, false);
            });
    }

    // Guards against a violation of AckTimeout after a loss of power of all instances.
    void an_order_after_a_restart_of_all_instances_is_acknowledged_in_time()
    {
        repeat(
            [](fake_group& group)
            {
                for (std::uint32_t id = 1; id <= instances; ++id)
                    group.kill(id);
                group.run_for(seconds(1));
                for (std::uint32_t id = 1; id <= instances; ++id)
                    group.start(id);
            });
    }

private:
    static std::uint32_t any_instance(fake_group& group)
    {
        return std::uniform_int_distribution<std::uint32_t>(1, instances)(group.random());
    }

    /// Runs a disturbance with each seed, and sends an order up to a second after control is
    /// stable again. An order before it makes sure that control worked.
    template <class Disturbance>
    static void repeat(Disturbance const& disturb)
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed)
        {
            fake_group group(
                first_voters, seed,
                {.election_timeout = milliseconds(700), .lease_duration = milliseconds(700)});
            group.seeds_by_address = true;
            while (group.size() != instances)
                group.add_instance();
            for (std::uint32_t id = 1; id <= instances; ++id)
                group.start(id);
            group.run_for(seconds(8));
            expect_acknowledged(group, "d1", seed);
            disturb(group);
            std::uniform_int_distribution<int> later(0, 1000);
            group.run_for(contact + milliseconds(later(group.random())));
            expect_acknowledged(group, "d2", seed);
        }
    }

    static void expect_acknowledged(fake_group& group, std::string const& domain,
                                    std::uint64_t seed)
    {
        fake_operator sender(group, {domain_id(domain), true});
        CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ", " + domain,
                               sender.send_until(group.now() + ack_timeout));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(order_bound_test);

} // namespace

} // namespace mulberryrudder::control
