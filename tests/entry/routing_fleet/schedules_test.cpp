#include "tests/entry/routing_support/fleet.hpp"

#include <mulberryrudder/core/invariant.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <iostream>

namespace mulberryrudder::entry
{

namespace
{

/// What one schedule showed.
struct findings
{
    std::uint64_t asked = 0;
    std::uint64_t answered = 0;
    std::uint64_t unanswered = 0; ///< Neither answered nor refused, on an instance that lives.
    std::uint64_t empty_lookups = 0;
    std::uint64_t spilled = 0;
    std::uint64_t retried = 0;
    std::int64_t worst_excess = INT64_MIN; ///< Slots of lease holders over a target's slots.
};

/// Eleven entry cores in six failure domains with kills, cuts, freezes, delays and
/// lost messages, drawn from the seed.
class schedule
{
public:
    explicit schedule(std::uint64_t seed)
        : random_(seed), fleet_({.seed = seed,
                                 .config = config_with({{"a", 20}, {"b", 100}}),
                                 .lost_per_mille = static_cast<int>(seed % 4) * 20,
                                 .most_delay = milliseconds(seed % 3 * 150)})
    {
        for (std::uint32_t n = 0; n != entries; ++n)
            fleet_.add_entry(instance_at(n + 1, regions[n % 6 / 2], domains[n % 6]));
        for (std::size_t n = 0; n != 12; ++n)
            fleet_.add_target(target_at("t" + std::to_string(n), domains[n % 6],
                                        5 + static_cast<std::int64_t>(n % 6)),
                              [this](send_attempt const&)
                              { return milliseconds(5 + random_() % 60); });
        fleet_.headroom = [this](instance_description const& to) { return grants_for(to); };
    }

    findings run()
    {
        auto const start = fleet_.now();
        for (auto t = seconds(1); t < seconds(10); t += seconds(1))
            fleet_.at(start + t, [this] { misfortune(); });
        for (auto t = milliseconds(0); t < seconds(10); t += milliseconds(20))
            fleet_.at(start + t, [this] { ask(); });
        fleet_.run_until(start + seconds(19), [this] { watch(); });
        out_.unanswered = open_.size();
        return out_;
    }

private:
    static constexpr std::uint32_t entries = 11;
    static constexpr std::array<char const*, 3> regions{"marmara", "ic-anadolu", "ege"};
    static constexpr std::array<char const*, 6> domains{"m1", "m2", "i1", "i2", "e1", "e2"};

    std::vector<messages::headroom_grant> grants_for(instance_description const& to)
    {
        std::vector<messages::headroom_grant> out;
        for (auto const* const it : domains)
            if (domain_id(it) != to.domain)
                out.push_back({.to = domain_id(it), .running = slots(1)});
        return out;
    }

    instance_id any_entry()
    {
        return instance_id(1 + static_cast<std::uint32_t>(random_() % entries));
    }

    void misfortune()
    {
        using blow = void (schedule::*)();
        static constexpr std::array<blow, 8> blows{
            &schedule::kill,          &schedule::cut_off,     &schedule::isolate,
            &schedule::freeze,        &schedule::kill_target, &schedule::let_target_leave,
            &schedule::revive_target, &schedule::stop_one};
        (this->*blows[random_() % blows.size()])();
    }

    void kill()
    {
        auto const who = any_entry();
        fleet_.crash(who);
        for (auto it = open_.begin(); it != open_.end();)
            it = it->second == who ? open_.erase(it) : std::next(it);
        fleet_.at(fleet_.now() + milliseconds(random_() % 6000),
                  [this, who] { fleet_.restart(who); });
    }

    void cut_off()
    {
        auto const who = any_entry();
        fleet_.cut_control(who, true);
        fleet_.at(fleet_.now() + milliseconds(random_() % 8000),
                  [this, who] { fleet_.cut_control(who, false); });
    }

    void isolate()
    {
        auto const who = any_entry();
        fleet_.cut_peers(who, true);
        fleet_.at(fleet_.now() + milliseconds(random_() % 8000),
                  [this, who] { fleet_.cut_peers(who, false); });
    }

