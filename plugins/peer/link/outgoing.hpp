#ifndef MULBERRYRUDDER_PLUGINS_PEER_LINK_OUTGOING_HPP
#define MULBERRYRUDDER_PLUGINS_PEER_LINK_OUTGOING_HPP

#include <mulberryrudder/core/any_message.hpp>
#include <mulberryrudder/core/endpoint.hpp>
#include <mulberryrudder/core/time.hpp>
#include <mulberryrudder/kernel/counters.hpp>

#include <envelope.capnp.h>

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <deque>
#include <memory>

namespace mulberryrudder::peer
{

/// The way to one other instance: it connects when there is something to send,
/// keeps a bounded number of messages while it connects, and drops the rest,
/// since delivery is at most once anyway.
///
/// A connection that does not answer for a while is replaced by a new one, for which further
/// messages wait. It stays open for some time, so that messages which a full link delays still
/// arrive.
///
/// Thread safety: the peer link's thread.
class outgoing final : private kj::TaskSet::ErrorHandler
{
public:
    outgoing(kj::AsyncIoContext& io, endpoint where, kernel::counter_set& counters);

    void send(envelope message);

    /// Gives up an open connection, which leads to a process that has ended: the first
    /// message on it would be lost.
    void start_anew();

    endpoint const& where() const { return where_; }

private:
    /// One TCP connection with its RPC system.
    struct connection
    {
        connection(kj::Own<kj::AsyncIoStream> opened, std::uint64_t connection_number);

        /// Sets the deadlines for the next answer.
        void await_answer(instant now);
        /// Records that the peer answered a message.
        void answered(instant now);

        kj::Own<kj::AsyncIoStream> stream;
        capnp::TwoPartyClient rpc;
        schema::Mailbox::Client mailbox;
        std::uint64_t number; ///< Differs for each connection, so that late answers are ignored.
        std::size_t in_flight = 0;
        instant replace_at = never; ///< When a connection in its place is opened.
        instant give_up_at = never; ///< When the peer counts as not answering.
    };

    void connect(instant now);
    void connected(kj::Own<kj::AsyncIoStream> stream);
    void connect_failed();
    void transmit(envelope const& message);
    void count_sent(std::uint16_t kind, std::uint64_t bytes);
    void transmit_waiting();
    void drop_waiting();
    void handle_answer(std::uint64_t number);
    void handle_failure(std::uint64_t number);
    /// Returns the open connection with this number, or null.
    connection* find(std::uint64_t number);
    void check_connections(instant now);
    void lose_connection();
    void taskFailed(kj::Exception&& e) override;

    kj::AsyncIoContext& io_;
    endpoint where_;
    kernel::counter_set& counters_;
    std::unique_ptr<connection> connection_; ///< For new messages.
    std::unique_ptr<connection> replaced_;   ///< May still deliver messages sent earlier.
    std::deque<envelope> waiting_;
    bool connecting_ = false;
    instant connect_again_;
    std::uint64_t last_number_ = 0; ///< Of the newest connection or attempt.
    kj::TaskSet tasks_;
};

} // namespace mulberryrudder::peer

#endif
