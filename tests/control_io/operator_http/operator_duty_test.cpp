#include <tests/control/support/fake_log.hpp>

#include <plugins/control_io/operator_http/operator_settings.hpp>

#include <mulberryrudder/control/core.hpp>
#include <mulberryrudder/kernel/asio_duty.hpp>
#include <mulberryrudder/peer/orders.hpp>

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <thread>

namespace mulberryrudder::operator_http
{

namespace
{

using boost::asio::ip::tcp;

/// Decides on a thread of its own, over a fake log that commits at once.
class test_decision_duty final : public kernel::asio_duty
{
public:
    explicit test_decision_duty(kernel::duty_parts const& given)
        : asio_duty(duties::decision, given), from_operators_(given.links.link<control::input>(
                                                  duties::operator_io, name(), duty_ring_capacity)),
          to_operators_(
              given.links.link<control::effect>(name(), duties::operator_io, duty_ring_capacity)),
          core_({.config = given.config,
                 .counters = given.counters,
                 .events = sink_,
                 .self = {.self = {.id = instance_id(1)},
                          .boot = boot_id(1),
                          .initial_voters = {instance_id(1)}},
                 .seed = 1})
    {
    }

protected:
    void take_messages() override
    {
        control::input it;
        while (from_operators_.try_pop(it))
        {
            core_.handle(instant(), it, effects_);
            core_.services().require<control::testing::fake_log>().commit_all();
            core_.tick(instant(), effects_);
        }
        for (auto& effect : effects_)
            to_operators_.try_push(std::move(effect));
        effects_.clear();
    }

private:
    kernel::ring<control::input>& from_operators_;
    kernel::ring<control::effect>& to_operators_;
    kernel::null_event_sink sink_;
    control::core core_;
    control::effects effects_;
};

kernel::duty_registrar<test_decision_duty> const entered{"decision", duty_order::decision};

std::uint16_t free_port()
{
    boost::asio::io_context loop;
    tcp::acceptor const it(loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    return it.local_endpoint().port();
}

/// Runs the operator duty and the decisions as a process would.
class running_front_end
{
public:
    explicit running_front_end(operator_settings with)
    {
        with.listen = {"127.0.0.1", free_port()};
        port_ = with.listen.port;
        config_.set(operator_section, with);
        duties_ = kernel::duty_registry::instance().make_all(parts_);
        for (auto const& it : duties_)
            it->connect();
        for (auto const& it : duties_)
            threads_.emplace_back([job = it.get()] { job->run(); });
    }

    ~running_front_end()
    {
        for (auto n = duties_.size(); n-- != 0;)
        {
            duties_[n]->stop();
            threads_[n].join();
        }
    }

    /// Sends bytes and returns all that comes back until the connection is closed.
    std::string send(std::string const& bytes)
    {
        boost::asio::io_context loop;
        tcp::socket socket(loop);
        socket.connect({boost::asio::ip::address_v4::loopback(), port_});
        boost::system::error_code ec;
        boost::asio::write(socket, boost::asio::buffer(bytes), ec);
        std::string out;
        boost::asio::read(socket, boost::asio::dynamic_buffer(out), ec);
        return out;
    }

    std::string post(std::string const& path, std::string const& body)
    {
        return send("POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    std::string get(std::string const& path)
    {
        return send("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
    }

private:
    std::uint16_t port_ = 0;
    kernel::settings config_ = kernel::settings::defaults();
    kernel::counter_set counters_;
    kernel::wiring links_;
    kernel::duty_parts parts_{
        .config = config_, .counters = counters_, .links = links_, .end_process = [](int) {}};
    std::vector<std::unique_ptr<kernel::duty>> duties_;
    std::vector<std::thread> threads_;
};

class operator_duty_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(operator_duty_test);
    CPPUNIT_TEST(a_note_is_posted_and_the_status_shows_it);
    CPPUNIT_TEST(a_slow_sender_is_cut);
    CPPUNIT_TEST(a_body_over_the_limit_is_refused);
    CPPUNIT_TEST(a_header_over_the_limit_is_refused);
    CPPUNIT_TEST(what_is_no_http_is_refused);
    CPPUNIT_TEST(bytes_behind_a_request_do_no_harm);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_note_is_posted_and_the_status_shows_it()
    {
        running_front_end it({});
        auto const posted = it.post("/v1/notes", R"(// first
            {"number": 3, "add": {"routes": {"timing": {"version": "v1"}}}})");
        expect_status("200", posted);
        CPPUNIT_ASSERT_MESSAGE(posted, posted.find("\"accepted\"") != std::string::npos);
        auto const status = it.get("/v1/status");
        CPPUNIT_ASSERT_MESSAGE(status, status.find("\"generation\":1") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(status, status.find("\"number\":3") != std::string::npos);
    }

    void a_slow_sender_is_cut()
    {
        running_front_end it({.read_limit = milliseconds(50)});
        CPPUNIT_ASSERT_EQUAL(std::string(), it.send("POST /v1/notes HTTP/1.1\r\nHost: x\r\n"));
        CPPUNIT_ASSERT_EQUAL(std::string(),
                             it.send("POST /v1/notes HTTP/1.1\r\nContent-Length: 10\r\n\r\n{"));
    }

    void a_body_over_the_limit_is_refused()
    {
        running_front_end it({.most_body = byte_count(1024)});
        expect_status("413", it.send("POST /v1/notes HTTP/1.1\r\nContent-Length: 1025\r\n\r\n"));
        expect_status("413", it.post("/v1/notes", std::string(4'000'000, ' ')));
    }

    void a_header_over_the_limit_is_refused()
    {
        running_front_end it({.most_header = byte_count(256)});
        expect_status("431", it.send("GET /v1/status HTTP/1.1\r\nX: " + std::string(300, 'x')));
    }

    void what_is_no_http_is_refused()
    {
        running_front_end it({});
        expect_status("400", it.send("\x16\x03\x01 hello\r\n\r\n"));
    }

    void bytes_behind_a_request_do_no_harm()
    {
        running_front_end it({});
        expect_status("200", it.send("GET /v1/status HTTP/1.1\r\nHost: x\r\n\r\nGET /v1/status"));
    }

private:
    static void expect_status(std::string const& status, std::string const& reply)
    {
        CPPUNIT_ASSERT_EQUAL("HTTP/1.1 " + status, reply.substr(0, 12));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(operator_duty_test);

} // namespace

} // namespace mulberryrudder::operator_http
