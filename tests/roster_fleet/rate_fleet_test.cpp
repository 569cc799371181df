#include "roster_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <numeric>
#include <string>

namespace mulberryrudder::testing
{

namespace
{

constexpr std::uint64_t seeds = 5;
/// Enough for 800 requests of the smallest customer.
constexpr std::uint64_t seeds_of_refusals = 15;
/// In requests a second.
constexpr std::int64_t rates[] = {9, 30, 66, 241, 394, 1200};
/// What customers usually send, in thousandths of their rate.
constexpr per_mille usual_load{630};
constexpr per_mille excessive_load{4700};
/// Time between the begin of an excess and a fault.
constexpr milliseconds excess_before_faults[] = {milliseconds(0), milliseconds(200),
                                                 milliseconds(1500)};
/// Time after which a leader that hears no majority stops acting.
constexpr milliseconds lease_time{1000};

/// Returns the first numbers.
std::vector<std::size_t> first(std::size_t count)
{
    std::vector<std::size_t> out(count);
    std::iota(out.begin(), out.end(), std::size_t{0});
    return out;
}

/// Which entries get the customer's requests.
struct distribution
{
    std::string name;
    std::vector<std::size_t> before; ///< Before the excess.
    std::vector<std::size_t> during; ///< During the excess.
};

std::vector<distribution> distributions(std::size_t entries)
{
    return {{"all, all", first(entries), first(entries)},
            {"few, all", first(entries / 4), first(entries)},
            {"all, few", first(entries), first(entries / 4)}};
}

class rate_fleet_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(rate_fleet_test);
    CPPUNIT_TEST(a_sudden_excess_stays_within_the_tolerated_rate);
    CPPUNIT_TEST(an_excess_while_control_is_cut_in_two_halves_stays_within_the_tolerated_rate);
    CPPUNIT_TEST(an_excess_while_a_minority_is_cut_off_stays_within_the_tolerated_rate);
    CPPUNIT_TEST(an_excess_while_an_instance_misses_the_leader_stays_within_the_tolerated_rate);
    CPPUNIT_TEST(an_excess_while_a_failure_domain_is_cut_off_stays_within_the_tolerated_rate);
    CPPUNIT_TEST(an_excess_around_a_change_of_leader_stays_within_the_tolerated_rate);
    CPPUNIT_TEST(an_excess_while_entries_restart_stays_within_the_tolerated_rate);
    CPPUNIT_TEST(an_excess_while_no_control_instance_is_reached_stays_within_the_tolerated_rate);
    CPPUNIT_TEST(a_customer_below_its_rate_is_seldom_refused);
    CPPUNIT_TEST(a_customer_below_its_rate_is_seldom_refused_while_control_has_no_leader);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against QUOTA: when demand rose everywhere at once, control computed each entry's part
    // against the old demand of the others, and entries added a surplus to a part while the
    // customer seemed to be within its rate.
    void a_sudden_excess_stays_within_the_tolerated_rate()
    {
        check_excess([](roster_fleet& fleet) { fleet.run(milliseconds(6500)); });
    }

    // Guards against QUOTA: each half of control knew only the old demand at the entries of the
    // other half, so the parts added up to more than the rate.
    void an_excess_while_control_is_cut_in_two_halves_stays_within_the_tolerated_rate()
    {
        check_excess(
            [](roster_fleet& fleet)
            {
                fleet.partition({0, 1, 2});
                fleet.run(lease_time);
                fleet.remove_leader();
                fleet.run(milliseconds(4350));
                fleet.partition({});
                fleet.run(seconds(1));
                fleet.lead(1);
                fleet.run(seconds(2));
            });
    }

    // Guards against QUOTA: entries of the minority went on by parts of their own beside the
    // leader's.
    void an_excess_while_a_minority_is_cut_off_stays_within_the_tolerated_rate()
    {
        check_excess(
            [](roster_fleet& fleet)
            {
                fleet.partition({4, 5});
                fleet.run(seconds(5));
                fleet.partition({});
                fleet.run(seconds(2));
            });
    }

    // Guards against QUOTA: an instance that did not hear the leader, but most of the others,
    // admitted by a part of its own beside the leader, which admitted from the whole rate.
    void an_excess_while_an_instance_misses_the_leader_stays_within_the_tolerated_rate()
    {
        check_excess(
            [](roster_fleet& fleet)
            {
                fleet.cut({0}, {3});
                fleet.run(milliseconds(6500));
            });
    }

    // Guards against QUOTA: the entries of a failure domain that is cut off go on by their parts
    // beside the leader, which admits from the whole rate.
    void an_excess_while_a_failure_domain_is_cut_off_stays_within_the_tolerated_rate()
    {
        check_excess(
            [](roster_fleet& fleet)
            {
                fleet.partition({3});
                fleet.confine({3, 9}, 3);
                fleet.run(milliseconds(6500));
            });
    }

