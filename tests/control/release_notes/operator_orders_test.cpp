#include "../support/replica.hpp"

#include <mulberryrudder/control/operator_answers.hpp>
#include <mulberryrudder/control/operator_orders.hpp>
#include <mulberryrudder/control/operator_state.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::control::testing
{

namespace
{

class operator_orders_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(operator_orders_test);
    CPPUNIT_TEST(a_drain_is_answered_after_its_commit);
    CPPUNIT_TEST(a_repeated_drain_makes_no_new_generation);
    CPPUNIT_TEST(a_quarantine_is_lifted);
    CPPUNIT_TEST(an_order_without_a_lead_names_the_leader);
    CPPUNIT_TEST(the_status_counts_what_is_in_force);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_drain_is_answered_after_its_commit()
    {
        replica it;
        auto const id = it.ask(set_draining{instance_id(5), true});
        CPPUNIT_ASSERT(!it.has_answer(id));
        it.log().commit_all();
        it.tick();
        CPPUNIT_ASSERT(it.answer<order_answer>(id).result.outcome == change_outcome::accepted);
        CPPUNIT_ASSERT(it.state().config()->draining.contains(instance_id(5)));
    }

    void a_repeated_drain_makes_no_new_generation()
    {
        replica it;
        it.commit<order_answer>(set_draining{instance_id(5), true});
        auto const again = it.commit<order_answer>(set_draining{instance_id(5), true});
        CPPUNIT_ASSERT(again.result.outcome == change_outcome::unchanged);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, it.state().config()->generation.value());
    }

    void a_quarantine_is_lifted()
    {
        replica it;
        auto const fingerprint = sha256("a request");
        it.commit<order_answer>(set_quarantine{fingerprint, true});
        CPPUNIT_ASSERT(it.state().config()->quarantined.contains(fingerprint));
        it.commit<order_answer>(set_quarantine{fingerprint, false});
        CPPUNIT_ASSERT(it.state().config()->quarantined.empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, it.state().config()->generation.value());
    }

    void an_order_without_a_lead_names_the_leader()
    {
        replica it;
        it.log().leads = false;
        it.log().known_leader = instance_id(3);
        auto const got = it.answer<not_leading>(it.ask(set_draining{instance_id(5), true}));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, got.leader->value());
    }

    void the_status_counts_what_is_in_force()
    {
        replica it;
        it.commit<order_answer>(set_draining{instance_id(5), true});
        auto const got = it.answer<status_report>(it.ask(status_query{}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, got.draining);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, got.generation.value());
        CPPUNIT_ASSERT(got.may_act);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(operator_orders_test);

} // namespace

} // namespace mulberryrudder::control::testing
