#include <mulberryrudder/core/token_bucket.hpp>

#include <tests/lease_fleet/lease_fleet.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::test
{

namespace
{

constexpr unsigned entries = 11;
constexpr std::uint64_t first_seed = 20261204;
constexpr unsigned runs = 40;
constexpr int rate = 200;
constexpr int burst = 200;

/// Eleven instances beside the naive version: one bucket for the whole fleet.
class rate_differential_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(rate_differential_test);
    CPPUNIT_TEST(one_bucket_would_have_admitted_each_admitted_request);
    CPPUNIT_TEST(at_half_the_rate_both_admit_all);
    CPPUNIT_TEST_SUITE_END();

public:
    void one_bucket_would_have_admitted_each_admitted_request()
    {
        for (unsigned n = 0; n != runs; ++n)
        {
            auto const fleet = run(first_seed + n, 5.0);
            token_bucket naive;
            naive.reshape({}, millitokens_per_second(std::int64_t{1000} * rate),
                          millitokens(std::int64_t{1000} * burst));
            naive.add(naive.burst());
            for (auto const when : fleet->admissions().at(customer_id("c")))
            {
                naive.advance(when);
                CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(first_seed + n),
                                       naive.take(request_cost));
            }
        }
    }

    void at_half_the_rate_both_admit_all()
    {
        auto const fleet = run(first_seed, 0.5);
        for (auto const& [id, ending] : fleet->endings())
            CPPUNIT_ASSERT_EQUAL(std::string("answered"), fleet->outcome_of(id));
    }

private:
    /// Runs ten seconds of requests at `load` times the rate, half of them at one instance.
    static std::unique_ptr<lease_fleet> run(std::uint64_t seed, double load)
    {
        std::mt19937_64 random(seed);
        auto fleet = std::make_unique<lease_fleet>(fleet_options{.entries = entries, .seed = seed});
        fleet->commit(lease_fleet::plain_config(1, {{"c", {rate, burst}}}));
        fleet->elect(0);
        fleet->run_for(seconds(8));
        std::exponential_distribution<double> gap(rate * load);
        auto const end = fleet->now() + seconds(10);
        while (fleet->now() < end)
        {
            fleet->request(random() % 2 == 0 ? 0 : static_cast<unsigned>(random() % entries), "c");
            fleet->run_for(span(static_cast<std::int64_t>(gap(random) * 1e6)));
        }
        fleet->run_for(seconds(2));
        return fleet;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rate_differential_test);

} // namespace

} // namespace mulberryrudder::test