    void freeze() { fleet_.freeze(any_entry(), milliseconds(random_() % 7000)); }

    fleet::target& any_target()
    {
        auto it = fleet_.targets().begin();
        std::advance(it, random_() % fleet_.targets().size());
        return it->second;
    }

    void kill_target() { any_target().up = false; }

    void let_target_leave() { any_target().said.state = target_state::leaving; }

    void revive_target()
    {
        auto& it = any_target();
        it.up = true;
        it.said.state = target_state::serving;
    }

    void stop_one()
    {
        if (auto* const core = fleet_.core_of(any_entry()))
            core->tell(stop_requested{});
    }

    void ask()
    {
        auto const who = any_entry();
        if (!fleet_.is_up(who))
            return;
        look_up(*fleet_.core_of(who));
        auto const n = ++out_.asked;
        open_[n] = who;
        auto const method = n % 3 == 0 ? call_method::post : call_method::get;
        auto const* const customer = n % 2 == 0 ? "a" : "b";
        fleet_.ask(who, milliseconds(100 + random_() % 1500), customer, method,
                   [this, n](outcome const& how)
                   {
                       open_.erase(n);
                       out_.answered += std::holds_alternative<answered>(how) ? 1 : 0;
                   });
    }

    void look_up(rig& core)
    {
        core.tell(lookup_arrived{.id = request_id(1), .route = route_id("r")});
        for (auto const& it : core.take<answer_lookup>())
            out_.empty_lookups += it.instances.empty() ? 1 : 0;
    }

    void watch()
    {
        for (auto const& [id, it] : fleet_.targets())
            out_.worst_excess =
                std::max(out_.worst_excess, fleet_.granted_slots(id) - it.said.capacity.count());
        out_.spilled = 0;
        out_.retried = 0;
        for (std::uint32_t n = 1; n != entries + 1; ++n)
            if (auto const* const core = fleet_.core_of(instance_id(n)))
            {
                out_.spilled += core->counter("spill.sent");
                out_.retried += core->counter("retries.connect_refused") +
                                core->counter("retries.closed") + core->counter("retries.shed");
            }
    }

    std::mt19937_64 random_;
    fleet fleet_;
    findings out_;
    std::map<std::uint64_t, instance_id> open_; ///< Requests that await their outcome.
};

class schedules_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(schedules_test);
    CPPUNIT_TEST(slots_budgets_and_grants_hold_in_each_schedule);
    CPPUNIT_TEST_SUITE_END();

public:
    void slots_budgets_and_grants_hold_in_each_schedule() { run_seeds(FIRST_SEED); }

private:
    /// Slots, budgets and grants are also asserted inside the program, which throws.
    static void run_seeds(std::uint64_t first)
    {
        constexpr std::uint64_t schedules = 200;
        findings sum;
        for (auto seed = first; seed != first + schedules; ++seed)
            add(run_with(seed, "seed " + std::to_string(seed)), seed, sum);
        std::cout << " " << schedules << " schedules: asked " << sum.asked << ", answered "
                  << sum.answered << ", spilled " << sum.spilled << ", retried " << sum.retried;
        CPPUNIT_ASSERT(sum.answered > sum.asked / 2);
        CPPUNIT_ASSERT(sum.spilled > 0 && sum.retried > 0);
    }

    static void add(findings const& it, std::uint64_t seed, findings& sum)
    {
        auto const text = "seed " + std::to_string(seed);
        CPPUNIT_ASSERT_MESSAGE(text + ": slots over capacity by " + std::to_string(it.worst_excess),
                               it.worst_excess <= 0);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::uint64_t{0}, it.unanswered);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(text + ": empty look-ups", std::uint64_t{0}, it.empty_lookups);
        sum.asked += it.asked;
        sum.answered += it.answered;
        sum.spilled += it.spilled;
        sum.retried += it.retried;
    }

    static findings run_with(std::uint64_t seed, std::string const& text)
    {
        try
        {
            return schedule(seed).run();
        }
        catch (invariant_violated const& e)
        {
            CPPUNIT_FAIL(text + ": " + e.what());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(schedules_test);

} // namespace

} // namespace mulberryrudder::entry
