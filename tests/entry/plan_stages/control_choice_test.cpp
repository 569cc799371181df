#include "plugins/entry/roster/control_choice.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::entry
{

namespace
{

instance_description instance_at(std::uint32_t id, std::string const& region,
                                 std::string const& domain)
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
    CPPUNIT_TEST(the_nearest_instance_is_selected);
    CPPUNIT_TEST(an_instance_that_failed_is_selected_last_for_a_limited_time);
    CPPUNIT_TEST(among_equally_near_instances_the_last_one_to_answer_is_selected);
    CPPUNIT_TEST(contacts_are_never_removed);
    CPPUNIT_TEST(an_instance_that_hears_few_others_makes_none_forgotten);
    CPPUNIT_TEST(only_new_addresses_are_returned);
    CPPUNIT_TEST_SUITE_END();

public:
    void the_nearest_instance_is_selected()
    {
        update(
            {instance_at(1, "e", "e-a"), instance_at(2, "m", "m-b"), instance_at(3, "m", "m-a")});
        CPPUNIT_ASSERT(best() == instance_id(3));
        update({instance_at(1, "e", "e-a"), instance_at(2, "m", "m-b")});
        CPPUNIT_ASSERT(best() == instance_id(2));
    }

    void an_instance_that_failed_is_selected_last_for_a_limited_time()
    {
        update({instance_at(1, "e", "e-a"), instance_at(3, "m", "m-a")});
        choice_.failed(instance_id(3), now_);
        CPPUNIT_ASSERT(best() == instance_id(1));
        now_ += seconds(6);
        CPPUNIT_ASSERT(best() == instance_id(3));
    }

    void among_equally_near_instances_the_last_one_to_answer_is_selected()
    {
        update(
            {instance_at(1, "e", "e-a"), instance_at(2, "e", "e-b"), instance_at(3, "u", "u-a")});
        last_answered_ = instance_id(2);
        for (int n = 0; n != 20; ++n)
            CPPUNIT_ASSERT(best() == instance_id(2));
    }

    void contacts_are_never_removed()
    {
        choice_.add_contact(instance_id(7));
        update({instance_at(1, "e", "e-a")});
        update({});
        CPPUNIT_ASSERT(best() == instance_id(7));
    }

    // Guards against CONFIG: the answer of a control instance that had just started named that
    // instance alone, and the entry forgot all others.
    void an_instance_that_hears_few_others_makes_none_forgotten()
    {
        update({instance_at(1, "e", "e-a"), instance_at(3, "m", "m-a")});
        update({instance_at(1, "e", "e-a")}, control_choice::naming::some);
        CPPUNIT_ASSERT(best() == instance_id(3));
    }

    void only_new_addresses_are_returned()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, update({instance_at(1, "e", "e-a")}).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, update({instance_at(1, "e", "e-a")}).size());
    }

private:
    std::vector<instance_description>
    update(std::vector<instance_description> const& group,
           control_choice::naming named = control_choice::naming::most)
    {
        return choice_.update_group(group, named);
    }

    std::optional<instance_id> best()
    {
        return choice_.best(instance_at(9, "m", "m-a"), last_answered_, now_, random_);
    }

    control_choice choice_;
    std::optional<instance_id> last_answered_;
    random_source random_{1};
    instant now_{seconds(1000)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(control_choice_test);

} // namespace

} // namespace mulberryrudder::entry
