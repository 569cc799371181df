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
constexpr span tick_interval = milliseconds(10);

/// Simulates entry instances whose targets crash while they run a request with the body
/// "poison".
class poison_fleet
{
public:
    explicit poison_fleet(std::size_t count, double message_loss = 0, std::uint64_t seed = 1)
        : random_(seed), message_loss_(message_loss)
    {
        auto config = kernel::settings::defaults();
        config.set(quarantine_section, {.max_run_time = seconds(1)});
        for (std::size_t n = 0; n != count; ++n)
        {
            benches_.push_back(std::make_unique<entry_bench>(config, describe(n)));
            auto& lease = benches_.back()->lease();
            lease.held.generation = generation_id(1);
            lease.held.routes[route_id("a")] = {.open = true, .version = version_id("v1")};
            for (std::size_t other = 0; other != count; ++other)
                lease.known.push_back({.where = describe(other), .live = true});
            benches_.back()->choice().retries = true;
        }
        run_for(seconds(2));
    }

    /// Sends a request to an instance; returns its id.
    request_id send(std::size_t index, std::string const& body)
    {
        request_id const id((index + 1) << 48U | ++sent_);
        bodies_[id] = body;
        auto content = std::make_shared<call const>(call{.path = "/", .body = body});
        process(index, request_arrived{.id = id,
                                       .route = route_id("a"),
                                       .content = std::move(content),
                                       .deadline = now_ + seconds(5)});
        return id;
    }

    void run_for(span elapsed)
    {
        for (auto const end = now_ + elapsed; now_ < end; now_ += tick_interval)
        {
            for (; !events_.empty() && events_.begin()->first <= now_;
                 events_.erase(events_.begin()))
                events_.begin()->second();
            for (std::size_t n = 0; n != benches_.size(); ++n)
            {
                benches_[n]->now = now_;
                apply_effects(n, benches_[n]->tick());
            }
        }
    }

    /// Makes the target of the next attempt crash, whatever the request.
    void crash_next_target() { crash_next_ = true; }

    std::string answer_to(request_id id) const
    {
        auto const it = answers_.find(id);
        return it == answers_.end() ? std::string() : it->second;
    }

    entry_bench& bench(std::size_t n) { return *benches_[n]; }
    int crashes() const { return crashes_; }

    /// Returns how many poison attempts were sent before the other instances could have
    /// received the notice of the first crash.
    int sent_before_notice() const
    {
        auto const notice_time = first_crash_ + message_delay + tick_interval;
        return static_cast<int>(std::count_if(poison_send_times_.begin(), poison_send_times_.end(),
                                              [notice_time](instant it)
                                              { return it <= notice_time; }));
    }

private:
    static instance_description describe(std::size_t n)
    {
        return {.id = instance_id(static_cast<std::uint32_t>(n + 1))};
    }

    void process(std::size_t index, input const& event)
    {
        benches_[index]->now = now_;
        apply_effects(index, benches_[index]->handle(event));
    }

    void apply_effects(std::size_t index, effects const& produced)
    {
        for (auto const& it : produced)
        {
            if (auto const* const message = std::get_if<send_message>(&it))
                deliver(message->message);
            if (auto const* const sent = std::get_if<send_attempt>(&it))
                run(index, *sent);
            if (auto const* const answer = std::get_if<answer_caller>(&it))
                answers_[answer->id] = told({*answer});
        }
    }

    void deliver(envelope const& message)
    {
        if (std::bernoulli_distribution(message_loss_)(random_))
            return;
        events_.emplace(now_ + message_delay, [this, message]
                        { process(message.to.value() - 1, message_arrived{message}); });
    }

    void run(std::size_t index, send_attempt const& sent)
    {
        bool const poison = sent.content->body == "poison";
        bool const crashes_target = poison || std::exchange(crash_next_, false);
        if (poison)
            poison_send_times_.push_back(now_);
        events_.emplace(now_ + run_time,
                        [=, this] { end(index, sent.id, crashes_target, poison); });
    }

    void end(std::size_t index, attempt_id id, bool crashes_target, bool poison)
    {
        if (poison && crashes_++ == 0)
            first_crash_ = now_;
        if (crashes_target)
            return process(index,
                           attempt_failed{id, attempt_failure::closed, verdict::may_have_run});
        process(index,
                attempt_replied{.id = id,
                                .content = std::make_shared<reply const>(reply{.status = 200})});
    }

