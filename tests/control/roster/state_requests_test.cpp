#include <plugins/control/roster/state_requests.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::control
{

namespace
{

constexpr milliseconds heard_limit{800};
constexpr seconds long_enough{1};

class state_requests_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(state_requests_test);
    CPPUNIT_TEST(one_instance_is_asked_at_a_time);
    CPPUNIT_TEST(an_instance_of_the_own_region_is_asked_first);
    CPPUNIT_TEST(another_one_is_asked_if_no_answer_comes);
    CPPUNIT_TEST(the_next_state_is_requested_at_once);
    CPPUNIT_TEST(an_instance_that_is_not_heard_is_not_asked);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        add(2, "far", 7);
        add(3, "near", 7);
        add(4, "far", 7);
    }

    void one_instance_is_asked_at_a_time()
    {
        CPPUNIT_ASSERT(next(6).has_value());
        CPPUNIT_ASSERT(!next(6));
        CPPUNIT_ASSERT(!next(7));
    }

    void an_instance_of_the_own_region_is_asked_first()
    {
        CPPUNIT_ASSERT(instance_id(3) == next(6));
    }

    void another_one_is_asked_if_no_answer_comes()
    {
        std::set<instance_id> asked;
        for (int n = 0; n != 3; ++n)
        {
            asked.insert(*next(6));
            pass(long_enough);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, asked.size());
        CPPUNIT_ASSERT_MESSAGE("all are asked again", next(6).has_value());
    }

    void the_next_state_is_requested_at_once()
    {
        next(5);
        CPPUNIT_ASSERT(next(6).has_value());
    }

    void an_instance_that_is_not_heard_is_not_asked()
    {
        now_ += long_enough;
        CPPUNIT_ASSERT(!next(6));
    }

private:
    void add(std::uint32_t id, std::string const& region, std::uint64_t generation)
    {
        auto& row = known_[instance_id(id)];
        row.description.id = instance_id(id);
        row.description.region = region_id(region);
        row.generation = generation_id(generation);
        row.is_heard = true;
        row.last_message = now_;
    }

    void pass(span elapsed)
    {
        now_ += elapsed;
        for (auto& [id, row] : known_)
            row.last_message = now_;
    }

    std::optional<instance_id> next(std::uint64_t own)
    {
        return requests_.next(known_, generation_id(own), region_id("near"), now_ - heard_limit,
                              now_);
    }

    instant now_{seconds(1000)};
    std::map<instance_id, control_table::row> known_;
    state_requests requests_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(state_requests_test);

} // namespace

} // namespace mulberryrudder::control
