#include <mulberryrudder/control/roster.hpp>
#include <mulberryrudder/control/steering.hpp>
#include <mulberryrudder/control_io/operator_codec.hpp>

#include <boost/json/serialize.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::operator_http
{

namespace
{

using namespace control;

class operator_requests_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(operator_requests_test);
    CPPUNIT_TEST(each_call_becomes_the_products_request);
    CPPUNIT_TEST(a_look_up_tells_where_its_caller_is);
    CPPUNIT_TEST(results_become_the_platforms_statuses);
    CPPUNIT_TEST(a_plan_is_told_byte_for_byte);
    CPPUNIT_TEST(an_order_at_a_follower_is_sent_to_the_leader);
    CPPUNIT_TEST(a_rollout_is_told_by_its_phase);
    CPPUNIT_TEST(an_unreadable_announcement_is_told_with_its_target);
    CPPUNIT_TEST(a_look_up_without_entries_is_a_failure);
    CPPUNIT_TEST_SUITE_END();

public:
    void each_call_becomes_the_products_request()
    {
        CPPUNIT_ASSERT(asked<evacuation_order>("POST", "/api/evacuations/cairo-a/start").evacuated);
        auto const back = asked<evacuation_order>("POST", "/api/evacuations/cairo-a/finish");
        CPPUNIT_ASSERT(!back.evacuated);
        CPPUNIT_ASSERT(back.domain == domain_id("cairo-a"));
        auto const rollout =
            asked<rollout_order>("POST", "/api/rollouts/start",
                                 R"({"Service":"huvo11a","TargetVersion":"v2","Duration":"12s"})");
        CPPUNIT_ASSERT(rollout.version == version_id("v2"));
        CPPUNIT_ASSERT(rollout.duration == seconds(12));
        CPPUNIT_ASSERT(asked<rollout_question>("GET", "/api/rollouts/huvo11a/get").service ==
                       service_id("huvo11a"));
        CPPUNIT_ASSERT(asked<target_leaves>("POST", "/api/instances/i-1/deregister").id ==
                       target_id("i-1"));
        asked<plan_question>("GET", "/api/config/get");
        CPPUNIT_ASSERT(asked<plan_submission>("POST", "/api/config/replace", "{").plan == nullptr);
    }

    void a_look_up_tells_where_its_caller_is()
    {
        auto const it = asked<entry_question>(
            "GET", "/api/resolve?Name=ficu95.example&Region=cairo&Zone=cairo-a");
        CPPUNIT_ASSERT_EQUAL(std::string("ficu95.example"), it.host);
        CPPUNIT_ASSERT(it.region == region_id("cairo"));
        CPPUNIT_ASSERT(it.domain == domain_id("cairo-a"));
    }

    void results_become_the_platforms_statuses()
    {
        CPPUNIT_ASSERT_EQUAL(200U, encoded(steering_answer{order_result::accepted, {}, {}}).status);
        CPPUNIT_ASSERT_EQUAL(412U, encoded(steering_answer{order_result::conflict, {}, {}}).status);
        CPPUNIT_ASSERT_EQUAL(400U, encoded(steering_answer{order_result::refused, {}, {}}).status);
        CPPUNIT_ASSERT_EQUAL(503U, encoded(announcement_taken{.held = false}).status);
        CPPUNIT_ASSERT_EQUAL(200U, encoded(announcement_taken{}).status);
        CPPUNIT_ASSERT_EQUAL(503U, encoded(plan_told{}).status);
    }

    void a_plan_is_told_byte_for_byte()
    {
        auto const plan =
            std::make_shared<traffic_plan const>(traffic_plan{.source = "{ as sent }"});
        CPPUNIT_ASSERT(encoded(plan_told{plan}).document == "{ as sent }");
    }

    void an_order_at_a_follower_is_sent_to_the_leader()
    {
        auto const it = encoded(ask_elsewhere{endpoint{"10.0.0.4", 8080}});
        CPPUNIT_ASSERT_EQUAL(307U, it.status);
        CPPUNIT_ASSERT_EQUAL(std::string("http://10.0.0.4:8080"), it.location);
        CPPUNIT_ASSERT_EQUAL(503U, encoded(ask_elsewhere{}).status);
    }

    void a_rollout_is_told_by_its_phase()
    {
        auto const it =
            encoded(rollout_told{{.next = version_id("v2"), .phase = rollout_phase::rolled_back}});
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"State":"rolled_back","TargetVersion":"v2"})"),
                             std::string(boost::json::serialize(it.body)));
    }

    // Guards against a refusal of which the log knows nothing.
    void an_unreadable_announcement_is_told_with_its_target()
    {
        auto const it = asked<announcement_unreadable>(
            "POST", "/api/instances/i-1/heartbeat",
            R"({"Address":"10.128.0.9:8080","Info":{"Service":"a","Version":"v1","Zone":"z",)"
            R"("Capacity":9223372036854775807},"Status":{"State":"ready","Sequence":4}})");
        CPPUNIT_ASSERT(it.id == target_id("i-1"));
        CPPUNIT_ASSERT_EQUAL(std::string("/Info/Capacity"), it.failed.front().place);
        CPPUNIT_ASSERT_EQUAL(400U, encoded(announcement_refused{it.failed}).status);
    }

    void a_look_up_without_entries_is_a_failure()
    {
        CPPUNIT_ASSERT_EQUAL(503U, encoded(entries_told{}).status);
        auto const it = encoded(
            entries_told{.entries = {{"10.1.0.7", 8668}}, .time_to_live = milliseconds(2000)});
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"Addresses":["10.1.0.7:8668"],"Ttl":"2000ms"})"),
                             std::string(boost::json::serialize(it.body)));
    }

private:
    template <class T>
    T asked(std::string_view method, std::string_view target, std::string_view body = {}) const
    {
        request_text const with{.name = {},
                                .body = body,
                                .now = {},
                                .counters = counters_,
                                .query = {},
                                .field = [](std::string_view) { return std::string_view("r5"); }};
        auto const read = decode_request(method, target, with);
        auto const* const it = std::get_if<any_message>(&read);
        CPPUNIT_ASSERT_MESSAGE(std::string(target), it != nullptr && it->get<T>() != nullptr);
        return *it->get<T>();
    }

    template <class T>
    static json_answer encoded(T what)
    {
        return encode_answer(any_message::of(std::move(what)));
    }

    kernel::counter_set counters_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(operator_requests_test);

} // namespace

} // namespace mulberryrudder::operator_http