    random_source random_;
    double message_loss_;
    instant now_{seconds(1000)};
    std::vector<std::unique_ptr<entry_bench>> benches_;
    std::multimap<instant, std::function<void()>> events_;
    std::map<request_id, std::string> bodies_;
    std::map<request_id, std::string> answers_;
    std::uint64_t sent_ = 0;
    bool crash_next_ = false;
    int crashes_ = 0;
    instant first_crash_ = never - seconds(1);
    std::vector<instant> poison_send_times_;
};

class quarantine_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(quarantine_test);
    CPPUNIT_TEST(a_request_that_crashes_two_targets_is_refused);
    CPPUNIT_TEST(a_resend_to_another_instance_is_refused);
    CPPUNIT_TEST(a_harmless_request_whose_target_crashed_is_retried_and_cleared);
    CPPUNIT_TEST(resends_to_other_instances_crash_no_third_target_despite_message_loss);
    CPPUNIT_TEST(concurrent_sends_crash_at_most_one_more_target_after_the_first_notice);
    CPPUNIT_TEST(a_request_quarantined_by_configuration_is_refused_until_lifted);
    CPPUNIT_TEST(a_request_that_becomes_suspected_while_it_waits_is_not_sent);
    CPPUNIT_TEST(the_quarantine_ends_after_the_configured_time);
    CPPUNIT_TEST(each_crash_is_reported_once);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_request_that_crashes_two_targets_is_refused()
    {
        poison_fleet fleet(3);
        auto const id = fleet.send(0, "poison");
        fleet.run_for(seconds(1));
        CPPUNIT_ASSERT_EQUAL(2, fleet.crashes());
        CPPUNIT_ASSERT_EQUAL(std::string("quarantined may_have_run"), fleet.answer_to(id));
    }

    void a_resend_to_another_instance_is_refused()
    {
        poison_fleet fleet(3);
        fleet.send(0, "poison");
        fleet.run_for(seconds(1));
        auto const again = fleet.send(2, "poison");
        fleet.run_for(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::string("quarantined not_run"), fleet.answer_to(again));
        CPPUNIT_ASSERT_EQUAL(2, fleet.crashes());
    }

    void a_harmless_request_whose_target_crashed_is_retried_and_cleared()
    {
        poison_fleet fleet(3);
        fleet.crash_next_target();
        auto const id = fleet.send(0, "good");
        fleet.run_for(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::string("answered"), fleet.answer_to(id));
        fleet.crash_next_target();
        auto const again = fleet.send(1, "good");
        fleet.run_for(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::string("answered"), fleet.answer_to(again));
    }

    void resends_to_other_instances_crash_no_third_target_despite_message_loss()
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
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), fleet.crashes() <= 2);
        }
    }

    /// Attempts that were sent before the first crash was known cannot be cancelled;
    /// after that, at most one more target crashes.
    void concurrent_sends_crash_at_most_one_more_target_after_the_first_notice()
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
            auto const max_crashes = fleet.sent_before_notice() + 1;
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ": " +
                                       std::to_string(fleet.crashes()) + " crashes, at most " +
                                       std::to_string(max_crashes),
                                   fleet.crashes() <= max_crashes);
        }
    }

    void a_request_quarantined_by_configuration_is_refused_until_lifted()
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

    void a_request_that_becomes_suspected_while_it_waits_is_not_sent()
    {
        poison_fleet fleet(2);
        fleet.bench(1).choice().held_back = true;
        auto const waiting = fleet.send(1, "good");
        fleet.crash_next_target();
        fleet.send(0, "good");
        fleet.run_for(run_time + message_delay + tick_interval);
        fleet.bench(1).choice().held_back = false;
        auto const out = fleet.bench(1).handle(message_arrived{{.body = any_message::of(waiting)}});
        CPPUNIT_ASSERT_EQUAL(std::string("suspect_waits not_run"), told(out));
    }

    void the_quarantine_ends_after_the_configured_time()
    {
        poison_fleet fleet(2);
        fleet.send(0, "poison");
        fleet.run_for(seconds(1));
        fleet.run_for(seconds(600));
        fleet.send(0, "poison");
        fleet.run_for(seconds(1));
        CPPUNIT_ASSERT_EQUAL(4, fleet.crashes());
    }

    void each_crash_is_reported_once()
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
