#include "plugins/peer/link/mailbox.hpp"
#include "plugins/peer/link/outgoing.hpp"
#include "tests/support/own_address.hpp"

#include <mulberryrudder/messages/roster.hpp>

#include <capnp/rpc-twoparty.h>
#include <cppunit/extensions/HelperMacros.h>
#include <kj/async-io.h>

#include <algorithm>
#include <memory>

namespace mulberryrudder::peer
{

namespace
{

/// A process that takes messages at an address, and notes their numbers.
class fake_peer final : private kj::TaskSet::ErrorHandler
{
public:
    fake_peer(kj::AsyncIoContext& io, endpoint const& at, std::vector<std::uint64_t>& taken)
        : server_(kj::heap<mailbox>(
              [&taken](schema::Envelope::Reader it)
              {
                  if (auto const message = read_envelope(it))
                      taken.push_back(message->body.get<messages::roster_poll>()->known.value());
              })),
          listener_(io.provider->getNetwork()
                        .parseAddress(at.address, at.port)
                        .wait(io.waitScope)
                        ->listen()),
          tasks_(*this)
    {
        tasks_.add(server_.listen(*listener_));
    }

private:
    void taskFailed(kj::Exception&&) override {}

    capnp::TwoPartyServer server_;
    kj::Own<kj::ConnectionReceiver> listener_;
    kj::TaskSet tasks_;
};

/// Passes the bytes of connections on to a peer, both ways, each after a delay.
class relay final : private kj::TaskSet::ErrorHandler
{
public:
    relay(kj::AsyncIoContext& io, endpoint const& at, endpoint const& peer)
        : io_(io), peer_(peer), listener_(io.provider->getNetwork()
                                              .parseAddress(at.address, at.port)
                                              .wait(io.waitScope)
                                              ->listen()),
          tasks_(*this)
    {
        tasks_.add(accept());
    }

    /// Stops passing bytes of the open connections on, and keeps these open.
    void silence()
    {
        for (auto& it : paths_)
            it->copying = kj::Promise<void>(kj::READY_NOW);
    }

    std::size_t connections() const { return paths_.size(); }

    milliseconds delay{0}; ///< For bytes of connections that are opened from now on.

private:
    struct path
    {
        kj::Own<kj::AsyncIoStream> near;
        kj::Own<kj::AsyncIoStream> far;
        kj::Promise<void> copying = kj::READY_NOW;
    };

    kj::Promise<void> accept()
    {
        return listener_->accept().then(
            [this](kj::Own<kj::AsyncIoStream>&& near)
            {
                return io_.provider->getNetwork()
                    .parseAddress(peer_.address, peer_.port)
                    .then([](kj::Own<kj::NetworkAddress>&& address)
                          { return address->connect().attach(kj::mv(address)); })
                    .then(
                        [this, near = kj::mv(near)](kj::Own<kj::AsyncIoStream>&& far) mutable
                        {
                            auto& it = *paths_.emplace_back(
                                std::make_unique<path>(path{kj::mv(near), kj::mv(far)}));
                            auto up = copy(*it.near, *it.far, delay);
                            it.copying = up.exclusiveJoin(copy(*it.far, *it.near, delay))
                                             .eagerlyEvaluate([](kj::Exception&&) {});
                            return accept();
                        });
            });
    }

    kj::Promise<void> copy(kj::AsyncIoStream& source, kj::AsyncIoStream& sink, milliseconds after)
    {
        auto buf = kj::heapArray<kj::byte>(65536);
        auto const data = buf.begin();
        return source.tryRead(data, 1, buf.size())
            .then(
                [this, &source, &sink, after, data](std::size_t n) -> kj::Promise<void>
                {
                    if (n == 0)
                        return kj::READY_NOW;
                    return io_.provider->getTimer()
                        .afterDelay(after.count() * kj::MILLISECONDS)
                        .then([&sink, data, n] { return sink.write(data, n); })
                        .then([this, &source, &sink, after] { return copy(source, sink, after); });
                })
            .attach(kj::mv(buf));
    }

    void taskFailed(kj::Exception&&) override {}

    kj::AsyncIoContext& io_;
    endpoint peer_;
    kj::Own<kj::ConnectionReceiver> listener_;
    std::vector<std::unique_ptr<path>> paths_;
    kj::TaskSet tasks_;
};

class outgoing_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(outgoing_test);
    CPPUNIT_TEST(messages_arrive_in_order);
    CPPUNIT_TEST(the_first_message_to_a_process_that_started_anew_arrives);
    CPPUNIT_TEST(a_connection_is_given_up_with_messages_on_their_way);
    CPPUNIT_TEST(a_peer_that_does_not_listen_yet_is_tried_again);
    CPPUNIT_TEST(a_connection_that_goes_silent_is_replaced);
    CPPUNIT_TEST(the_next_message_after_a_connection_went_silent_arrives);
    CPPUNIT_TEST(messages_on_a_slow_connection_arrive);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        io_ = std::make_unique<kj::AsyncIoContext>(kj::setupAsyncIo());
        to_ = std::make_unique<outgoing>(*io_, at_, counters_);
    }

