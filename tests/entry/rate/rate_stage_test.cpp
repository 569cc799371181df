#include <plugins/entry/rate/rate_settings.hpp>
#include <tests/lease_fleet/lease_fleet.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace mulberryrudder::test
{

namespace
{

class rate_stage_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(rate_stage_test);
    CPPUNIT_TEST(a_request_waits_for_a_loan_before_it_is_refused);
    CPPUNIT_TEST(requests_above_rate_and_burst_are_refused);
    CPPUNIT_TEST(open_routes_do_not_pay);
    CPPUNIT_TEST(waiting_requests_end_when_the_lease_does);
    CPPUNIT_TEST(a_stopping_instance_hands_its_slices_back_at_once);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_request_waits_for_a_loan_before_it_is_refused()
    {
        auto fleet = made(1000, 50);
        // The instance never saw the customer, so it holds no slice.
        auto const id = fleet->request(0, "c");
        fleet->run_for(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::string("answered"), fleet->outcome_of(id));
    }

    void requests_above_rate_and_burst_are_refused()
    {
        auto fleet = made(1, 50);
        std::map<std::string, int> counts;
        std::vector<request_id> ids;
        for (int n = 0; n != 80; ++n)
            ids.push_back(fleet->request(0, "c"));
        fleet->run_for(seconds(1));
        for (auto const id : ids)
            ++counts[fleet->outcome_of(id)];
        CPPUNIT_ASSERT_EQUAL(30, counts["rate_exceeded"]);
    }

    void open_routes_do_not_pay()
    {
        auto fleet = made(1, 1);
        std::vector<request_id> ids;
        for (int n = 0; n != 20; ++n)
            ids.push_back(fleet->request(0, "c", "o"));
        for (auto const id : ids)
            CPPUNIT_ASSERT_EQUAL(std::string("answered"), fleet->outcome_of(id));
    }

    void waiting_requests_end_when_the_lease_does()
    {
        auto settings = kernel::settings::defaults();
        settings.set(entry::rate_section, {.patience = milliseconds(9000)});
        auto fleet = made(1, 1, settings);
        for (int n = 0; n != 5; ++n)
            fleet->request(0, "c", "k", seconds(30));
        fleet->depose();
        auto const id = fleet->request(0, "c", "k", seconds(30));
        fleet->run_for(seconds(5));
        CPPUNIT_ASSERT_EQUAL(std::string("slice_ended"), fleet->outcome_of(id));
    }

    void a_stopping_instance_hands_its_slices_back_at_once()
    {
        auto fleet = made(100, 100);
        for (int n = 0; n != 100; ++n)
        {
            fleet->request(0, "c");
            fleet->run_for(milliseconds(30));
        }
        auto const held = [&]
        {
            auto const& slices = fleet->probe(0).last_lease.slices;
            return slices.empty() ? std::int64_t{0} : slices.front().burst.count();
        };
        CPPUNIT_ASSERT(held() > 0);
        fleet->stop(0);
        CPPUNIT_ASSERT(fleet->run_until([&] { return held() == 0; }, milliseconds(100)));
    }

private:
    static std::unique_ptr<lease_fleet>
    made(int rate, int burst, kernel::settings const& settings = kernel::settings::defaults())
    {
        auto out = std::make_unique<lease_fleet>(
            fleet_options{.entries = 2, .delay_most = milliseconds(10), .settings = settings});
        out->commit(lease_fleet::plain_config(1, {{"c", {rate, burst}}}));
        out->elect(0);
        // The ledger's own bucket starts empty once a whole lease has passed.
        out->run_for(seconds(5) + seconds(burst / rate));
        return out;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rate_stage_test);

} // namespace

} // namespace mulberryrudder::test
