#include "tests/entry/support/entry_bench.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::entry
{

namespace
{

class versions_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(versions_test);
    CPPUNIT_TEST(without_a_move_everything_goes_to_the_routes_version);
    CPPUNIT_TEST(a_move_sends_its_share_to_the_new_version);
    CPPUNIT_TEST(a_retry_goes_to_the_old_version);
    CPPUNIT_TEST(a_failing_new_version_is_tripped_on_its_route_only);
    CPPUNIT_TEST(a_request_that_waits_while_its_version_is_withdrawn_does_not_run);
    CPPUNIT_TEST(a_trip_is_reported_in_each_renewal);
    CPPUNIT_TEST(without_a_usable_target_of_the_new_version_the_old_one_gets_all);
    CPPUNIT_TEST(a_hedge_beyond_the_share_is_not_sent);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        auto& held = bench_.lease().held;
        held.generation = generation_id(1);
        for (auto const* const it : {"a", "b"})
            held.routes[route_id(it)] = {
                .open = true, .version = version_id("v1"), .next = version_id("v2")};
    }

    void without_a_move_everything_goes_to_the_routes_version()
    {
        bench_.lease().held.routes[route_id("a")].next = {};
        CPPUNIT_ASSERT_EQUAL(0, sent_to_new("a", 100));
    }

    void a_move_sends_its_share_to_the_new_version()
    {
        share("a", 250);
        CPPUNIT_ASSERT_EQUAL(25, sent_to_new("a", 100));
    }

    void a_retry_goes_to_the_old_version()
    {
        share("a", 1000);
        bench_.choice().retries = true;
        auto const out = ask("a");
        CPPUNIT_ASSERT_EQUAL(std::string("v2"), version_of(out));
        CPPUNIT_ASSERT_EQUAL(std::string("v1"), version_of(fail(out)));
    }

    void a_failing_new_version_is_tripped_on_its_route_only()
    {
        share("a", 500);
        share("b", 500);
        sent_to_new("a", 100, 500);
        CPPUNIT_ASSERT_EQUAL(0, sent_to_new("a", 100));
        CPPUNIT_ASSERT_EQUAL(50, sent_to_new("b", 100));
    }

    void a_request_that_waits_while_its_version_is_withdrawn_does_not_run()
    {
        share("a", 1000);
        bench_.choice().held_back = true;
        ask("a");
        bench_.lease().held.routes[route_id("a")].next = {};
        bench_.choice().held_back = false;
        auto const out =
            bench_.handle(message_arrived{{.body = any_message::of(request_id(asked_))}});
        CPPUNIT_ASSERT_EQUAL(std::string("version_withdrawn not_run"), told(out));
    }

    void a_trip_is_reported_in_each_renewal()
    {
        share("a", 500);
        sent_to_new("a", 100, 500);
        for (int n = 0; n != 2; ++n)
            CPPUNIT_ASSERT(is_trip_reported());
    }

    void without_a_usable_target_of_the_new_version_the_old_one_gets_all()
    {
        share("a", 500);
        bench_.choice().absent = {version_id("v2")};
        CPPUNIT_ASSERT_EQUAL(0, sent_to_new("a", 100));
    }

    void a_hedge_beyond_the_share_is_not_sent()
    {
        share("a", 1000);
        ask("a");
        share("a", 1);
        auto const out =
            bench_.handle(message_arrived{{.body = any_message::of(hedge{request_id(asked_)})}});
        CPPUNIT_ASSERT(first<send_attempt>(out) == nullptr);
    }

private:
    void share(char const* route, std::int64_t n)
    {
        bench_.lease().held.routes[route_id(route)].next_share = per_mille(n);
    }

    effects ask(char const* route)
    {
        bench_.now += milliseconds(10);
        return bench_.handle(
            request_arrived{.id = request_id(++asked_),
                            .route = route_id(route),
                            .content = std::make_shared<call const>(call{.path = "/"}),
                            .deadline = bench_.now + seconds(5)});
    }

    static std::string version_of(effects const& from)
    {
        return first<send_attempt>(from)->target.value().substr(2);
    }

    effects fail(effects const& from)
    {
        return bench_.handle(attempt_failed{.id = first<send_attempt>(from)->id,
                                            .cause = attempt_failure::closed,
                                            .run = verdict::may_have_run});
    }

    /// Sends requests that the old version answers with 200, the new one with
    /// `status`; returns how many went to the new one.
    int sent_to_new(char const* route, int count, std::uint16_t status = 200)
    {
        int found = 0;
        for (int n = 0; n != count; ++n)
        {
            auto const out = ask(route);
            bool const is_new = version_of(out) == "v2";
            found += is_new ? 1 : 0;
            bench_.now += milliseconds(5);
            auto content = std::make_shared<reply const>(
                reply{.status = is_new ? status : std::uint16_t{200}});
            bench_.handle(attempt_replied{.id = first<send_attempt>(out)->id, .content = content});
        }
        return found;
    }

    bool is_trip_reported()
    {
        messages::renew_request out;
        bench_.handle(message_arrived{{.body = any_message::of(&out)}});
        for (auto const& it : out.observations)
            if (it.tripped && it.version == version_id("v2"))
                return true;
        return false;
    }

    entry_bench bench_;
    std::uint64_t asked_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(versions_test);

} // namespace

} // namespace mulberryrudder::entry
