#include "running_duty.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <deque>
#include <iostream>
#include <map>
#include <random>
#include <set>
#include <sstream>
#include <vector>

namespace mulberryrudder::caller_http
{

namespace
{

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using testing::decisions;
using testing::running_duty;

constexpr int callers = 24;
constexpr std::string_view path_field = "X-Path";

/// Draws from the seed of a run.
class dice
{
public:
    explicit dice(std::uint64_t seed) : random_(seed) {}

    std::size_t below(std::size_t count) { return random_() % count; }
    bool one_in(std::size_t count) { return below(count) == 0; }

private:
    std::mt19937_64 random_;
};

/// A request of a caller's script.
struct scripted
{
    std::string path;
    http::verb method;
    bool closes;
};

/// One caller: sends its script ahead in pieces of any size, reads its answers in its own time, and
/// may leave at any moment. It uses its connection until that is closed.
class soak_caller
{
public:
    soak_caller(boost::asio::io_context& loop, running_duty& duty, std::string const& name,
                dice& random)
        : socket_(loop), random_(random)
    {
        std::string bytes;
        for (auto n = 1 + random_.below(60); n != 0; --n)
            bytes += add_request(name + "/" + std::to_string(script_.size()));
        if (random_.one_in(8))
            bytes += "no request\r\n\r\n";
        unsent_ = std::move(bytes);
        duty.send(socket_, "");
        socket_.non_blocking(true);
    }

    void step()
    {
        if (!socket_.is_open())
            return;
        if (random_.one_in(2000))
            return leave();
        if (random_.one_in(3))
            send_some();
        if (random_.one_in(4))
            receive_some();
    }

    bool is_done() const { return !socket_.is_open(); }

    std::vector<scripted> const& script() const { return script_; }
    /// The paths of the answers that came whole.
    std::vector<std::string> const& answered() const { return answered_; }
    /// Whether the last answer said that the connection is closed behind it.
    bool was_closed_by_answer() const { return closed_by_answer_; }

private:
    std::string add_request(std::string const& path)
    {
        static constexpr http::verb verbs[] = {http::verb::get, http::verb::get, http::verb::get,
                                               http::verb::get, http::verb::get, http::verb::head,
                                               http::verb::post};
        scripted const it{.path = "/" + path,
                          .method = verbs[random_.below(std::size(verbs))],
                          .closes = random_.one_in(60)};
        script_.push_back(it);
        return std::string(http::to_string(it.method)) + " " + it.path +
               " HTTP/1.1\r\nHost: x\r\n" +
               (it.method == http::verb::post ? "Content-Length: 3\r\n" : "") +
               (it.closes ? "Connection: close\r\n\r\n" : "\r\n") +
               (it.method == http::verb::post ? "abc" : "");
    }

    void leave()
    {
        boost::system::error_code ec;
        if (random_.one_in(2))
            socket_.shutdown(tcp::socket::shutdown_both, ec);
        socket_.close(ec);
    }

    void send_some()
    {
        auto const size = std::min(unsent_.size(), 1 + random_.below(700));
        boost::system::error_code ec;
        auto const n = socket_.write_some(boost::asio::buffer(unsent_.data(), size), ec);
        unsent_.erase(0, n);
    }

    void receive_some()
    {
        std::array<char, 8192> buf;
        boost::system::error_code ec;
        auto const size = 1 + random_.below(buf.size());
        auto const n = socket_.read_some(boost::asio::buffer(buf.data(), size), ec);
        received_.append(buf.data(), n);
        while (parse_answer())
        {
        }
        if (ec && ec != boost::asio::error::would_block)
            socket_.close(ec);
    }

    /// Parses one whole answer of what was received; returns whether there was one.
    bool parse_answer()
    {
        http::response_parser<http::string_body> parser;
        parser.eager(true);
        parser.body_limit(boost::none);
        parser.skip(answered_.size() < script_.size() &&
                    script_[answered_.size()].method == http::verb::head);
        boost::system::error_code ec;
        std::size_t used = 0;
        while (!ec && !parser.is_done() && used != received_.size())
            used += parser.put(
                boost::asio::buffer(received_.data() + used, received_.size() - used), ec);
        if (!parser.is_done())
            return false;
        received_.erase(0, used);
        CPPUNIT_ASSERT_MESSAGE("an answer behind the last one", !closed_by_answer_);
        closed_by_answer_ = !parser.get().keep_alive();
        if (parser.get().result_int() == 200)
            answered_.emplace_back(parser.get()[path_field]);
        else
            CPPUNIT_ASSERT_EQUAL_MESSAGE("for bytes that are no request", 400U,
                                         parser.get().result_int());
        return true;
    }

    tcp::socket socket_;
    dice& random_;
    std::vector<scripted> script_;
    std::string unsent_;
    std::string received_;
    std::vector<std::string> answered_;
    bool closed_by_answer_ = false;
};

/// Plays the decisions: answers requests in any order, after any time.
class soak_decisions
{
public:
    soak_decisions(running_duty& duty, dice& random) : duty_(duty), random_(random) {}

    void step()
    {
        entry::input it;
        while (duty_.take_input(it))
            if (auto const* const asked = std::get_if<entry::request_arrived>(&it))
                take(*asked);
            else
                forget(std::get<entry::caller_gone>(it).id);
        if (!open_.empty() && random_.one_in(3))
            answer(
                std::next(open_.begin(), static_cast<std::ptrdiff_t>(random_.below(open_.size()))));
    }

    bool is_idle() const { return open_.empty(); }
    std::set<std::string> const& taken() const { return taken_; }
    std::size_t most_at_once() const { return most_at_once_; }

private:
    struct open_request
    {
        std::string path;
        connection_id connection;
        bool safe;
    };

