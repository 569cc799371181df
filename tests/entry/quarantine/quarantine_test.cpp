#include "plugins/entry/quarantine/quarantine_settings.hpp"
#include "tests/entry/support/entry_bench.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <utility>

namespace mulberryrudder::entry
{

namespace
{

constexpr span message_delay = milliseconds(20);
constexpr span run_time = milliseconds(30);
constexpr span tick_period = milliseconds(10);

/// Some entry instances whose targets die of one request.
class poison_fleet
{
public:
    explicit poison_fleet(std::size_t count, double lost = 0, std::uint64_t seed = 1)
        : random_(seed), lost_(lost)
    {
        auto config = kernel::settings::defaults();
        config.set(quarantine_section, {.longest_run = seconds(1)});
        for (std::size_t n = 0; n != count; ++n)
        {
            benches_.push_back(std::make_unique<entry_bench>(config, place(n)));
            auto& lease = benches_.back()->lease();
            lease.held.generation = generation_id(1);
            lease.held.routes[route_id("a")] = {.open = true, .version = version_id("v1")};
            for (std::size_t other = 0; other != count; ++other)
                lease.known.push_back({.where = place(other), .live = true});
            benches_.back()->choice().retries = true;
        }
        run_for(seconds(2));
    }

    /// Sends a request; those with the body "poison" kill the target.
    request_id send(std::size_t to, std::string const& body)
    {
        request_id const id((to + 1) << 48U | ++sent_);
        bodies_[id] = body;
        auto content = std::make_shared<call const>(call{.path = "/", .body = body});
        give(to, request_arrived{.id = id,
                                 .route = route_id("a"),
                                 .content = std::move(content),
                                 .deadline = now_ + seconds(5)});
        return id;
    }

    void run_for(span time)
    {
        for (auto const end = now_ + time; now_ < end; now_ += tick_period)
        {
            for (; !agenda_.empty() && agenda_.begin()->first <= now_;
                 agenda_.erase(agenda_.begin()))
                agenda_.begin()->second();
            for (std::size_t n = 0; n != benches_.size(); ++n)
            {
                benches_[n]->now = now_;
                perform(n, benches_[n]->tick());
            }
        }
    }

    /// The next attempt's target dies although the request is harmless.
    void kill_next_target() { kill_next_ = true; }

    std::string answer_to(request_id id) const
    {
        auto const it = told_.find(id);
        return it == told_.end() ? std::string() : it->second;
    }

    entry_bench& bench(std::size_t n) { return *benches_[n]; }
    int deaths() const { return deaths_; }

    /// Returns how many attempts of the poison were sent before the other entries
    /// could know of the first death.
    int sent_unknowing() const
    {
        auto const known = first_death_ + message_delay + tick_period;
        return static_cast<int>(std::count_if(poison_sent_.begin(), poison_sent_.end(),
                                              [known](instant it) { return it <= known; }));
    }

private:
    static instance_description place(std::size_t n)
    {
        return {.id = instance_id(static_cast<std::uint32_t>(n + 1))};
    }

    void give(std::size_t to, input const& what)
    {
        benches_[to]->now = now_;
        perform(to, benches_[to]->handle(what));
    }

    void perform(std::size_t at, effects const& todo)
    {
        for (auto const& it : todo)
        {
            if (auto const* const message = std::get_if<send_message>(&it))
                deliver(message->message);
            if (auto const* const sent = std::get_if<send_attempt>(&it))
                run(at, *sent);
            if (auto const* const answer = std::get_if<answer_caller>(&it))
                told_[answer->id] = told({*answer});
        }
    }

    void deliver(envelope const& it)
    {
        if (std::bernoulli_distribution(lost_)(random_))
            return;
        agenda_.emplace(now_ + message_delay,
                        [this, it] { give(it.to.value() - 1, message_arrived{it}); });
    }

    void run(std::size_t at, send_attempt const& it)
    {
        bool const poison = it.content->body == "poison";
        bool const dies = poison || std::exchange(kill_next_, false);
        if (poison)
            poison_sent_.push_back(now_);
        agenda_.emplace(now_ + run_time, [=, this] { end(at, it.id, dies, poison); });
    }

    void end(std::size_t at, attempt_id id, bool dies, bool poison)
    {
        if (poison && deaths_++ == 0)
            first_death_ = now_;
        if (dies)
            return give(at, attempt_failed{id, attempt_failure::closed, verdict::may_have_run});
        give(at, attempt_replied{.id = id,
                                 .content = std::make_shared<reply const>(reply{.status = 200})});
    }

