#include "tests/entry/support/entry_bench.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::entry
{

namespace
{

class keys_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(keys_test);
    CPPUNIT_TEST(a_known_key_binds_the_request_to_its_customer);
    CPPUNIT_TEST(an_unknown_route_is_refused);
    CPPUNIT_TEST(a_keyed_route_without_a_key_is_refused);
    CPPUNIT_TEST(an_unknown_key_is_refused);
    CPPUNIT_TEST(a_customer_that_the_route_does_not_list_is_refused);
    CPPUNIT_TEST(an_open_route_needs_no_key);
    CPPUNIT_TEST(a_wrong_key_on_an_open_route_is_refused);
    CPPUNIT_TEST(a_keyed_request_needs_a_live_lease);
    CPPUNIT_TEST(an_open_route_goes_on_without_a_lease);
    CPPUNIT_TEST(a_key_withdrawn_while_the_request_waits_refuses_it_as_not_run);
    CPPUNIT_TEST(a_lease_that_lapses_while_the_request_waits_refuses_it_as_not_run);
    CPPUNIT_TEST(a_key_that_moved_to_another_customer_refuses_a_waiting_request);
    CPPUNIT_TEST(only_a_method_or_route_that_may_repeat_is_repeatable);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        auto& held = bench_.lease().held;
        held.generation = generation_id(1);
        held.customers[customer_id("bib")].keys = {sha256("bib-key")};
        held.customers[customer_id("quote")].keys = {sha256("quote-key")};
        held.routes[route_id("splits")] = {.open = true, .version = version_id("v1")};
        held.routes[route_id("pay")] = {.customers = {customer_id("bib")},
                                        .version = version_id("v1")};
        held.routes[route_id("sheet")] = {.idempotent = true, .version = version_id("v1")};
    }

    void a_known_key_binds_the_request_to_its_customer()
    {
        auto const out = ask("pay", "bib-key");
        CPPUNIT_ASSERT(first<send_attempt>(out) != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::string("bib"), first<send_attempt>(out)->customer.value());
    }

    void an_unknown_route_is_refused()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("unknown_route not_run"), told(ask("none", "bib-key")));
    }

    void a_keyed_route_without_a_key_is_refused()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("key_missing not_run"), told(ask("pay", "")));
    }

    void an_unknown_key_is_refused()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("key_unknown not_run"), told(ask("pay", "bib-kez")));
    }

    void a_customer_that_the_route_does_not_list_is_refused()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("not_permitted not_run"), told(ask("pay", "quote-key")));
    }

    void an_open_route_needs_no_key()
    {
        CPPUNIT_ASSERT(first<send_attempt>(ask("splits", "")) != nullptr);
    }

    void a_wrong_key_on_an_open_route_is_refused()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("key_unknown not_run"), told(ask("splits", "wrong")));
    }

    void a_keyed_request_needs_a_live_lease()
    {
        bench_.lease().deadline = bench_.now;
        CPPUNIT_ASSERT_EQUAL(std::string("no_lease not_run"), told(ask("pay", "bib-key")));
    }

    void an_open_route_goes_on_without_a_lease()
    {
        bench_.lease().deadline = bench_.now;
        auto const out = ask("splits", "bib-key");
        CPPUNIT_ASSERT(first<send_attempt>(out) != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::string(), first<send_attempt>(out)->customer.value());
    }

    void a_key_withdrawn_while_the_request_waits_refuses_it_as_not_run()
    {
        auto const out = ask_and_meanwhile([](fleet_config& held)
                                           { held.customers[customer_id("bib")].keys.clear(); });
        CPPUNIT_ASSERT_EQUAL(std::string("key_unknown not_run"), out);
    }

    void a_lease_that_lapses_while_the_request_waits_refuses_it_as_not_run()
    {
        auto const out =
            ask_and_meanwhile([this](fleet_config&) { bench_.lease().deadline = bench_.now; });
        CPPUNIT_ASSERT_EQUAL(std::string("no_lease not_run"), out);
    }

    void a_key_that_moved_to_another_customer_refuses_a_waiting_request()
    {
        auto const out = ask_and_meanwhile(
            [](fleet_config& held)
            {
                held.customers[customer_id("bib")].keys.clear();
                held.customers[customer_id("quote")].keys.insert(sha256("bib-key"));
            });
        CPPUNIT_ASSERT_EQUAL(std::string("key_unknown not_run"), out);
    }

    void only_a_method_or_route_that_may_repeat_is_repeatable()
    {
        bench_.choice().retries = true;
        CPPUNIT_ASSERT(is_retried("sheet", call_method::post));
        CPPUNIT_ASSERT(is_retried("pay", call_method::get));
        CPPUNIT_ASSERT(!is_retried("pay", call_method::post));
    }

private:
    effects ask(std::string const& route, std::string const& key,
                call_method method = call_method::get)
    {
        auto content = std::make_shared<call const>(call{.method = method, .path = "/"});
        return bench_.handle(
            request_arrived{.id = request_id(++asked_),
                            .key = key.empty() ? std::nullopt : std::optional(sha256(key)),
                            .route = route_id(route),
                            .content = std::move(content),
                            .deadline = bench_.now + seconds(5)});
    }

    /// Holds a request of customer bib back, changes the configuration, lets it go on.
    template <class Change>
    std::string ask_and_meanwhile(Change change)
    {
        bench_.choice().held_back = true;
        ask("pay", "bib-key");
        auto& held = bench_.lease().held;
        held.generation = generation_id(held.generation.value() + 1);
        change(held);
        bench_.choice().held_back = false;
        return told(bench_.handle(message_arrived{{.body = any_message::of(request_id(asked_))}}));
    }

    bool is_retried(std::string const& route, call_method method)
    {
        auto const out = ask(route, "bib-key", method);
        auto const end = bench_.handle(attempt_failed{.id = first<send_attempt>(out)->id,
                                                      .cause = attempt_failure::closed,
                                                      .run = verdict::may_have_run});
        return first<send_attempt>(end) != nullptr;
    }

    entry_bench bench_;
    std::uint64_t asked_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(keys_test);

} // namespace

} // namespace mulberryrudder::entry
