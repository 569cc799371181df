#include "plugins/peer/link/mailbox.hpp"
#include "plugins/peer/link/outgoing.hpp"

#include <mulberryrudder/messages/roster.hpp>

#include <capnp/rpc-twoparty.h>
#include <cppunit/extensions/HelperMacros.h>
#include <kj/async-io.h>

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

class outgoing_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(outgoing_test);
    CPPUNIT_TEST(messages_arrive_in_order);
    CPPUNIT_TEST(the_first_message_to_a_process_that_started_anew_arrives);
    CPPUNIT_TEST(a_connection_is_given_up_with_messages_on_their_way);
    CPPUNIT_TEST(a_peer_that_does_not_listen_yet_is_tried_again);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        io_ = std::make_unique<kj::AsyncIoContext>(kj::setupAsyncIo());
        to_ = std::make_unique<outgoing>(*io_, at_, counters_);
    }

    void tearDown() override
    {
        peer_.reset();
        to_.reset();
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

private:
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

    endpoint const at_{"127.0.0.1", 27397};
    kernel::counter_set counters_;
    std::vector<std::uint64_t> taken_;
    std::unique_ptr<kj::AsyncIoContext> io_;
    std::unique_ptr<outgoing> to_;
    std::unique_ptr<fake_peer> peer_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(outgoing_test);

} // namespace

} // namespace mulberryrudder::peer
