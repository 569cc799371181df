#include <tests/lease_fleet/lease_fleet.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::test
{

namespace
{

class lease_stage_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(lease_stage_test);
    CPPUNIT_TEST(an_entry_gets_lease_configuration_and_members_by_renewing);
    CPPUNIT_TEST(keyed_requests_are_admitted_under_the_lease);
    CPPUNIT_TEST(without_a_lease_keyed_requests_are_refused);
    CPPUNIT_TEST(open_routes_go_on_after_the_lapse);
    CPPUNIT_TEST(a_frozen_instance_wakes_without_authority);
    CPPUNIT_TEST(the_lease_counts_from_when_the_renewal_was_sent);
    CPPUNIT_TEST(a_grant_of_a_lower_term_is_refused);
    CPPUNIT_TEST(a_grant_counts_once);
    CPPUNIT_TEST(an_older_configuration_is_never_taken);
    CPPUNIT_TEST(a_new_leader_must_know_what_the_former_one_confirmed);
    CPPUNIT_TEST(an_answer_from_before_a_lapse_does_not_count);
    CPPUNIT_TEST(a_restarted_instance_serves_keyed_routes_only_at_the_newest_generation);
    CPPUNIT_TEST(the_next_control_instance_is_asked_when_the_leader_is_gone);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        fleet_ = std::make_unique<lease_fleet>(fleet_options{.entries = 2, .controls = 3});
        fleet_->commit(lease_fleet::plain_config(7, {{"c", {100, 50}}}));
    }

    void an_entry_gets_lease_configuration_and_members_by_renewing()
    {
        lead_and_settle();
        CPPUNIT_ASSERT(fleet_->view(0).lease_live(fleet_->now()));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, fleet_->view(0).config().generation.value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fleet_->view(0).members().size());
    }

    void keyed_requests_are_admitted_under_the_lease()
    {
        lead_and_settle();
        auto const id = fleet_->request(0, "c");
        fleet_->run_for(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::string("answered"), fleet_->outcome_of(id));
    }

    void without_a_lease_keyed_requests_are_refused()
    {
        auto const id = fleet_->request(0, "c");
        CPPUNIT_ASSERT_EQUAL(std::string("lease_lapsed"), fleet_->outcome_of(id));
    }

    void open_routes_go_on_after_the_lapse()
    {
        lead_and_settle();
        fleet_->cut(lease_fleet::entry_id(0));
        fleet_->run_for(seconds(5));
        auto const open = fleet_->request(0, "", "o");
        auto const keyed = fleet_->request(0, "c", "k");
        CPPUNIT_ASSERT_EQUAL(std::string("answered"), fleet_->outcome_of(open));
        CPPUNIT_ASSERT_EQUAL(std::string("lease_lapsed"), fleet_->outcome_of(keyed));
    }

    void a_frozen_instance_wakes_without_authority()
    {
        lead_and_settle();
        fleet_->probe(0).hold = true;
        auto const id = fleet_->request(0, "c", "k", seconds(60));
        fleet_->run_for(milliseconds(200));
        fleet_->freeze(lease_fleet::entry_id(0));
        fleet_->run_for(seconds(5));
        CPPUNIT_ASSERT(!fleet_->view(0).lease_live(fleet_->local_now(lease_fleet::entry_id(0))));
        CPPUNIT_ASSERT_EQUAL(std::string("lease_lapsed"), rechecked(id));
    }

    void the_lease_counts_from_when_the_renewal_was_sent()
    {
        auto const sent = next_renewal();
        fleet_->run_for(seconds(2));
        answer(sent, 1, 7);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{4000 - 40},
                             milliseconds_between(sent_at_, fleet_->view(0).lease_deadline()));
    }

    void a_grant_of_a_lower_term_is_refused()
    {
        answer(next_renewal(), 5, 7);
        auto const deadline = fleet_->view(0).lease_deadline();
        answer(next_renewal(), 4, 7);
        CPPUNIT_ASSERT(deadline == fleet_->view(0).lease_deadline());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, fleet_->view(0).term().value());
    }

    void a_grant_counts_once()
    {
        auto const first = next_renewal();
        answer(next_renewal(), 1, 7);
        auto const deadline = fleet_->view(0).lease_deadline();
        answer(first, 1, 7);
        CPPUNIT_ASSERT(deadline == fleet_->view(0).lease_deadline());
    }

    void an_older_configuration_is_never_taken()
    {
        answer(next_renewal(), 1, 7);
        auto const deadline = fleet_->view(0).lease_deadline();
        answer(next_renewal(), 1, 6);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, fleet_->view(0).config().generation.value());
        CPPUNIT_ASSERT(deadline == fleet_->view(0).lease_deadline());
    }

    void a_new_leader_must_know_what_the_former_one_confirmed()
    {
        auto const first = next_renewal();
        auto const to_other = next_renewal();
        answer(first, 1, 7);
        auto const deadline = fleet_->view(0).lease_deadline();
        answer(to_other, 2, 7);
        CPPUNIT_ASSERT(deadline == fleet_->view(0).lease_deadline());
        answer(next_renewal(), 2, 7);
        CPPUNIT_ASSERT(deadline < fleet_->view(0).lease_deadline());
    }

    void an_answer_from_before_a_lapse_does_not_count()
    {
        answer(next_renewal(), 1, 7);
        auto const before = next_renewal();
        fleet_->run_until([&] { return !fleet_->view(0).lease_live(fleet_->now()); }, seconds(9));
        answer(before, 1, 7);
        CPPUNIT_ASSERT(!fleet_->view(0).lease_live(fleet_->now()));
    }

    void a_restarted_instance_serves_keyed_routes_only_at_the_newest_generation()
    {
        lead_and_settle();
        fleet_->restart(0);
        auto const early = fleet_->request(0, "c");
        CPPUNIT_ASSERT_EQUAL(std::string("lease_lapsed"), fleet_->outcome_of(early));
        fleet_->commit(lease_fleet::plain_config(8, {{"c", {100, 50}}}));
        fleet_->run_until([&] { return fleet_->view(0).lease_live(fleet_->now()); }, seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, fleet_->view(0).config().generation.value());
    }

    void the_next_control_instance_is_asked_when_the_leader_is_gone()
    {
        lead_and_settle();
        fleet_->cut(lease_fleet::control_id(0));
        fleet_->elect(2);
        fleet_->run_for(seconds(4));
        CPPUNIT_ASSERT(fleet_->view(0).lease_live(fleet_->now()));
        CPPUNIT_ASSERT_EQUAL(lease_fleet::control_id(2).value(), fleet_->view(0).leader().value());
    }