    void take(entry::request_arrived const& it)
    {
        auto const method = it.content->method;
        open_request const added{.path = "/" + it.route.value() + it.content->path,
                                 .connection = it.connection.value(),
                                 .safe = method == call_method::get || method == call_method::head};
        std::size_t beside = 0;
        for (auto const& [id, other] : open_)
        {
            if (other.connection != added.connection)
                continue;
            ++beside;
            CPPUNIT_ASSERT_MESSAGE("only safe requests run side by side", other.safe && added.safe);
        }
        most_at_once_ = std::max(most_at_once_, beside + 1);
        CPPUNIT_ASSERT_LESSEQUAL(std::size_t{16}, beside + 1);
        CPPUNIT_ASSERT_MESSAGE("once", taken_.insert(added.path).second);
        CPPUNIT_ASSERT_MESSAGE("a new id", open_.emplace(it.id, added).second);
    }

    /// A departure may cross the answer.
    void forget(request_id id)
    {
        bool const is_known = open_.erase(id) == 1 || answered_.contains(id);
        CPPUNIT_ASSERT_MESSAGE("a departure of a request that was taken", is_known);
    }

    void answer(std::map<request_id, open_request>::iterator it)
    {
        std::size_t const size = random_.one_in(10) ? random_.below(200'000) : random_.below(300);
        reply const content{.status = 200,
                            .fields = {{std::string(path_field), it->second.path}},
                            .body = std::string(size, 'x')};
        answered_.insert(it->first);
        duty_.carry_out(entry::answer_caller{
            .id = it->first,
            .what = entry::answered{.content = std::make_shared<reply const>(content)}});
        open_.erase(it);
    }

    running_duty& duty_;
    dice& random_;
    std::map<request_id, open_request> open_;
    std::set<request_id> answered_;
    std::set<std::string> taken_;
    std::size_t most_at_once_ = 0;
};

class pipelining_soak_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(pipelining_soak_test);
    CPPUNIT_TEST(callers_get_their_answers_in_order_until_the_process_is_gone);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against MIXED, TWICE and LOST on connections whose callers send ahead: answers of
    // others or out of order, requests that were taken behind the last answer, answers that a
    // planned stop cuts off.
    void callers_get_their_answers_in_order_until_the_process_is_gone()
    {
        auto const [first, count] = seeds();
        std::size_t most_at_once = 0;
        std::size_t answers = 0;
        for (auto seed = first; seed != first + count; ++seed)
        {
            std::cout << " seed " << seed << std::flush;
            run(seed, most_at_once, answers);
        }
        std::cout << ": " << answers << " answers, up to " << most_at_once
                  << " requests of a connection at once";
        CPPUNIT_ASSERT_MESSAGE("requests ran side by side", most_at_once > 1);
    }

private:
    struct seed_range
    {
        std::uint64_t first;
        std::uint64_t count;
    };

    /// Returns the seeds of MULBERRYRUDDER_SOAK_SEEDS, "FIRST COUNT", or those of CI.
    static seed_range seeds()
    {
        seed_range out{.first = 1, .count = 6};
        if (auto const* const text = std::getenv("MULBERRYRUDDER_SOAK_SEEDS"))
            std::istringstream(text) >> out.first >> out.count;
        return out;
    }

    static void run(std::uint64_t seed, std::size_t& most_at_once, std::size_t& answers)
    {
        dice random(seed);
        running_duty duty({}, decisions::none, seconds(10));
        boost::asio::io_context loop;
        soak_decisions decide(duty, random);
        std::deque<soak_caller> all;
        for (int n = 0; n != callers; ++n)
            all.emplace_back(loop, duty, "c" + std::to_string(n), random);
        auto const steps_to_stop = 200 + random.below(3000);
        auto const until = monotonic_now() + seconds(60);
        bool is_stopping = false;
        bool is_stopped = false;
        for (std::size_t n = 0; !duty.has_ended(); ++n)
        {
            CPPUNIT_ASSERT_MESSAGE("the stop ends", monotonic_now() < until);
            for (auto& it : all)
                it.step();
            decide.step();
            if (n >= steps_to_stop && !is_stopping)
            {
                is_stopping = true;
                duty.carry_out(entry::close_idle_callers{});
            }
            // As the drain stage does, once the core has finished all requests.
            if (is_stopping && !is_stopped && n > steps_to_stop + 500 && decide.is_idle())
            {
                is_stopped = true;
                duty.carry_out(entry::stop_completed{});
            }
            if (n % 16 == 0)
                std::this_thread::sleep_for(microseconds(200));
        }
        most_at_once = std::max(most_at_once, decide.most_at_once());
        for (auto const& it : all)
        {
            answers += it.answered().size();
            check(it, decide);
        }
    }

    static void check(soak_caller const& caller, soak_decisions const& decide)
    {
        auto const& script = caller.script();
        auto const& got = caller.answered();
        CPPUNIT_ASSERT(got.size() <= script.size());
        for (std::size_t n = 0; n != got.size(); ++n)
        {
            CPPUNIT_ASSERT_EQUAL_MESSAGE("in order", script[n].path, got[n]);
            CPPUNIT_ASSERT_MESSAGE("no answer behind one that closes",
                                   n + 1 == got.size() || !script[n].closes);
        }
        if (!caller.was_closed_by_answer())
            return;
        for (auto n = got.size(); n != script.size(); ++n)
            CPPUNIT_ASSERT_MESSAGE("no request was taken behind the last answer",
                                   !decide.taken().contains(script[n].path));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(pipelining_soak_test);

} // namespace

} // namespace mulberryrudder::caller_http
