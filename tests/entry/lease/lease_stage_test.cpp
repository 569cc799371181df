#include <tests/lease_fleet/lease_fleet.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::test
{

namespace
{

std::string refusal_of(lease_fleet const& fleet, request_id id)
{
    auto const it = fleet.endings().find(id);
    if (it == fleet.endings().end())
        return "unanswered";
    auto const* const no = std::get_if<entry::refused>(&it->second.what);
    return no == nullptr ? "answered" : std::string(no->why->what().name);
}

class lease_stage_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(lease_stage_test);
    CPPUNIT_TEST(an_entry_gets_lease_configuration_and_slices_by_renewing);
    CPPUNIT_TEST(keyed_requests_are_admitted_from_the_slice);
    CPPUNIT_TEST(without_a_lease_keyed_requests_are_refused);
    CPPUNIT_TEST_SUITE_END();

public:
    void an_entry_gets_lease_configuration_and_slices_by_renewing()
    {
        lease_fleet fleet({.entries = 3});
        fleet.commit(lease_fleet::plain_config(7, {{"c", {100, 50}}}));
        fleet.elect(0);
        fleet.run_for(seconds(1));
        auto const& view = fleet.view(0);
        CPPUNIT_ASSERT(view.lease_live(fleet.now()));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, view.config().generation.value());
        fleet.run_for(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, view.members().size());
    }

    void keyed_requests_are_admitted_from_the_slice()
    {
        lease_fleet fleet({.entries = 1});
        fleet.commit(lease_fleet::plain_config(1, {{"c", {100, 50}}}));
        fleet.elect(0);
        fleet.run_for(seconds(5));
        auto const id = fleet.request(0, "c");
        fleet.run_for(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::string("answered"), refusal_of(fleet, id));
    }

    void without_a_lease_keyed_requests_are_refused()
    {
        lease_fleet fleet({.entries = 1});
        fleet.commit(lease_fleet::plain_config(1, {{"c", {100, 50}}}));
        auto const id = fleet.request(0, "c");
        fleet.run_for(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::string("lease_lapsed"), refusal_of(fleet, id));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lease_stage_test);

} // namespace

} // namespace mulberryrudder::test
