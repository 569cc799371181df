#include <mulberryrudder/control/inputs.hpp>
#include <mulberryrudder/kernel/duty.hpp>
#include <mulberryrudder/messages/replica.hpp>
#include <mulberryrudder/peer/orders.hpp>

#include <boost/filesystem/operations.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <memory>
#include <poll.h>
#include <sys/resource.h>
#include <thread>

namespace mulberryrudder::disk::testing
{

namespace
{

namespace fs = boost::filesystem;

constexpr int most_milliseconds = 20'000;

kernel::settings settings_for(fs::path const& folder)
{
    auto const text = R"({"disk": {"folder": ")" + folder.string() + R"("}})";
    return boost::leaf::try_handle_all([&] { return kernel::parse_settings(text, "test"); },
                                       []() -> kernel::settings
                                       { CPPUNIT_FAIL("the settings were refused"); });
}

/// Lets each write to a file of this process fail as long as it lives.
class full_disk
{
public:
    full_disk()
    {
        std::signal(SIGXFSZ, SIG_IGN);
        CPPUNIT_ASSERT_EQUAL(0, ::getrlimit(RLIMIT_FSIZE, &before_));
        auto const none = rlimit{.rlim_cur = 0, .rlim_max = before_.rlim_max};
        CPPUNIT_ASSERT_EQUAL(0, ::setrlimit(RLIMIT_FSIZE, &none));
    }
    ~full_disk() { ::setrlimit(RLIMIT_FSIZE, &before_); }
    full_disk(full_disk const&) = delete;
    full_disk& operator=(full_disk const&) = delete;

private:
    rlimit before_{};
};

/// Runs the disk duty on its own thread, beside the test in place of the decisions.
class running_duty
{
public:
    explicit running_duty(fs::path const& folder) : config_(settings_for(folder))
    {
        for (auto const& it : kernel::duty_registry::instance().entries())
            if (it.name == "disk")
                duty_ = it.make(parts_);
        thread_ = std::thread([this] { duty_->run(); });
    }
    ~running_duty()
    {
        duty_->stop();
        thread_.join();
    }
    running_duty(running_duty const&) = delete;
    running_duty& operator=(running_duty const&) = delete;

    void ask(control::effect it) { CPPUNIT_ASSERT(to_disk_.try_push(std::move(it))); }

    control::input next()
    {
        control::input out;
        while (!from_disk_.try_pop(out))
        {
            auto& waker = links_.waker_of(duties::decision);
            waker.arm();
            pollfd polled{.fd = waker.descriptor(), .events = POLLIN, .revents = 0};
            if (!from_disk_.readable())
                CPPUNIT_ASSERT_EQUAL(1, ::poll(&polled, 1, most_milliseconds));
            waker.consume();
        }
        return out;
    }

private:
    kernel::settings config_;
    kernel::counter_set counters_;
    kernel::wiring links_;
    kernel::duty_parts parts_{
        .config = config_, .counters = counters_, .links = links_, .end_process = [](int) {}};
    kernel::ring<control::effect>& to_disk_ =
        links_.link<control::effect>(duties::decision, duties::disk, duty_ring_capacity);
    kernel::ring<control::input>& from_disk_ =
        links_.link<control::input>(duties::disk, duties::decision, duty_ring_capacity);
    std::unique_ptr<kernel::duty> duty_;
    std::thread thread_;
};

class disk_duty_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(disk_duty_test);
    CPPUNIT_TEST(the_recovery_comes_first);
    CPPUNIT_TEST(written_state_is_recovered_by_the_next_run);
    CPPUNIT_TEST(all_writes_are_told_synced);
    CPPUNIT_TEST(a_folder_in_use_fails_the_disk_after_the_recovery);
    CPPUNIT_TEST(damaged_state_fails_the_disk);
    CPPUNIT_TEST(a_full_disk_is_written_again_once_it_has_room);
    CPPUNIT_TEST(a_folder_that_could_not_be_read_is_read_later);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        folder_ = fs::temp_directory_path() / fs::unique_path("disk-duty-%%%%%%%%");
    }
    void tearDown() override { fs::remove_all(folder_); }

    void the_recovery_comes_first()
    {
        running_duty duty(folder_);
        CPPUNIT_ASSERT(as<control::disk_recovered>(duty.next()).blank);
    }

