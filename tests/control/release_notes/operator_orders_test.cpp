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
    CPPUNIT_TEST(a_drain_order_is_answered_after_its_commit);
    CPPUNIT_TEST(a_repeated_drain_makes_no_new_generation);
    CPPUNIT_TEST(a_quarantine_is_lifted);
    CPPUNIT_TEST(an_order_to_a_replica_that_does_not_lead_names_the_leader);
    CPPUNIT_TEST(the_status_report_shows_draining_generation_and_lead);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_drain_order_is_answered_after_its_commit()
    {
        replica member;
        auto const id = member.ask(set_draining{instance_id(5), true});
        CPPUNIT_ASSERT(!member.has_answer(id));
        member.log().commit_all();
        member.tick();
        CPPUNIT_ASSERT(member.answer<order_answer>(id).result.outcome == change_outcome::accepted);
        CPPUNIT_ASSERT(member.state().config()->draining.contains(instance_id(5)));
    }

    void a_repeated_drain_makes_no_new_generation()
    {
        replica member;
        member.commit<order_answer>(set_draining{instance_id(5), true});
        auto const repeated = member.commit<order_answer>(set_draining{instance_id(5), true});
        CPPUNIT_ASSERT(repeated.result.outcome == change_outcome::unchanged);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, member.state().config()->generation.value());
    }

    void a_quarantine_is_lifted()
    {
        replica member;
        auto const fingerprint = sha256("a request");
        member.commit<order_answer>(set_quarantine{fingerprint, true});
        CPPUNIT_ASSERT(member.state().config()->quarantined.contains(fingerprint));
        member.commit<order_answer>(set_quarantine{fingerprint, false});
        CPPUNIT_ASSERT(member.state().config()->quarantined.empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, member.state().config()->generation.value());
    }

    void an_order_to_a_replica_that_does_not_lead_names_the_leader()
    {
        replica member;
        member.log().leads = false;
        member.log().known_leader = instance_id(3);
        auto const reply =
            member.answer<not_leading>(member.ask(set_draining{instance_id(5), true}));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, reply.leader->value());
    }

    void the_status_report_shows_draining_generation_and_lead()
    {
        replica member;
        member.commit<order_answer>(set_draining{instance_id(5), true});
        auto const reply = member.answer<status_report>(member.ask(status_query{}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reply.draining);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, reply.generation.value());
        CPPUNIT_ASSERT(reply.may_act);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(operator_orders_test);

} // namespace

} // namespace mulberryrudder::control::testing
