#include "tests/control/support/replica.hpp"

#include <mulberryrudder/control/replicated_log.hpp>
#include <mulberryrudder/control/roster.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace mulberryrudder::control
{

namespace
{

using testing::replica;

/// Stands for the roster and the replicated log's group: the test says who is heard.
class fake_neighbours final : public component, public roster_view, public voter_group
{
public:
    explicit fake_neighbours(component_parts const& parts)
    {
        parts.services.provide<roster_view>(*this);
        parts.services.provide<voter_group>(*this);
        parts.services.provide<fake_neighbours>(*this);
    }

    std::vector<version_id> versions_of(service_id const&) const override { return {}; }
    slots capacity_of(service_id const&, version_id const&) const override { return {}; }
    std::vector<messages::version_outcomes> take_outcomes() override { return {}; }
    std::vector<instance_description> control_since(instant) const override { return heard; }
    group_membership const& membership() const override { return members; }
    bool begin_replacement(replacement const& wanted, instant) override
    {
        begun.push_back(wanted);
        return true;
    }

    std::vector<instance_description> heard;
    group_membership members;
    std::vector<replacement> begun;
};

component_registrar<fake_neighbours> const entered{"fake_neighbours", component_order::roster};

instance_description at(std::uint32_t id, std::string const& region)
{
    return {.id = instance_id(id),
            .region = region_id(region),
            .domain = domain_id(region + "-a"),
            .peer = {"10.0.0.1", static_cast<std::uint16_t>(id)},
            .caller = {}};
}

class voter_keeper_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(voter_keeper_test);
    CPPUNIT_TEST(a_silent_voter_is_replaced);
    CPPUNIT_TEST(a_short_silence_changes_nothing);
    CPPUNIT_TEST(the_place_goes_to_a_region_without_voters);
    CPPUNIT_TEST(nobody_is_replaced_without_another_instance);
    CPPUNIT_TEST(a_follower_replaces_nobody);
    CPPUNIT_TEST(the_group_grows_to_what_it_has_to_bear);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        for (std::uint32_t id = 1; id != 4; ++id)
            near().members.voters.push_back({.id = instance_id(id)});
        near().heard = {at(2, "e"), at(3, "u"), at(4, "e"), at(5, "u")};
    }

    void a_silent_voter_is_replaced()
    {
        silence(3);
        run(seconds(6));
        CPPUNIT_ASSERT(!near().begun.empty());
        CPPUNIT_ASSERT(near().begun.front().leaving == instance_id(3));
    }

    void a_short_silence_changes_nothing()
    {
        auto const all = near().heard;
        silence(3);
        run(seconds(3));
        near().heard = all;
        run(seconds(3));
        silence(3);
        run(seconds(3));
        CPPUNIT_ASSERT(near().begun.empty());
    }

    void the_place_goes_to_a_region_without_voters()
    {
        silence(3);
        run(seconds(6));
        CPPUNIT_ASSERT(near().begun.front().joining == instance_id(5));
    }

    void nobody_is_replaced_without_another_instance()
    {
        near().heard = {at(2, "e")};
        run(seconds(20));
        CPPUNIT_ASSERT(near().begun.empty());
    }

    void a_follower_replaces_nobody()
    {
        it_.log().leads = false;
        silence(3);
        run(seconds(20));
        CPPUNIT_ASSERT(near().begun.empty());
    }

    // Guards against LOST: three voters were all there were, however many disks may be lost.
    void the_group_grows_to_what_it_has_to_bear()
    {
        near().members.voters.pop_back();
        run(seconds(2));
        CPPUNIT_ASSERT(!near().begun.empty());
        auto const& it = near().begun.front();
        CPPUNIT_ASSERT_MESSAGE("nobody leaves", it.leaving == it.joining);
        CPPUNIT_ASSERT_MESSAGE("where no voter is", it.joining == instance_id(3));
    }

private:
    fake_neighbours& near() { return it_.service<fake_neighbours>(); }

    void silence(std::uint32_t id)
    {
        std::erase_if(near().heard,
                      [id](instance_description const& it) { return it.id == instance_id(id); });
    }

    void run(span time)
    {
        for (span passed{0}; passed < time; passed += milliseconds(100))
            it_.tick(milliseconds(100));
    }

    replica it_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(voter_keeper_test);

} // namespace

} // namespace mulberryrudder::control