    void written_state_is_recovered_by_the_next_run()
    {
        write_state();
        running_duty duty(folder_);
        auto const found = as<control::disk_recovered>(duty.next());
        CPPUNIT_ASSERT(!found.blank);
        CPPUNIT_ASSERT(term_id(5) == found.state.term);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, found.entries.size());
    }

    void all_writes_are_told_synced()
    {
        constexpr std::uint64_t writes = 200;
        running_duty duty(folder_);
        duty.next();
        for (std::uint64_t n = 1; n <= writes; ++n)
            duty.ask(control::persist{.ticket = control::disk_ticket(n), .entries = {entry(n)}});
        control::disk_ticket newest;
        while (newest < control::disk_ticket(writes))
            newest = as<control::disk_synced>(duty.next()).ticket;
        CPPUNIT_ASSERT(control::disk_ticket(writes) == newest);
    }

    void a_folder_in_use_fails_the_disk_after_the_recovery()
    {
        running_duty first(folder_);
        first.next();
        running_duty second(folder_);
        CPPUNIT_ASSERT(as<control::disk_recovered>(second.next()).blank);
        auto const failed = as<control::disk_failed>(second.next());
        CPPUNIT_ASSERT(failed.cause.find("no other process") != std::string::npos);
    }

    void damaged_state_fails_the_disk()
    {
        write_state();
        fs::resize_file(folder_ / "state", fs::file_size(folder_ / "state") - 1);
        running_duty duty(folder_);
        duty.next();
        auto const failed = as<control::disk_failed>(duty.next());
        CPPUNIT_ASSERT(failed.cause.find("state") != std::string::npos);
    }

    // Guards against CONFIG: a disk that was full once was never written again.
    void a_full_disk_is_written_again_once_it_has_room()
    {
        write_state();
        {
            running_duty duty(folder_);
            duty.next();
            {
                full_disk const full;
                duty.ask(
                    control::persist{.ticket = control::disk_ticket(1), .entries = {entry(2)}});
                as<control::disk_failed>(duty.next());
                duty.ask(control::reopen_disk{});
                std::this_thread::sleep_for(seconds(1));
            }
            as<control::disk_reopened>(duty.next());
            duty.ask(control::persist{.ticket = control::disk_ticket(2),
                                      .cut_from = log_index(2),
                                      .entries = {entry(2), entry(3)}});
            CPPUNIT_ASSERT(control::disk_ticket(2) == as<control::disk_synced>(duty.next()).ticket);
        }
        running_duty duty(folder_);
        auto const found = as<control::disk_recovered>(duty.next());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, found.entries.size());
    }

    // Guards against a control instance that takes no part until it is restarted, since its folder
    // was in use, or a disk did not answer, when it started.
    void a_folder_that_could_not_be_read_is_read_later()
    {
        write_state();
        auto first = std::make_unique<running_duty>(folder_);
        first->next();
        running_duty second(folder_);
        CPPUNIT_ASSERT(as<control::disk_recovered>(second.next()).failed);
        as<control::disk_failed>(second.next());
        second.ask(control::reopen_disk{});
        first.reset();
        auto const found = as<control::disk_recovered>(second.next());
        CPPUNIT_ASSERT(!found.failed && !found.blank);
        CPPUNIT_ASSERT(term_id(5) == found.state.term);
    }

private:
    template <class T>
    static T as(control::input const& it)
    {
        CPPUNIT_ASSERT(std::holds_alternative<T>(it));
        return std::get<T>(it);
    }

    static control::log_entry entry(std::uint64_t index)
    {
        return {.term = term_id(1),
                .index = log_index(index),
                .command = any_message::of(messages::term_opened{})};
    }

    void write_state()
    {
        running_duty duty(folder_);
        duty.next();
        duty.ask(control::persist{.ticket = control::disk_ticket(1),
                                  .state = control::hard_state{.term = term_id(5)},
                                  .entries = {entry(1)}});
        CPPUNIT_ASSERT(control::disk_ticket(1) == as<control::disk_synced>(duty.next()).ticket);
    }

    fs::path folder_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(disk_duty_test);

} // namespace

} // namespace mulberryrudder::disk::testing
