#include "../support/sample_notes.hpp"

#include <plugins/control/fleet_state/note_application.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::control::testing
{

namespace
{

using internal::apply_note;

/// Applies a note that must be valid.
fleet_plan apply(release_note const& note, fleet_plan const& before = {})
{
    auto result = apply_note(before, note);
    if (!result.failed.empty())
        throw std::runtime_error(result.failed[0].place + ": expected " +
                                 result.failed[0].expected);
    return result.after;
}

/// Applies a note and returns the places of all failures, separated by spaces.
std::string failure_places(release_note const& note, fleet_plan const& before)
{
    std::string out;
    for (auto const& it : apply_note(before, note).failed)
        out += (out.empty() ? "" : " ") + it.place;
    return out;
}

class note_application_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(note_application_test);
    CPPUNIT_TEST(a_note_creates_the_next_generation);
    CPPUNIT_TEST(additions_take_effect);
    CPPUNIT_TEST(a_change_keeps_values_that_it_does_not_name);
    CPPUNIT_TEST(a_key_is_withdrawn_by_its_id);
    CPPUNIT_TEST(an_ambiguous_key_prefix_is_refused);
    CPPUNIT_TEST(a_key_of_two_customers_is_refused);
    CPPUNIT_TEST(a_customer_that_a_route_names_cannot_be_withdrawn);
    CPPUNIT_TEST(a_customer_and_its_route_can_be_withdrawn_together);
    CPPUNIT_TEST(a_name_in_two_parts_of_a_note_is_refused);
    CPPUNIT_TEST(an_existing_name_cannot_be_added);
    CPPUNIT_TEST(an_absent_name_cannot_be_changed);
    CPPUNIT_TEST(an_added_move_keeps_its_deadline_and_the_old_version);
    CPPUNIT_TEST(a_second_move_on_a_route_is_refused);
    CPPUNIT_TEST(a_move_can_be_replaced_by_another);
    CPPUNIT_TEST(a_withdrawn_move_is_reported_and_the_old_version_stays);
    CPPUNIT_TEST(a_smaller_cap_lowers_the_share_at_once);
    CPPUNIT_TEST(the_version_of_a_route_with_a_running_move_cannot_be_changed);
    CPPUNIT_TEST(a_route_with_a_running_move_cannot_be_withdrawn_alone);
    CPPUNIT_TEST(a_move_to_the_same_version_is_refused);
    CPPUNIT_TEST(names_that_would_change_a_path_are_refused);
    CPPUNIT_TEST(all_errors_are_listed_with_their_places);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_note_creates_the_next_generation()
    {
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, apply(first_note()).config->generation.value());
    }

    void additions_take_effect()
    {
        auto note = first_note();
        note.add.links[{region_id("marmara"), region_id("ege")}] = bytes_per_second(500);
        auto const plan = apply(note);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{100'000}, relay(plan).rate.count());
        CPPUNIT_ASSERT_EQUAL(std::string("v1"), timing(plan).version.value());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{500}, plan.config->link_caps.begin()->second.count());
    }

    void a_change_keeps_values_that_it_does_not_name()
    {
        auto const plan = apply(rate_note(2, 5000), apply(first_note()));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5000}, relay(plan).rate.count());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{200'000}, relay(plan).burst.count());
    }

    void a_key_is_withdrawn_by_its_id()
    {
        release_note note{.number = note_number(2)};
        note.withdraw.keys.insert(key_id_of(sha256("relay's key")));
        CPPUNIT_ASSERT(relay(apply(note, apply(first_note()))).keys.empty());
    }

    void an_ambiguous_key_prefix_is_refused()
    {
        auto note = first_note();
        auto similar_key = sha256("relay's key");
        similar_key.bytes.back() ^= 1;
        note.add.customers[customer_id("relay")].keys.insert(similar_key);
        release_note withdrawal{.number = note_number(2)};
        withdrawal.withdraw.keys.insert(key_id_of(similar_key));
        CPPUNIT_ASSERT_EQUAL("/withdraw/keys/" + key_id_of(similar_key).value(),
                             failure_places(withdrawal, apply(note)));
    }

    void a_key_of_two_customers_is_refused()
    {
        auto note = first_note();
        note.add.customers[customer_id("archive")] = note.add.customers[customer_id("relay")];
        CPPUNIT_ASSERT_EQUAL(std::string("/add/keys/relay"), failure_places(note, {}));
    }

    void a_customer_that_a_route_names_cannot_be_withdrawn()
    {
        release_note note{.number = note_number(2)};
        note.withdraw.customers.insert(customer_id("relay"));
        CPPUNIT_ASSERT_EQUAL(std::string("/routes/timing/customers/relay"),
                             failure_places(note, apply(first_note())));
    }

    void a_customer_and_its_route_can_be_withdrawn_together()
    {
        release_note note{.number = note_number(2)};
        note.withdraw.customers.insert(customer_id("relay"));
        note.withdraw.routes.insert(route_id("timing"));
        auto const plan = apply(note, apply(first_note()));
        CPPUNIT_ASSERT(plan.config->customers.empty());
        CPPUNIT_ASSERT(plan.config->routes.empty());
    }

    void a_name_in_two_parts_of_a_note_is_refused()
    {
        auto note = rate_note(2, 5000);
        note.withdraw.customers.insert(customer_id("relay"));
        CPPUNIT_ASSERT(
            failure_places(note, apply(first_note())).starts_with("/withdraw/customers/relay"));
    }

    void an_existing_name_cannot_be_added()
    {
        CPPUNIT_ASSERT(
            failure_places(first_note(2), apply(first_note())).starts_with("/add/customers/relay"));
    }

    void an_absent_name_cannot_be_changed()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("/change/customers/relay"),
                             failure_places(rate_note(1, 5000), {}));
    }

    void an_added_move_keeps_its_deadline_and_the_old_version()
    {
        auto const plan = apply(move_note(), apply(first_note()));
        auto const& move = plan.moves.at(route_id("timing"));
        CPPUNIT_ASSERT_EQUAL(sample_deadline, move.terms.deadline.value());
        CPPUNIT_ASSERT_EQUAL(std::string("v1"), move.from.value());
        CPPUNIT_ASSERT_EQUAL(std::string("v2"), timing(plan).next.value());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, timing(plan).next_share.count());
    }

    void a_second_move_on_a_route_is_refused()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("/add/moves/timing"),
                             failure_places(move_note(3), plan_with_move()));
    }

    void a_move_can_be_replaced_by_another()
    {
        auto note = move_note(3);
        note.add.moves.at(route_id("timing")).version = version_id("v3");
        note.withdraw.moves.insert(route_id("timing"));
        auto const plan = apply(note, plan_with_move());
        CPPUNIT_ASSERT_EQUAL(std::string("v3"), timing(plan).next.value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, plan.moves.at(route_id("timing")).note.value());
    }

    void a_withdrawn_move_is_reported_and_the_old_version_stays()
    {
        release_note note{.number = note_number(3)};
        note.withdraw.moves.insert(route_id("timing"));
        auto const result = apply_note(plan_with_move(), note);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, result.ended.size());
        CPPUNIT_ASSERT(result.ended[0].outcome == move_outcome::withdrawn);
        CPPUNIT_ASSERT_EQUAL(std::string("v1"), timing(result.after).version.value());
        CPPUNIT_ASSERT_EQUAL(std::string(), timing(result.after).next.value());
    }

    void a_smaller_cap_lowers_the_share_at_once()
    {
        auto plan = plan_with_move();
        auto config = *plan.config;
        config.routes.at(route_id("timing")).next_share = per_mille(250);
        plan.config = std::make_shared<fleet_config const>(config);
        release_note note{.number = note_number(3)};
        note.change.moves[route_id("timing")].cap = per_mille(100);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{100}, timing(apply(note, plan)).next_share.count());
    }

    void the_version_of_a_route_with_a_running_move_cannot_be_changed()
    {
        release_note note{.number = note_number(3)};
        note.change.routes[route_id("timing")].version = version_id("v9");
        CPPUNIT_ASSERT_EQUAL(std::string("/change/routes/timing/version"),
                             failure_places(note, plan_with_move()));
    }

    void a_route_with_a_running_move_cannot_be_withdrawn_alone()
    {
        release_note note{.number = note_number(3)};
        note.withdraw.routes.insert(route_id("timing"));
        CPPUNIT_ASSERT_EQUAL(std::string("/moves/timing"), failure_places(note, plan_with_move()));
    }

    void a_move_to_the_same_version_is_refused()
    {
        auto note = move_note();
        note.add.moves.at(route_id("timing")).version = version_id("v1");
        CPPUNIT_ASSERT_EQUAL(std::string("/moves/timing/version"),
                             failure_places(note, apply(first_note())));
    }

    void names_that_would_change_a_path_are_refused()
    {
        for (auto const* const name : {"", "a/b", "a b", "..", "a%20b", "a\r\nb"})
        {
            release_note note{.number = note_number(1)};
            note.add.routes[route_id(name)] = {.version = version_id("v1")};
            CPPUNIT_ASSERT_EQUAL("/add/routes/" + std::string(name), failure_places(note, {}));
        }
    }

    void all_errors_are_listed_with_their_places()
    {
        auto note = first_note();
        note.number = note_number(0);
        note.add.customers[customer_id("relay")].rate = millitokens_per_second(0);
        note.withdraw.routes.insert(route_id("absent"));
        CPPUNIT_ASSERT_EQUAL(
            std::string("/number /add/customers/relay/rate /withdraw/routes/absent"),
            failure_places(note, {}));
    }

private:
    static fleet_plan plan_with_move() { return apply(move_note(), apply(first_note())); }
    static customer_config const& relay(fleet_plan const& it)
    {
        return it.config->customers.at(customer_id("relay"));
    }
    static route_config const& timing(fleet_plan const& it)
    {
        return it.config->routes.at(route_id("timing"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(note_application_test);

} // namespace

} // namespace mulberryrudder::control::testing
