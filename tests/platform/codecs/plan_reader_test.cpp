#include "platform/plan_reader.hpp"

#include <mulberryrudder/core/token_bucket.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::platform
{

namespace
{

constexpr std::string_view sample = R"({"Version":"r7","Routes":[
  {"Name":"r-1","Hostname":"ficu95.example","PathPrefix":"/pufi791/","Type":"unsafe",
   "Timeout":"1.2s","TargetLatency":"800ms","Priority":1,"Service":"huvo11a","MaxAttempts":2,
   "Public":false,"Sticky":true,"AllowedRegions":["cairo"]},
  {"Name":"r-2","Hostname":"ficu95.example","PathPrefix":"/lohu930/","Type":"safe",
   "Timeout":"800ms","TargetLatency":"250ms","Priority":2,
   "TrafficSplit":[{"Service":"huvo11a","Weight":90},{"Service":"wuno96b","Weight":10}],
   "MaxAttempts":3,"Public":true,"Sticky":false,"AllowedRegions":[]}],
 "Services":[{"Name":"huvo11a","HealthPath":"/healthz","MaxConnections":390,"Protocol":"h1",
   "Tls":false,"Warmup":"3s","WarmupPerS":6.1},
  {"Name":"wuno96b","HealthPath":"/healthz","MaxConnections":390,"Warmup":"3s","WarmupPerS":6.1}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeout":"3000ms",
   "IdleTimeout":"15000ms"},
 "Tenants":[{"Name":"kaje80","ApiKeys":["one","two"],"Priority":1,"RatePerS":166,"Burst":83,
   "AllowedRegions":[]}]})";

