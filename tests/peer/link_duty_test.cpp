#include "tests/support/own_address.hpp"

#include <mulberryrudder/fleet/instance_settings.hpp>
#include <mulberryrudder/kernel/duty.hpp>
#include <mulberryrudder/peer/orders.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <sys/resource.h>
#include <thread>
#include <unistd.h>

namespace mulberryrudder::peer
{

namespace
{

using boost::asio::ip::tcp;

constexpr std::uint16_t test_port = 27392;
constexpr seconds timeout{20};

/// Lets this process open no further descriptor as long as it lives.
class no_descriptors
{
public:
    no_descriptors()
    {
        CPPUNIT_ASSERT_EQUAL(0, ::getrlimit(RLIMIT_NOFILE, &before_));
        int const lowest_free = ::dup(0);
        CPPUNIT_ASSERT(lowest_free >= 0);
        ::close(lowest_free);
        rlimit const none{.rlim_cur = static_cast<rlim_t>(lowest_free),
                          .rlim_max = before_.rlim_max};
        CPPUNIT_ASSERT_EQUAL(0, ::setrlimit(RLIMIT_NOFILE, &none));
    }
    ~no_descriptors() { ::setrlimit(RLIMIT_NOFILE, &before_); }
    no_descriptors(no_descriptors const&) = delete;
    no_descriptors& operator=(no_descriptors const&) = delete;

private:
    rlimit before_{};
};

/// Runs the peer link on a thread, as a process does.
class running_link
{
public:
    running_link()
    {
        config_.set(fleet::instance_section,
                    {.id = instance_id(1), .peer = {testing::own_loopback_address(), test_port}});
        for (auto const& it : kernel::duty_registry::instance().entries())
            if (it.name == "peer_link")
                duty_ = it.make(parts_);
        thread_ = std::thread([this] { duty_->run(); });
    }
    ~running_link()
    {
        duty_->stop();
        thread_.join();
    }
    running_link(running_link const&) = delete;
    running_link& operator=(running_link const&) = delete;

    std::uint64_t accepts_failed() const
    {
        for (auto const& [name, value] : counters_.snapshot())
            if (name == "peer.accepts_failed")
                return value;
        return 0;
    }

    std::atomic<int> ends{0};

private:
    kernel::settings config_ = kernel::settings::defaults();
    kernel::counter_set counters_;
    kernel::wiring links_;
    kernel::duty_parts parts_{.config = config_,
                              .counters = counters_,
                              .links = links_,
                              .end_process = [this](int) { ++ends; }};
    std::unique_ptr<kernel::duty> duty_;
    std::thread thread_;
};

class link_duty_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(link_duty_test);
    CPPUNIT_TEST(a_process_without_descriptors_goes_on_and_takes_connections_later);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against LOST: a process at its limit of descriptors ended when another instance
    // connected, and with it the requests at which targets were at work.
    void a_process_without_descriptors_goes_on_and_takes_connections_later()
    {
        running_link link;
        boost::asio::io_context loop;
        tcp::socket first(loop);
        connect(first);
        tcp::socket second(loop);
        second.open(tcp::v4());
        {
            no_descriptors const none;
            connect(second);
            wait_until([&] { return link.accepts_failed() != 0; });
            CPPUNIT_ASSERT(link.accepts_failed() != 0);
        }
        // The connection is taken now: something is told behind its end.
        boost::system::error_code ec;
        second.shutdown(tcp::socket::shutdown_send, ec);
        char byte = 0;
        second.read_some(boost::asio::buffer(&byte, 1), ec);
        CPPUNIT_ASSERT_MESSAGE(ec.message(), !ec || ec == boost::asio::error::eof ||
                                                 ec == boost::asio::error::connection_reset);
        CPPUNIT_ASSERT_EQUAL(0, link.ends.load());
    }

private:
    template <class Condition>
    static void wait_until(Condition const& holds)
    {
        for (auto const end = monotonic_now() + timeout; !holds() && monotonic_now() < end;)
            std::this_thread::sleep_for(milliseconds(5));
    }

    /// The duty listens a moment after its thread has started.
    static void connect(tcp::socket& socket)
    {
        tcp::endpoint const where(boost::asio::ip::make_address(testing::own_loopback_address()),
                                  test_port);
        boost::system::error_code ec;
        wait_until(
            [&]
            {
                socket.connect(where, ec);
                return ec != boost::asio::error::connection_refused;
            });
        CPPUNIT_ASSERT_MESSAGE(ec.message(), !ec);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(link_duty_test);

} // namespace

} // namespace mulberryrudder::peer