private:
    void lead_and_settle()
    {
        fleet_->elect(0);
        fleet_->run_for(seconds(12));
    }

    static std::int64_t milliseconds_between(instant from, instant to)
    {
        return std::chrono::duration_cast<milliseconds>(to - from).count();
    }

    /// Runs until entry 0 sends a renewal; returns it.
    messages::renew_request next_renewal()
    {
        std::optional<messages::renew_request> sent;
        fleet_->on_message = [&](envelope const& it)
        {
            if (it.from != lease_fleet::entry_id(0) || !it.body.get<messages::renew_request>())
                return;
            sent = *it.body.get<messages::renew_request>();
            sent_at_ = fleet_->now();
        };
        fleet_->run_until([&] { return sent.has_value(); }, seconds(3));
        fleet_->on_message = nullptr;
        CPPUNIT_ASSERT(sent.has_value());
        return *sent;
    }

    /// Answers a renewal as a leader of a term with a configuration's generation.
    void answer(messages::renew_request const& it, std::uint64_t term, std::uint64_t generation)
    {
        messages::lease_grant out{.sequence = it.sequence,
                                  .term = term_id(term),
                                  .valid_for = seconds(4),
                                  .generation = generation_id(generation)};
        out.config = std::make_shared<fleet_config const>(
            lease_fleet::plain_config(generation, {{"c", {100, 50}}}));
        fleet_->hand_over({.from = lease_fleet::control_id(0),
                           .to = lease_fleet::entry_id(0),
                           .body = any_message::of(std::move(out))});
    }

    /// Lets a held request go on to its forwarding; returns what became of it.
    std::string rechecked(request_id id)
    {
        fleet_->release(0, id);
        return fleet_->outcome_of(id);
    }

    std::unique_ptr<lease_fleet> fleet_;
    instant sent_at_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(lease_stage_test);

} // namespace

} // namespace mulberryrudder::test