class plan_reader_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(plan_reader_test);
    CPPUNIT_TEST(a_plan_is_read_whole);
    CPPUNIT_TEST(keys_are_held_as_digests);
    CPPUNIT_TEST(the_source_is_kept_as_it_was_sent);
    CPPUNIT_TEST(unknown_members_are_ignored);
    CPPUNIT_TEST(what_cannot_be_read_is_refused_with_its_place);
    CPPUNIT_TEST(contradictions_are_found);
    CPPUNIT_TEST(absurd_weights_are_refused);
    CPPUNIT_TEST(an_absurd_rate_counts_as_the_highest_one);
    CPPUNIT_TEST(a_base_that_is_no_number_is_refused);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_plan_is_read_whole()
    {
        auto const it = read_plan(sample, "r5");
        CPPUNIT_ASSERT(it.failed.empty());
        CPPUNIT_ASSERT(it.base == plan_number(5));
        CPPUNIT_ASSERT(it.plan->number == plan_number(7));
        auto const& first = it.plan->routes.at(0);
        CPPUNIT_ASSERT(!first.repeatable && first.sticky && !first.open);
        CPPUNIT_ASSERT(first.timeout == milliseconds(1200));
        CPPUNIT_ASSERT(first.aim == milliseconds(800));
        CPPUNIT_ASSERT(first.homes.contains(region_id("cairo")));
        CPPUNIT_ASSERT(first.most_targets == target_count(2));
        auto const& second = it.plan->routes.at(1);
        CPPUNIT_ASSERT(second.repeatable && second.open);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, second.services.size());
        CPPUNIT_ASSERT(second.services.at(1).part == weight(10));
        CPPUNIT_ASSERT(it.plan->services.at(0).warm_up_rate == millitokens_per_second(6100));
        CPPUNIT_ASSERT(it.plan->limits.idle_limit == milliseconds(15000));
        CPPUNIT_ASSERT(it.plan->customers.at(0).rate == millitokens_per_second(166000));
        CPPUNIT_ASSERT(it.plan->customers.at(0).burst == millitokens(83000));
        CPPUNIT_ASSERT(it.plan->keyed);
        CPPUNIT_ASSERT(control::check_plan(*it.plan).empty());
    }

    void keys_are_held_as_digests()
    {
        auto const it = read_plan(sample, "r5");
        CPPUNIT_ASSERT(it.plan->customers.at(0).keys ==
                       (std::set<digest>{sha256("one"), sha256("two")}));
    }

    void the_source_is_kept_as_it_was_sent()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(sample), read_plan(sample, "0").plan->source);
    }

    void unknown_members_are_ignored()
    {
        auto const it = read_plan(changed("Routes", 0, "Later", true), "r5");
        CPPUNIT_ASSERT(it.failed.empty());
    }

    void what_cannot_be_read_is_refused_with_its_place()
    {
        CPPUNIT_ASSERT(!read_plan(sample.substr(0, 300), "r5").failed.empty());
        CPPUNIT_ASSERT(!read_plan("[]", "r5").failed.empty());
        CPPUNIT_ASSERT(!read_plan("{\"Version\":\"r7\"}", "r5").failed.empty());
        auto const it = read_plan(changed("Routes", 1, "Timeout", "soon"), "r5");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.failed.size());
        CPPUNIT_ASSERT_EQUAL(std::string("/Routes/1/Timeout"), it.failed.front().place);
        CPPUNIT_ASSERT(!read_plan(changed("Routes", 0, "Type", "perhaps"), "r5").failed.empty());
    }

    void contradictions_are_found()
    {
        refused(changed("Routes", 0, "Service", "unknown"));
        refused(changed("Routes", 0, "Timeout", "0ms"));
        refused(changed("Routes", 0, "Timeout", "601s"));
        refused(changed("Routes", 0, "TargetLatency", "62s"));
        refused(changed("Routes", 0, "Hostname", ""));
        refused(changed("Routes", 1, "TrafficSplit",
                        boost::json::parse(R"([{"Service":"huvo11a","Weight":0}])")));
        auto const twice =
            boost::json::parse(R"([{"Name":"a","ApiKeys":["k"]},{"Name":"b","ApiKeys":["k"]}])");
        auto root = boost::json::parse(sample);
        root.as_object()["Tenants"] = twice;
        refused(boost::json::serialize(root));
    }

    // Guards against an overflow: weights near 2^63 were added by the check of a plan and by each
    // draw of a service.
    void absurd_weights_are_refused()
    {
        for (auto const* const weight : {"9223372036854775807", "1000000001", "-1", "1.5", "1e300"})
        {
            auto const parts = R"([{"Service":"huvo11a","Weight":)" + std::string(weight) +
                               R"(},{"Service":"wuno96b","Weight":9223372036854775807}])";
            auto const body = changed("Routes", 1, "TrafficSplit", boost::json::parse(parts));
            auto const it = read_plan(body, "r5");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(weight, std::size_t{2}, it.failed.size());
            CPPUNIT_ASSERT_EQUAL(std::string("/Routes/1/TrafficSplit/0/Weight"),
                                 it.failed.front().place);
        }
        auto const most = boost::json::parse(
            R"([{"Service":"huvo11a","Weight":1000000000},{"Service":"wuno96b","Weight":1}])");
        CPPUNIT_ASSERT(read_plan(changed("Routes", 1, "TrafficSplit", most), "r5").failed.empty());
    }

    // Guards against an overflow: the tokens of a bucket that stood still for a while are the
    // product of its rate and that time.
    void an_absurd_rate_counts_as_the_highest_one()
    {
        for (double const rate : {1e6, 1e7, 1e9})
        {
            auto const it = read_plan(changed("Tenants", 0, "RatePerS", rate), "r5");
            CPPUNIT_ASSERT(it.failed.empty());
            auto const& customer = it.plan->customers.at(0);
            token_bucket bucket(instant(seconds(1)));
            bucket.reshape(instant(seconds(1)), customer.rate, customer.burst);
            bucket.advance(instant(seconds(2000)));
            CPPUNIT_ASSERT(bucket.tokens() == customer.burst);
            CPPUNIT_ASSERT(customer.rate == millitokens_per_second(1'000'000'000));
        }
        auto const warm_up = read_plan(changed("Services", 0, "WarmupPerS", 1e9), "r5");
        CPPUNIT_ASSERT(warm_up.plan->services.at(0).warm_up_rate ==
                       millitokens_per_second(1'000'000'000));
    }

    void a_base_that_is_no_number_is_refused()
    {
        CPPUNIT_ASSERT(!read_plan(sample, "").failed.empty());
        CPPUNIT_ASSERT(!read_plan(sample, "latest").failed.empty());
        CPPUNIT_ASSERT(read_plan(sample, "r0").failed.empty());
    }

private:
    static std::string changed(std::string_view list, std::size_t n, std::string_view member,
                               boost::json::value to)
    {
        auto root = boost::json::parse(sample);
        root.at(list).at(n).as_object()[member] = std::move(to);
        return boost::json::serialize(root);
    }

    static void refused(std::string const& body)
    {
        auto const it = read_plan(body, "r5");
        CPPUNIT_ASSERT(it.failed.empty());
        CPPUNIT_ASSERT_MESSAGE(body, !control::check_plan(*it.plan).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(plan_reader_test);

} // namespace

} // namespace mulberryrudder::platform
