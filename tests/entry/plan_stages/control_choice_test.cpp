#include "plugins/entry/roster/control_choice.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::entry
{

namespace
{

instance_description at(std::uint32_t id, std::string const& region, std::string const& domain)
{
    return {.id = instance_id(id),
            .region = region_id(region),
            .domain = domain_id(domain),
            .peer = {"127.0.0.1", static_cast<std::uint16_t>(id)},
            .caller = {}};
}

class control_choice_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(control_choice_test);
    CPPUNIT_TEST(the_nearest_instance_is_asked);
    CPPUNIT_TEST(one_that_failed_is_asked_last_for_a_while);
    CPPUNIT_TEST(of_equally_near_ones_the_last_is_kept);
    CPPUNIT_TEST(seeds_are_never_forgotten);
    CPPUNIT_TEST(only_new_addresses_are_learned);
    CPPUNIT_TEST_SUITE_END();

public:
    void the_nearest_instance_is_asked()
    {
        it_.learn({at(1, "e", "e-a"), at(2, "m", "m-b"), at(3, "m", "m-a")});
        CPPUNIT_ASSERT(best() == instance_id(3));
        it_.learn({at(1, "e", "e-a"), at(2, "m", "m-b")});
        CPPUNIT_ASSERT(best() == instance_id(2));
    }

    void one_that_failed_is_asked_last_for_a_while()
    {
        it_.learn({at(1, "e", "e-a"), at(3, "m", "m-a")});
        it_.failed(instance_id(3), now_);
        CPPUNIT_ASSERT(best() == instance_id(1));
        now_ += seconds(6);
        CPPUNIT_ASSERT(best() == instance_id(3));
    }

    void of_equally_near_ones_the_last_is_kept()
    {
        it_.learn({at(1, "e", "e-a"), at(2, "e", "e-b"), at(3, "u", "u-a")});
        last_ = instance_id(2);
        for (int n = 0; n != 20; ++n)
            CPPUNIT_ASSERT(best() == instance_id(2));
    }

    void seeds_are_never_forgotten()
    {
        it_.add_contact(instance_id(7));
        it_.learn({at(1, "e", "e-a")});
        it_.learn({});
        CPPUNIT_ASSERT(best() == instance_id(7));
    }

    void only_new_addresses_are_learned()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it_.learn({at(1, "e", "e-a")}).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it_.learn({at(1, "e", "e-a")}).size());
    }

private:
    std::optional<instance_id> best() { return it_.best(at(9, "m", "m-a"), last_, now_, random_); }

    control_choice it_;
    std::optional<instance_id> last_;
    random_source random_{1};
    instant now_{seconds(1000)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(control_choice_test);

} // namespace

} // namespace mulberryrudder::entry