    random_source random_;
    double lost_;
    instant now_{seconds(1000)};
    std::vector<std::unique_ptr<entry_bench>> benches_;
    std::multimap<instant, std::function<void()>> agenda_;
    std::map<request_id, std::string> bodies_;
    std::map<request_id, std::string> told_;
    std::uint64_t sent_ = 0;
    bool kill_next_ = false;
    int deaths_ = 0;
    instant first_death_ = never - seconds(1);
    std::vector<instant> poison_sent_;
};

class quarantine_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(quarantine_test);
    CPPUNIT_TEST(a_request_that_kills_two_targets_is_refused);
    CPPUNIT_TEST(a_resend_elsewhere_is_refused_too);
    CPPUNIT_TEST(a_harmless_request_whose_target_died_runs_again_and_is_cleared);
    CPPUNIT_TEST(resends_to_other_entries_kill_no_third_target_though_messages_are_lost);
    CPPUNIT_TEST(several_entries_at_once_kill_one_more_target_at_most);
    CPPUNIT_TEST(a_request_on_the_fleets_list_is_refused_until_it_is_lifted);
    CPPUNIT_TEST(a_request_that_becomes_a_suspect_while_it_waits_is_not_sent);
    CPPUNIT_TEST(the_quarantine_ends_after_the_stated_time);
    CPPUNIT_TEST(each_death_is_reported_once);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_request_that_kills_two_targets_is_refused()
    {
        poison_fleet fleet(3);
        auto const id = fleet.send(0, "poison");
        fleet.run_for(seconds(1));
        CPPUNIT_ASSERT_EQUAL(2, fleet.deaths());
        CPPUNIT_ASSERT_EQUAL(std::string("quarantined may_have_run"), fleet.answer_to(id));
    }

    void a_resend_elsewhere_is_refused_too()
    {
        poison_fleet fleet(3);
        fleet.send(0, "poison");
        fleet.run_for(seconds(1));
        auto const again = fleet.send(2, "poison");
        fleet.run_for(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::string("quarantined not_run"), fleet.answer_to(again));
        CPPUNIT_ASSERT_EQUAL(2, fleet.deaths());
    }

    void a_harmless_request_whose_target_died_runs_again_and_is_cleared()
    {
        poison_fleet fleet(3);
        fleet.kill_next_target();
        auto const id = fleet.send(0, "good");
        fleet.run_for(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::string("answered"), fleet.answer_to(id));
        fleet.kill_next_target();
        auto const again = fleet.send(1, "good");
        fleet.run_for(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::string("answered"), fleet.answer_to(again));
    }

    void resends_to_other_entries_kill_no_third_target_though_messages_are_lost()
    {
        for (std::uint64_t seed = 1; seed <= 300; ++seed)
        {
            poison_fleet fleet(4, 0.05, seed);
            random_source random(seed);
            for (int n = 0; n != 6; ++n)
            {
                fleet.send(random() % 4, "poison");
                fleet.send(random() % 4, "good");
                fleet.run_for(milliseconds(500 + random() % 500));
            }
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), fleet.deaths() <= 2);
        }
    }

    /// Copies that were sent before the first death was known cannot be called
    /// back; after it no more than one other target dies.
    void several_entries_at_once_kill_one_more_target_at_most()
    {
        for (std::uint64_t seed = 1; seed <= 300; ++seed)
        {
            poison_fleet fleet(4, 0, seed);
            random_source random(seed);
            for (int n = 0; n != 12; ++n)
            {
                fleet.send(random() % 4, "poison");
                fleet.send(random() % 4, "good");
                fleet.run_for(milliseconds(random() % 150));
            }
            fleet.run_for(seconds(2));
            auto const most = fleet.sent_unknowing() + 1;
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ": " +
                                       std::to_string(fleet.deaths()) + " deaths, at most " +
                                       std::to_string(most),
                                   fleet.deaths() <= most);
        }
    }

    void a_request_on_the_fleets_list_is_refused_until_it_is_lifted()
    {
        poison_fleet fleet(1);
        auto& held = fleet.bench(0).lease().held;
        held.quarantined.insert(sha256("a\n0\n/\ngood"));
        fleet.run_for(milliseconds(50));
        auto const id = fleet.send(0, "good");
        CPPUNIT_ASSERT_EQUAL(std::string("quarantined not_run"), fleet.answer_to(id));
        held.quarantined.clear();
        fleet.run_for(milliseconds(50));
        auto const again = fleet.send(0, "good");
        fleet.run_for(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::string("answered"), fleet.answer_to(again));
    }

    void a_request_that_becomes_a_suspect_while_it_waits_is_not_sent()
    {
        poison_fleet fleet(2);
        fleet.bench(1).choice().held_back = true;
        auto const waiting = fleet.send(1, "good");
        fleet.kill_next_target();
        fleet.send(0, "good");
        fleet.run_for(run_time + message_delay + tick_period);
        fleet.bench(1).choice().held_back = false;
        auto const out = fleet.bench(1).handle(message_arrived{{.body = any_message::of(waiting)}});
        CPPUNIT_ASSERT_EQUAL(std::string("suspect_waits not_run"), told(out));
    }

    void the_quarantine_ends_after_the_stated_time()
    {
        poison_fleet fleet(2);
        fleet.send(0, "poison");
        fleet.run_for(seconds(1));
        fleet.run_for(seconds(600));
        fleet.send(0, "poison");
        fleet.run_for(seconds(1));
        CPPUNIT_ASSERT_EQUAL(4, fleet.deaths());
    }

    void each_death_is_reported_once()
    {
        poison_fleet fleet(1);
        fleet.send(0, "poison");
        fleet.run_for(seconds(1));
        messages::renew_request out;
        fleet.bench(0).handle(message_arrived{{.body = any_message::of(&out)}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, out.suspects.size());
        out.suspects.clear();
        fleet.bench(0).handle(message_arrived{{.body = any_message::of(&out)}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, out.suspects.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(quarantine_test);

} // namespace

} // namespace mulberryrudder::entry
