#include "plan_bench.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <memory>

namespace mulberryrudder::entry
{

namespace
{

using testing::plan_bench;
using testing::sample_plan;

/// Bytes a millisecond of a link of 2 megabits a second.
constexpr double link_bytes = 250;
constexpr milliseconds step{10};
constexpr milliseconds service_time{500};

/// A link on which bytes wait for those before them.
class fake_link
{
public:
    void add(double size) { queued_ += size; }
    void advance(span elapsed)
    {
        auto const sent = link_bytes * static_cast<double>(elapsed.count()) / 1000;
        queued_ = std::max(queued_ - sent, 0.0);
        max_queued_ = std::max(max_queued_, queued_);
    }
    /// Returns the longest time that a message waited.
    milliseconds max_delay() const
    {
        return milliseconds(static_cast<std::int64_t>(max_queued_ / link_bytes));
    }

private:
    double queued_ = 0;
    double max_queued_ = 0;
};

/// Tests an entry whose link is slow: requests and replies arrive over one direction, and leave
/// over the other.
class link_load_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(link_load_test);
    CPPUNIT_TEST(the_usual_load_is_admitted);
    CPPUNIT_TEST(a_burst_does_not_fill_the_link);
    CPPUNIT_TEST(replies_continue_during_a_burst);
    CPPUNIT_TEST(less_urgent_requests_are_refused_first);
    CPPUNIT_TEST(nothing_is_refused_if_the_capacity_is_unknown);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { start(R"({"link_load": {"megabits": 2.0}})"); }

    void the_usual_load_is_admitted()
    {
        load("/read/", 30, seconds(10));
        CPPUNIT_ASSERT_EQUAL(0, refused_);
    }

    // Guards against a violation of HOME and CONFIG: replies and requests filled the link, and the
    // messages of control waited behind them for seconds.
    void a_burst_does_not_fill_the_link()
    {
        load("/read/", 30, seconds(3));
        load("/read/", 150, seconds(10));
        auto const delay = std::max(inbound_.max_delay(), outbound_.max_delay());
        CPPUNIT_ASSERT_MESSAGE(std::to_string(delay.count()) + " ms", delay < milliseconds(500));
    }

    // Guards against a collapse under load: during a burst about as much is answered as without
    // it.
    void replies_continue_during_a_burst()
    {
        load("/read/", 60, seconds(10));
        auto const usual = std::exchange(answered_, 0);
        load("/read/", 120, seconds(10));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(answered_) + " of " + std::to_string(usual),
                               answered_ * 10 >= usual * 7);
    }

    void less_urgent_requests_are_refused_first()
    {
        auto plan = sample_plan();
        plan.routes.at(0).rank = urgency(0);
        plan.routes.at(1).rank = urgency(3);
        bench_->set_plan(plan);
        constexpr int count = 500;
        int urgent = count; // Admitted requests.
        int patient = count;
        for (int n = 0; n != count; ++n, advance())
        {
            send("/read/");
            urgent -= std::exchange(refused_, 0);
            send("/write/");
            patient -= std::exchange(refused_, 0);
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(urgent) + " and " + std::to_string(patient),
                               urgent > 0 && urgent > 4 * patient);
    }

    void nothing_is_refused_if_the_capacity_is_unknown()
    {
        start("{}");
        load("/read/", 500, seconds(2));
        CPPUNIT_ASSERT_EQUAL(0, refused_);
    }

private:
    struct open_request
    {
        request_id id;
        instant due; ///< When its target replies.
    };

    void start(std::string const& settings_text)
    {
        auto settings = kernel::parse_settings(settings_text, "settings");
        CPPUNIT_ASSERT(settings);
        bench_ = std::make_unique<plan_bench>(std::move(*settings));
        for (int n = 0; n != 40; ++n)
            bench_->add_target("t" + std::to_string(n), "m-a", 100);
        inbound_ = {};
        outbound_ = {};
        open_.clear();
    }

    /// Sends requests of 600 bytes, whose replies have 4,000 bytes, evenly over a time.
    void load(std::string const& path, int per_second, span duration)
    {
        auto const end = bench_->now + duration;
        auto next = bench_->now;
        for (; bench_->now < end; advance())
            for (; next <= bench_->now; next += span(seconds(1)) / per_second)
                send(path);
    }

    void send(std::string const& path)
    {
        auto const id = bench_->send_request(path + std::to_string(++requests_ % 50));
        inbound_.add(600);
        if (bench_->outcome_of(id) == "link_full")
        {
            ++refused_;
            outbound_.add(300);
            return;
        }
        outbound_.add(600);
        open_.push_back({id, bench_->now + service_time});
    }

    void advance()
    {
        inbound_.advance(step);
        outbound_.advance(step);
        bench_->advance(step);
        for (; !open_.empty() && open_.front().due <= bench_->now; open_.pop_front())
        {
            bench_->reply(open_.front().id, 200, 4000);
            inbound_.add(4600);
            outbound_.add(4600);
            ++answered_;
        }
    }

    std::unique_ptr<plan_bench> bench_;
    fake_link inbound_;
    fake_link outbound_;
    std::deque<open_request> open_;
    int requests_ = 0;
    int refused_ = 0;
    int answered_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(link_load_test);

} // namespace

} // namespace mulberryrudder::entry
