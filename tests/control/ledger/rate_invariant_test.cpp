#include "admission_bound.hpp"

#include <tests/lease_fleet/lease_fleet.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <sstream>

namespace mulberryrudder::test
{

namespace
{

constexpr unsigned schedules = 1000;
constexpr unsigned entries = 11;
constexpr unsigned controls = 3;
constexpr std::uint64_t first_seed = 20261204;
/// A lease with its margin, which a change of a rate may take to be in force, and as
/// long again for a change of the leader in that time; plus an election.
constexpr span settle = seconds(10);

/// One random schedule of faults, changes and requests.
class schedule
{
public:
    explicit schedule(std::uint64_t seed)
        : changes_rates_(seed % 2 == 0), random_(seed), fleet_({.entries = entries,
                                                                .controls = controls,
                                                                .seed = seed,
                                                                .tick_period = milliseconds(25),
                                                                .delay_most = milliseconds(60),
                                                                .lost_per_mille = below(60),
                                                                .late_per_mille = below(60),
                                                                .twice_per_mille = below(40),
                                                                .skewed_clocks = true})
    {
    }

    /// Returns the worst excess over the bound of any customer.
    millitokens run()
    {
        change_rates();
        fleet_.elect(0);
        for (unsigned n = 0; n != steps; ++n)
        {
            (this->*faults[below(static_cast<unsigned>(std::size(faults)))])();
            load();
        }
        millitokens worst(INT64_MIN);
        for (auto const& [customer, admitted] : fleet_.admissions())
        {
            worst = std::max(worst, worst_excess(admitted, limits_.at(customer), settle));
            admitted_ += admitted.size();
        }
        return worst;
    }

    std::size_t admitted() const { return admitted_; }

private:
    static constexpr unsigned steps = 24;

    unsigned below(unsigned most) { return static_cast<unsigned>(random_() % most); }
    unsigned any_entry() { return below(entries); }

    void nothing() {}
    void freeze_entry() { fleet_.freeze(lease_fleet::entry_id(any_entry())); }
    void freeze_control() { fleet_.freeze(lease_fleet::control_id(below(controls))); }
    void thaw_all()
    {
        for (unsigned n = 0; n != entries; ++n)
            fleet_.thaw(lease_fleet::entry_id(n));
        for (unsigned n = 0; n != controls; ++n)
            fleet_.thaw(lease_fleet::control_id(n));
    }
    void cut_entry() { fleet_.cut(lease_fleet::entry_id(any_entry())); }
    void cut_control() { fleet_.cut(lease_fleet::control_id(below(controls))); }
    void heal_all()
    {
        for (unsigned n = 0; n != entries; ++n)
            fleet_.heal(lease_fleet::entry_id(n));
        for (unsigned n = 0; n != controls; ++n)
            fleet_.heal(lease_fleet::control_id(n));
    }
    void change_leader()
    {
        fleet_.depose();
        fleet_.run_for(milliseconds(below(1500)));
        fleet_.elect(below(controls));
    }
    void restart_entry() { fleet_.restart(any_entry()); }
    void stop_entry() { fleet_.stop(any_entry()); }
    void change_rates()
    {
        if (generation_ > 0 && !changes_rates_)
            return;
        std::map<std::string, std::pair<int, int>> rates;
        for (auto const* const name : {"a", "b"})
        {
            rates[name] = {2 + static_cast<int>(below(30)), 2 + static_cast<int>(below(90))};
            limits_[customer_id(name)].push_back(
                {.from = fleet_.now(),
                 .rate = millitokens_per_second(1000 * std::int64_t{rates[name].first}),
                 .burst = millitokens(1000 * std::int64_t{rates[name].second})});
        }
        fleet_.commit(lease_fleet::plain_config(++generation_, rates));
    }

    /// Gives some entry a customer's demand, so that slices move there.
    void trickle()
    {
        auto const hot = any_entry();
        auto const end = fleet_.now() + milliseconds(500 + below(2500));
        while (fleet_.now() < end)
        {
            fleet_.request(below(4) == 0 ? any_entry() : hot, below(4) == 0 ? "a" : "b");
            fleet_.run_for(milliseconds(5 + below(100)));
        }
    }

    /// Lets the buckets fill.
    void idle() { fleet_.run_for(milliseconds(below(6000))); }

    /// Asks for all tokens that there are, everywhere.
    void burst()
    {
        for (unsigned n = 0; n != entries; ++n)
            for (unsigned k = 0; k != 25; ++k)
                fleet_.request(n, below(3) == 0 ? "a" : "b");
        fleet_.run_for(milliseconds(below(200)));
    }

    void load() { (this->*loads[below(static_cast<unsigned>(std::size(loads)))])(); }

    using action = void (schedule::*)();
    static constexpr action faults[] = {
        &schedule::nothing,       &schedule::freeze_entry,  &schedule::freeze_control,
        &schedule::thaw_all,      &schedule::thaw_all,      &schedule::cut_entry,
        &schedule::cut_control,   &schedule::heal_all,      &schedule::heal_all,
        &schedule::change_leader, &schedule::change_leader, &schedule::restart_entry,
        &schedule::stop_entry,    &schedule::change_rates,  &schedule::nothing};

    static constexpr action loads[] = {&schedule::trickle, &schedule::trickle, &schedule::idle,
                                       &schedule::burst, &schedule::burst};

    bool changes_rates_; ///< Half of the schedules keep to the strict bound.
    std::mt19937_64 random_;
    lease_fleet fleet_;
    std::uint64_t generation_ = 0;
    std::map<customer_id, std::vector<limit_change>> limits_;
    std::size_t admitted_ = 0;
};

class rate_invariant_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(rate_invariant_test);
    CPPUNIT_TEST(no_customer_exceeds_rate_and_burst_over_any_interval);
    CPPUNIT_TEST_SUITE_END();

public:
    void no_customer_exceeds_rate_and_burst_over_any_interval()
    {
        std::size_t admitted = 0;
        for (unsigned n = 0; n != schedules; ++n)
        {
            schedule it(first_seed + n);
            auto const excess = it.run();
            std::ostringstream what;
            what << "seed " << first_seed + n << ": " << excess.count() << " millitokens too many";
            CPPUNIT_ASSERT_MESSAGE(what.str(), excess <= millitokens{});
            admitted += it.admitted();
        }
        CPPUNIT_ASSERT_MESSAGE("the schedules must admit something",
                               admitted > std::uint64_t{schedules} * 100);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rate_invariant_test);

} // namespace

} // namespace mulberryrudder::test
