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
        connection(kj::Own<kj::AsyncIoStream> opened);

        kj::Own<kj::AsyncIoStream> stream;
        capnp::TwoPartyClient rpc;
        schema::Mailbox::Client mailbox;
    };

    void connect();
    void connected(kj::Own<kj::AsyncIoStream> stream);
    void transmit(envelope const& message);
    void lost();
    void taskFailed(kj::Exception&& e) override;

    kj::AsyncIoContext& io_;
    endpoint where_;
    kernel::counter_set& counters_;
    std::unique_ptr<connection> connection_;
    std::deque<envelope> waiting_;
    std::size_t in_flight_ = 0;
    instant oldest_deadline_ = never; ///< When the peer counts as not answering.
    bool connecting_ = false;
    instant connect_again_;
    std::uint64_t epoch_ = 0; ///< Numbers connections, so that late answers are told apart.
    kj::TaskSet tasks_;
};

} // namespace mulberryrudder::peer

#endif