    // Guards against QUOTA: the former leader's admissions are not known to the next one.
    void an_excess_around_a_change_of_leader_stays_within_the_tolerated_rate()
    {
        check_excess(
            [](roster_fleet& fleet)
            {
                fleet.remove_leader();
                fleet.run(milliseconds(1500));
                fleet.lead(1);
                fleet.run(seconds(5));
            });
    }

    // Guards against QUOTA: entries that come back after a loss of power get parts before those of
    // the others shrink.
    void an_excess_while_entries_restart_stays_within_the_tolerated_rate()
    {
        check_excess(
            [](roster_fleet& fleet)
            {
                fleet.disconnect({0, 1, 6, 7});
                fleet.run(milliseconds(1500));
                for (std::size_t const n : {0U, 1U, 6U, 7U})
                    fleet.restart_entry(n);
                fleet.disconnect({});
                fleet.run(seconds(5));
            });
    }

    // Guards against QUOTA: entries alone start from full bursts beside what was just admitted.
    void an_excess_while_no_control_instance_is_reached_stays_within_the_tolerated_rate()
    {
        check_excess(
            [](roster_fleet& fleet)
            {
                fleet.isolate({0, 1, 2, 3, 4, 5});
                fleet.run(seconds(4));
                fleet.isolate({});
                fleet.run(seconds(3));
            });
    }

    // Guards against refusals below the rate: what bounds the parts must let them follow callers
    // who come to a few of the entries.
    void a_customer_below_its_rate_is_seldom_refused()
    {
        check_refusals([](roster_fleet& fleet) { fleet.run(seconds(10)); });
    }

    // Guards against refusals below the rate while control instances stand in for the leader.
    void a_customer_below_its_rate_is_seldom_refused_while_control_has_no_leader()
    {
        check_refusals(
            [](roster_fleet& fleet)
            {
                fleet.remove_leader();
                fleet.run(seconds(6));
                fleet.lead(1);
                fleet.run(seconds(4));
            });
    }

private:
    static constexpr std::size_t controls = 6;
    static constexpr std::size_t entries = 11;

    static std::unique_ptr<roster_fleet> make_fleet(std::int64_t rate, std::uint64_t seed)
    {
        auto out = std::make_unique<roster_fleet>(roster_fleet::options{
            .controls = controls, .entries = entries, .seed = seed, .rate = rate});
        out->apply_first_plan();
        out->remove_leader();
        out->run(milliseconds(20));
        out->lead(0);
        out->run(seconds(4));
        return out;
    }

    /// Lets an excess begin and a fault follow, and checks what was admitted in any five seconds.
    static void check_excess(std::function<void(roster_fleet&)> const& disturb)
    {
        for (auto const rate : rates)
            for (auto const& callers : distributions(entries))
                for (auto const before : excess_before_faults)
                    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
                    {
                        auto const fleet = make_fleet(rate, seed);
                        fleet->set_load(usual_load, callers.before);
                        fleet->run(seconds(6));
                        fleet->set_load(excessive_load, callers.during);
                        fleet->run(before);
                        disturb(*fleet);
                        auto const most = fleet->record().most_in_window();
                        auto const tolerated = admission_record::tolerated(rate);
                        CPPUNIT_ASSERT_MESSAGE(
                            std::to_string(most) + " of " + std::to_string(tolerated) + ", rate " +
                                std::to_string(rate) + ", callers " + callers.name +
                                ", fault after " + std::to_string(before.count()) + " ms, seed " +
                                std::to_string(seed),
                            most <= tolerated);
                    }
    }

    /// Checks that at most a twentieth of a customer's requests are refused in a disturbance, with
    /// callers at all entries and at a quarter of them.
    static void check_refusals(std::function<void(roster_fleet&)> const& disturb)
    {
        for (auto const rate : rates)
            for (auto const& callers : {first(entries), first(entries / 4)})
            {
                int refused = 0;
                int all = 0;
                for (std::uint64_t seed = 1; seed <= seeds_of_refusals; ++seed)
                {
                    auto const fleet = make_fleet(rate, seed);
                    fleet->set_load(usual_load, callers);
                    fleet->run(seconds(3));
                    auto const& record = fleet->record();
                    auto const skipped = static_cast<std::ptrdiff_t>(record.refused().size());
                    disturb(*fleet);
                    refused += std::accumulate(record.refused().begin() + skipped,
                                               record.refused().end(), 0);
                    all += std::accumulate(record.admitted().begin() + skipped,
                                           record.admitted().end(), 0);
                }
                all += refused;
                CPPUNIT_ASSERT_MESSAGE(std::to_string(refused) + " of " + std::to_string(all) +
                                           ", rate " + std::to_string(rate) + ", callers at " +
                                           std::to_string(callers.size()) + " entries",
                                       refused * 20 <= all);
            }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rate_fleet_test);

} // namespace

} // namespace mulberryrudder::testing
