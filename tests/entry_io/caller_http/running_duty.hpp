#ifndef MULBERRYRUDDER_TESTS_ENTRY_IO_CALLER_HTTP_RUNNING_DUTY_HPP
#define MULBERRYRUDDER_TESTS_ENTRY_IO_CALLER_HTTP_RUNNING_DUTY_HPP

#include "plugins/entry_io/caller_http/caller_settings.hpp"
#include "tests/support/own_address.hpp"

#include <mulberryrudder/entry/effects.hpp>
#include <mulberryrudder/entry/inputs.hpp>
#include <mulberryrudder/fleet/instance_settings.hpp>
#include <mulberryrudder/kernel/duty.hpp>
#include <mulberryrudder/peer/orders.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/TestAssert.h>

#include <atomic>
#include <thread>

namespace mulberryrudder::caller_http::testing
{

inline constexpr std::uint16_t test_port = 27391;

inline entry::refusal_kind const refused_here({.name = "refused_here",
                                               .counter_name = "refused.here",
                                               .status = 503,
                                               .meaning = "A refusal for the test."});

/// What a caller does once its bytes are sent.
enum class after_sending
{
    wait,
    hang_up
};

/// What the decision duty does with requests.
enum class decisions
{
    refuse,
    none
};

/// Runs the caller duty on a thread, as a process does, and plays the decision duty.
class running_duty
{
public:
    /// `stated`: the limits of the plan that comes before the first caller.
    explicit running_duty(caller_limits const& stated = {}, decisions with = decisions::refuse,
                          milliseconds read_limit = milliseconds(100))
    {
        config_.set(fleet::instance_section,
                    {.id = instance_id(1),
                     .caller = {mulberryrudder::testing::own_loopback_address(), test_port}});
        config_.set(caller_section, {.most_header = byte_count(2048),
                                     .most_body = byte_count(4096),
                                     .read_limit = read_limit});
        to_duty_.try_push(entry::limit_callers{stated});
        to_duty_.try_push(entry::accept_callers{});
        duty_ = kernel::duty_registry::instance().entries().front().make(parts_);
        duty_->connect();
        thread_ = std::thread([this] { duty_->run(); });
        if (with == decisions::refuse)
            decisions_ = std::jthread([this](std::stop_token const& it) { refuse_all(it); });
    }

    ~running_duty()
    {
        duty_->stop();
        thread_.join();
    }

    running_duty(running_duty const&) = delete;
    running_duty& operator=(running_duty const&) = delete;

    /// Sends bytes on a new connection and returns all that comes back until the
    /// other side closes it.
    std::string exchange(std::string const& bytes, after_sending hang_up = after_sending::wait)
    {
        boost::asio::io_context loop;
        boost::asio::ip::tcp::socket socket(loop);
        connect(socket);
        boost::system::error_code ec;
        boost::asio::write(socket, boost::asio::buffer(bytes), ec);
        if (hang_up == after_sending::hang_up)
            socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
        std::string out;
        boost::asio::read(socket, boost::asio::dynamic_buffer(out), ec);
        return out;
    }

    /// Opens a connection and sends bytes. The duty listens a moment after its start.
    void send(boost::asio::ip::tcp::socket& socket, std::string const& bytes)
    {
        connect(socket);
        boost::asio::write(socket, boost::asio::buffer(bytes));
    }

    void carry_out(entry::effect what) { CPPUNIT_ASSERT(to_duty_.try_push(std::move(what))); }

    /// Takes the next input for the decisions, if there is one.
    bool take_input(entry::input& out) { return from_duty_.try_pop(out); }

    bool has_ended() const { return ended_; }

    /// Returns whether the duty ended the process, after at most a second.
    bool ended()
    {
        for (auto const until = monotonic_now() + seconds(1); !ended_ && monotonic_now() < until;)
            std::this_thread::sleep_for(milliseconds(1));
        return ended_;
    }

    /// Returns the next input for the decisions; nothing if none comes within a second.
    std::optional<entry::input> next_input()
    {
        entry::input out;
        for (auto const until = monotonic_now() + seconds(1); monotonic_now() < until;
             std::this_thread::sleep_for(milliseconds(1)))
            if (from_duty_.try_pop(out))
                return out;
        return std::nullopt;
    }

private:
    /// Refuses whatever the duty passes on, as a decision duty without targets does.
    void refuse_all(std::stop_token const& stopped)
    {
        while (!stopped.stop_requested())
        {
            entry::input it;
            while (from_duty_.try_pop(it))
            {
                if (auto const* const asked = std::get_if<entry::request_arrived>(&it))
                    to_duty_.try_push(entry::answer_caller{
                        .id = asked->id, .what = entry::refused{.why = &refused_here}});
                else if (auto const* const looked_up = std::get_if<entry::lookup_arrived>(&it))
                    to_duty_.try_push(entry::answer_lookup{.id = looked_up->id});
            }
            std::this_thread::sleep_for(milliseconds(1));
        }
    }

    /// The duty listens a moment after its thread has started.
    static void connect(boost::asio::ip::tcp::socket& socket)
    {
        boost::asio::ip::tcp::endpoint const where(
            boost::asio::ip::make_address(mulberryrudder::testing::own_loopback_address()),
            test_port);
        boost::system::error_code ec;
        do
        {
            socket.close(ec);
            socket.connect(where, ec);
        } while (ec == boost::asio::error::connection_refused);
        CPPUNIT_ASSERT_EQUAL(std::string(), ec ? ec.message() : std::string());
    }

    kernel::settings config_ = kernel::settings::defaults();
    kernel::counter_set counters_;
    kernel::wiring links_;
    kernel::duty_parts parts_{.config = config_,
                              .counters = counters_,
                              .links = links_,
                              .end_process = [this](int) { ended_ = true; }};
    std::atomic<bool> ended_ = false;
    kernel::ring<entry::input>& from_duty_ =
        links_.link<entry::input>(duties::caller_io, duties::decision, duty_ring_capacity);
    kernel::ring<entry::effect>& to_duty_ =
        links_.link<entry::effect>(duties::decision, duties::caller_io, duty_ring_capacity);
    std::unique_ptr<kernel::duty> duty_;
    std::thread thread_;
    std::jthread decisions_;
};

} // namespace mulberryrudder::caller_http::testing

#endif
