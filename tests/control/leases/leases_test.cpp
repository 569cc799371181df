#include <tests/lease_fleet/lease_fleet.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::test
{

namespace
{

class leases_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(leases_test);
    CPPUNIT_TEST(a_commit_is_in_force_everywhere_at_once_by_deltas);
    CPPUNIT_TEST(one_entry_of_each_domain_relays_the_push);
    CPPUNIT_TEST(a_renewal_gets_only_the_changed_members);
    CPPUNIT_TEST(a_replica_that_may_not_act_names_the_leader);
    CPPUNIT_TEST(a_doubled_renewal_is_answered_once);
    CPPUNIT_TEST(a_domain_without_live_entries_is_adopted_after_its_leases_lapsed);
    CPPUNIT_TEST(an_adopted_domain_goes_back_when_its_entry_returns);
    CPPUNIT_TEST(after_a_cut_all_are_back_within_a_lease_and_not_in_step);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { make(6); }

    void a_commit_is_in_force_everywhere_at_once_by_deltas()
    {
        bool whole = false;
        fleet_->on_message = [&](envelope const& it)
        {
            auto const* const push = it.body.get<messages::config_push>();
            whole = whole || (push != nullptr && push->config != nullptr);
        };
        fleet_->commit(lease_fleet::plain_config(2, {{"c", {50, 50}}}));
        CPPUNIT_ASSERT(fleet_->run_until([&] { return all_hold(2); }, milliseconds(100)));
        CPPUNIT_ASSERT(!whole);
    }

    void one_entry_of_each_domain_relays_the_push()
    {
        std::map<instance_id, int> sent;
        fleet_->on_message = [&](envelope const& it)
        {
            if (it.body.get<messages::config_push>() != nullptr)
                ++sent[it.from];
        };
        fleet_->commit(lease_fleet::plain_config(2, {{"c", {50, 50}}}));
        fleet_->run_for(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(3, sent[lease_fleet::control_id(0)]);
        CPPUNIT_ASSERT_EQUAL(1, sent[lease_fleet::entry_id(0)]);
    }

    void a_renewal_gets_only_the_changed_members()
    {
        std::size_t most = 0;
        fleet_->on_message = [&](envelope const& it)
        {
            if (auto const* const grant = it.body.get<messages::lease_grant>())
                most = std::max(most, grant->members.size());
        };
        fleet_->run_for(seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, most);
        fleet_->kill(5);
        fleet_->run_for(seconds(7));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, most);
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, fleet_->view(0).members().size());
        CPPUNIT_ASSERT(!fleet_->view(0).members().back().live);
    }

    void a_replica_that_may_not_act_names_the_leader()
    {
        std::optional<messages::not_leader> answer;
        fleet_->on_message = [&](envelope const& it)
        {
            if (auto const* const no = it.body.get<messages::not_leader>())
                answer = *no;
        };
        fleet_->depose();
        fleet_->run_until([&] { return answer.has_value(); }, seconds(2));
        CPPUNIT_ASSERT(answer.has_value());
        CPPUNIT_ASSERT(answer->leader == lease_fleet::control_id(0));
    }

    void a_doubled_renewal_is_answered_once()
    {
        std::optional<envelope> renewal;
        int grants = 0;
        fleet_->on_message = [&](envelope const& it)
        {
            if (it.from == lease_fleet::entry_id(0) && it.body.get<messages::renew_request>())
                renewal = it;
            grants += it.to == lease_fleet::entry_id(0) && it.body.get<messages::lease_grant>();
        };
        fleet_->run_until([&] { return grants == 1; }, seconds(3));
        fleet_->hand_over(*renewal);
        CPPUNIT_ASSERT_EQUAL(1, grants);
    }

    void a_domain_without_live_entries_is_adopted_after_its_leases_lapsed()
    {
        fleet_->kill(1);
        fleet_->kill(4);
        fleet_->run_for(seconds(3));
        CPPUNIT_ASSERT(fleet_->probe(0).last_lease.adopted.empty());
        fleet_->run_for(seconds(4));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet_->probe(0).last_lease.adopted.size());
        CPPUNIT_ASSERT(domain_id("d1") == fleet_->probe(0).last_lease.adopted.front());
        CPPUNIT_ASSERT(fleet_->probe(2).last_lease.adopted.empty());
    }

    void an_adopted_domain_goes_back_when_its_entry_returns()
    {
        fleet_->kill(1);
        fleet_->kill(4);
        fleet_->run_for(seconds(7));
        fleet_->restart(1);
        fleet_->run_for(seconds(3));
        CPPUNIT_ASSERT(fleet_->probe(0).last_lease.adopted.empty());
    }

    void after_a_cut_all_are_back_within_a_lease_and_not_in_step()
    {
        constexpr unsigned many = 60;
        make(many);
        for (unsigned n = 0; n != many; ++n)
            fleet_->cut(lease_fleet::entry_id(n));
        fleet_->run_for(seconds(30));
        for (unsigned n = 0; n != many; ++n)
            fleet_->heal(lease_fleet::entry_id(n));
        std::map<std::int64_t, unsigned> by_tenth;
        fleet_->on_message = [&](envelope const& it)
        {
            if (it.body.get<messages::renew_request>() != nullptr)
                ++by_tenth[fleet_->now().time_since_epoch() / milliseconds(100)];
        };
        CPPUNIT_ASSERT(fleet_->run_until([&] { return all_live(many); }, seconds(4)));
        for (auto const& [tenth, count] : by_tenth)
            CPPUNIT_ASSERT_MESSAGE("a third of the instances came in one tenth of a second",
                                   count < many / 3);
    }

private:
    void make(unsigned entries)
    {
        entries_ = entries;
        fleet_ = std::make_unique<lease_fleet>(
            fleet_options{.entries = entries, .domains = 3, .domains_per_region = 2});
        fleet_->commit(lease_fleet::plain_config(1, {{"c", {100, 50}}}));
        fleet_->elect(0);
        fleet_->run_for(seconds(6));
    }
    bool all_hold(std::uint64_t generation) const
    {
        for (unsigned n = 0; n != entries_; ++n)
            if (fleet_->view(n).config().generation != generation_id(generation))
                return false;
        return true;
    }
    bool all_live(unsigned many) const
    {
        for (unsigned n = 0; n != many; ++n)
            if (!fleet_->view(n).lease_live(fleet_->now()))
                return false;
        return true;
    }

    unsigned entries_ = 0;
    std::unique_ptr<lease_fleet> fleet_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(leases_test);

} // namespace

} // namespace mulberryrudder::test