    void tearDown() override
    {
        to_.reset();
        relay_.reset();
        peer_.reset();
        io_.reset();
        taken_.clear();
    }

    void messages_arrive_in_order()
    {
        start_peer();
        for (std::uint64_t n = 1; n != 4; ++n)
            send(n);
        pass(milliseconds(100));
        CPPUNIT_ASSERT(taken_ == (std::vector<std::uint64_t>{1, 2, 3}));
    }

    /// Pattern: an entry restarts at its address while its connection is idle.
    void the_first_message_to_a_process_that_started_anew_arrives()
    {
        start_peer();
        send(1);
        pass(milliseconds(50));
        peer_.reset();
        pass(milliseconds(50));
        start_peer();
        to_->start_anew();
        send(2);
        pass(milliseconds(100));
        CPPUNIT_ASSERT(taken_ == (std::vector<std::uint64_t>{1, 2}));
    }

    void a_connection_is_given_up_with_messages_on_their_way()
    {
        start_peer();
        for (std::uint64_t n = 0; n != 20; ++n)
        {
            send(n);
            if (n % 2 == 0)
                pass(milliseconds(1));
            to_->start_anew();
        }
        send(99);
        pass(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{99}, taken_.back());
    }

    void a_peer_that_does_not_listen_yet_is_tried_again()
    {
        send(1);
        pass(milliseconds(150));
        start_peer();
        send(2);
        pass(milliseconds(100));
        CPPUNIT_ASSERT(taken_ == std::vector<std::uint64_t>{2});
    }

    // Guards against a violation of DRAIN and AckTimeout: messages went into a connection whose
    // far end takes bytes and answers nothing, for five seconds.
    void a_connection_that_goes_silent_is_replaced()
    {
        start_relayed_peer();
        send(1);
        pass(milliseconds(100));
        relay_->silence();
        auto const end = monotonic_now() + leave_limit;
        for (std::uint64_t n = 2; monotonic_now() < end; ++n)
        {
            send(n);
            pass(milliseconds(50));
        }
        CPPUNIT_ASSERT_MESSAGE("arrives after the silence", taken_.back() > 1);
    }

    // Guards against an entry that gets no answer: each of its reports to a control instance was
    // answered on the connection that had gone silent.
    void the_next_message_after_a_connection_went_silent_arrives()
    {
        start_relayed_peer();
        send(1);
        pass(milliseconds(100));
        relay_->silence();
        send(2);
        pass(leave_limit);
        send(3);
        pass(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, taken_.back());
    }

    // Guards against the loss of messages that a full link delays: they are late, and would be
    // late again.
    void messages_on_a_slow_connection_arrive()
    {
        start_relayed_peer();
        relay_->delay = milliseconds(350);
        for (std::uint64_t n = 1; n != 21; ++n)
        {
            send(n);
            pass(milliseconds(200));
        }
        pass(milliseconds(2000));
        CPPUNIT_ASSERT_MESSAGE("the connection was replaced", relay_->connections() > 1);
        std::sort(taken_.begin(), taken_.end());
        for (std::uint64_t n = 1; n != 21; ++n)
            CPPUNIT_ASSERT_EQUAL(n, taken_.at(n - 1));
    }

private:
    /// Starts a peer that is reached by way of a relay.
    void start_relayed_peer()
    {
        peer_ = std::make_unique<fake_peer>(*io_, behind_, taken_);
        relay_ = std::make_unique<relay>(*io_, at_, behind_);
    }

    void start_peer() { peer_ = std::make_unique<fake_peer>(*io_, at_, taken_); }

    void send(std::uint64_t number)
    {
        messages::roster_poll it;
        it.known = sequence_id(number);
        to_->send({instance_id(1), instance_id(2), any_message::of(std::move(it))});
    }

    void pass(milliseconds time)
    {
        io_->provider->getTimer().afterDelay(time.count() * kj::MILLISECONDS).wait(io_->waitScope);
    }

    /// Time within which a majority of the control instances must hold a leave.
    static constexpr milliseconds leave_limit{900};

    endpoint const at_{testing::own_loopback_address(), 27397};
    endpoint const behind_{testing::own_loopback_address(), 27398};
    kernel::counter_set counters_;
    std::vector<std::uint64_t> taken_;
    std::unique_ptr<kj::AsyncIoContext> io_;
    std::unique_ptr<outgoing> to_;
    std::unique_ptr<fake_peer> peer_;
    std::unique_ptr<relay> relay_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(outgoing_test);

} // namespace

} // namespace mulberryrudder::peer
