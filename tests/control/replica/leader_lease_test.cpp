#include <plugins/control/replica/leader_lease.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::control::testing
{

namespace
{

constexpr instant round_sent{seconds(100)};

voter member(std::uint32_t id, std::uint64_t disk = 1)
{
    return {.id = instance_id(id), .disk = disk_id(disk)};
}

class leader_lease_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(leader_lease_test);
    CPPUNIT_TEST(a_majority_confirms_the_lease_from_the_sending_of_the_round);
    CPPUNIT_TEST(a_minority_does_not_confirm_the_lease);
    CPPUNIT_TEST(a_reply_of_another_disk_does_not_count);
    CPPUNIT_TEST(a_late_reply_to_an_old_round_confirms_only_that_round);
    CPPUNIT_TEST(a_new_term_starts_without_a_lease);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        lease_.reset();
        lease_.open_round(round_sent);
    }

    void a_majority_confirms_the_lease_from_the_sending_of_the_round()
    {
        reply(member(2), lease_.round());
        CPPUNIT_ASSERT(round_sent + config_.lease_duration - config_.lease_margin ==
                       lease_.confirmed_until());
    }

    void a_minority_does_not_confirm_the_lease()
    {
        members_.voters.push_back(member(4));
        members_.voters.push_back(member(5));
        reply(member(2), lease_.round());
        CPPUNIT_ASSERT(instant{} == lease_.confirmed_until());
    }

    void a_reply_of_another_disk_does_not_count()
    {
        reply(member(2, 9), lease_.round());
        CPPUNIT_ASSERT(instant{} == lease_.confirmed_until());
    }

    void a_late_reply_to_an_old_round_confirms_only_that_round()
    {
        auto const old_round = lease_.round();
        lease_.open_round(round_sent + seconds(5));
        reply(member(2), old_round);
        CPPUNIT_ASSERT(round_sent + config_.lease_duration - config_.lease_margin ==
                       lease_.confirmed_until());
    }

    void a_new_term_starts_without_a_lease()
    {
        reply(member(2), lease_.round());
        lease_.reset();
        CPPUNIT_ASSERT(instant{} == lease_.confirmed_until());
    }

private:
    void reply(voter const& sender, messages::round_id round)
    {
        lease_.record_reply(sender, round);
        lease_.extend(members_, member(1));
    }

    replica_settings config_;
    group_membership members_{.group = group_id(1), .voters = {member(1), member(2), member(3)}};
    leader_lease lease_{config_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(leader_lease_test);

} // namespace

} // namespace mulberryrudder::control::testing
