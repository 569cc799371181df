#include <plugins/control/replica/leader_lease.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::control::testing
{

namespace
{

constexpr instant sent{seconds(100)};

voter member(std::uint32_t id, std::uint64_t disk = 1)
{
    return {.id = instance_id(id), .disk = disk_id(disk)};
}

class leader_lease_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(leader_lease_test);
    CPPUNIT_TEST(a_majority_confirms_from_when_the_round_was_sent);
    CPPUNIT_TEST(a_minority_confirms_nothing);
    CPPUNIT_TEST(an_answer_of_another_disk_does_not_count);
    CPPUNIT_TEST(a_late_answer_to_an_old_round_confirms_only_that_round);
    CPPUNIT_TEST(a_new_term_starts_unconfirmed);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        lease_.reset();
        lease_.open_round(sent);
    }

    void a_majority_confirms_from_when_the_round_was_sent()
    {
        answer(member(2), lease_.round());
        CPPUNIT_ASSERT(sent + config_.lease - config_.lease_margin == lease_.confirmed_until());
    }

    void a_minority_confirms_nothing()
    {
        members_.voters.push_back(member(4));
        members_.voters.push_back(member(5));
        answer(member(2), lease_.round());
        CPPUNIT_ASSERT(instant{} == lease_.confirmed_until());
    }

    void an_answer_of_another_disk_does_not_count()
    {
        answer(member(2, 9), lease_.round());
        CPPUNIT_ASSERT(instant{} == lease_.confirmed_until());
    }

    void a_late_answer_to_an_old_round_confirms_only_that_round()
    {
        auto const old = lease_.round();
        lease_.open_round(sent + seconds(5));
        answer(member(2), old);
        CPPUNIT_ASSERT(sent + config_.lease - config_.lease_margin == lease_.confirmed_until());
    }

    void a_new_term_starts_unconfirmed()
    {
        answer(member(2), lease_.round());
        lease_.reset();
        CPPUNIT_ASSERT(instant{} == lease_.confirmed_until());
    }

private:
    void answer(voter const& by, messages::round_id round)
    {
        lease_.answered(by, round);
        lease_.count(members_, member(1));
    }

    replica_settings config_;
    group_membership members_{.group = group_id(1), .voters = {member(1), member(2), member(3)}};
    leader_lease lease_{config_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(leader_lease_test);

} // namespace

} // namespace mulberryrudder::control::testing
