#include "plugins/entry/fair_queue/start_time_queue.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <random>
#include <string>

namespace mulberryrudder::entry
{

namespace
{

customer_id const small("small");
customer_id const large("large");
route_id const timing("timing");
route_id const archive("archive");

bool any_route(route_id const&)
{
    return true;
}

class start_time_queue_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(start_time_queue_test);
    CPPUNIT_TEST(a_backlog_delays_its_own_customer_only);
    CPPUNIT_TEST(turns_are_in_proportion_to_the_weights);
    CPPUNIT_TEST(an_idle_customer_saves_up_nothing);
    CPPUNIT_TEST(a_route_without_a_slot_holds_up_no_other_route);
    CPPUNIT_TEST(requests_of_one_customer_and_route_keep_their_order);
    CPPUNIT_TEST(removed_requests_are_not_started);
    CPPUNIT_TEST(the_order_agrees_with_a_naive_version);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_backlog_delays_its_own_customer_only()
    {
        for (int n = 0; n != 100; ++n)
            push(large);
        auto const id = push(small);
        pop();
        CPPUNIT_ASSERT_EQUAL(id.value(), pop());
    }

    void turns_are_in_proportion_to_the_weights()
    {
        std::map<std::uint64_t, customer_id> owners;
        for (int n = 0; n != 100; ++n)
        {
            owners[push(large, timing, 3).value()] = large;
            owners[push(small, timing, 1).value()] = small;
        }
        std::map<customer_id, int> turns;
        for (int n = 0; n != 80; ++n)
            ++turns[owners.at(pop())];
        CPPUNIT_ASSERT_EQUAL(60, turns[large]);
        CPPUNIT_ASSERT_EQUAL(20, turns[small]);
    }

    void an_idle_customer_saves_up_nothing()
    {
        for (int n = 0; n != 50; ++n)
        {
            push(large);
            pop();
        }
        push(small);
        push(small);
        auto const id = push(large);
        pop();
        CPPUNIT_ASSERT_EQUAL(id.value(), pop());
    }

    void a_route_without_a_slot_holds_up_no_other_route()
    {
        push(large, archive);
        auto const id = push(large, timing);
        auto const only_timing = [](route_id const& it) { return it == timing; };
        CPPUNIT_ASSERT_EQUAL(id.value(), queue_.pop(only_timing)->id.value());
        CPPUNIT_ASSERT(!queue_.pop(only_timing));
    }

    void requests_of_one_customer_and_route_keep_their_order()
    {
        auto const first = push(small);
        auto const second = push(small);
        CPPUNIT_ASSERT_EQUAL(first.value(), pop());
        CPPUNIT_ASSERT_EQUAL(second.value(), pop());
    }

    void removed_requests_are_not_started()
    {
        auto const first = push(small);
        auto const second = push(small);
        CPPUNIT_ASSERT(queue_.remove(first));
        CPPUNIT_ASSERT(!queue_.remove(first));
        CPPUNIT_ASSERT_EQUAL(second.value(), pop());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, queue_.size());
    }

    /// The naive version keeps all requests in one list and looks for the least start.
    void the_order_agrees_with_a_naive_version()
    {
        std::mt19937_64 random(20261204);
        std::map<customer_id, double> finish;
        std::multimap<double, std::uint64_t> waiting;
        double now = 0;
        for (int n = 0; n != 20000; ++n)
        {
            if (random() % 2 == 0)
            {
                customer_id const who("c" + std::to_string(random() % 5));
                auto const id = push(who);
                double const start = std::max(now, finish[who]);
                finish[who] = start + 1;
                waiting.emplace(start, id.value());
                continue;
            }
            auto const next = queue_.pop(any_route);
            CPPUNIT_ASSERT_EQUAL(waiting.empty(), !next.has_value());
            if (!next)
                continue;
            // Equal starts may go in any order.
            auto const [first, last] = waiting.equal_range(waiting.begin()->first);
            auto const it = std::find_if(
                first, last, [&](auto const& entry) { return entry.second == next->id.value(); });
            CPPUNIT_ASSERT_MESSAGE("step " + std::to_string(n), it != last);
            now = std::max(now, it->first);
            waiting.erase(it);
        }
    }

private:
    request_id push(customer_id const& who, route_id const& route = timing, std::int64_t weight = 1)
    {
        request_id const id(++pushed_);
        queue_.push({who, milliseconds(10), weight},
                    {.id = id, .route = route, .deadline = instant(seconds(1))});
        return id;
    }

    std::uint64_t pop() { return queue_.pop(any_route)->id.value(); }

    start_time_queue queue_;
    std::uint64_t pushed_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(start_time_queue_test);

} // namespace

} // namespace mulberryrudder::entry
