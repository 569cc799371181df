#include "outgoing.hpp"

#include "mailbox.hpp"

#include <kj/debug.h>

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace mulberryrudder::peer
{

namespace
{

/// Messages that wait for a connection.
constexpr std::size_t most_waiting = 1024;
/// Messages that were sent and not yet taken by the peer.
constexpr std::size_t most_in_flight = 4096;
/// How long a peer may leave a message untaken before its connection is given up.
constexpr seconds answer_limit{5};
/// How long a connection may take to come about.
constexpr milliseconds connect_limit{1000};
/// How long sent bytes may stay unacknowledged by the peer's machine: longer than packets wait
/// on a full link. A message may take longer, as long as some of it arrives.
constexpr milliseconds acknowledgement_limit{1500};
/// How long a failed connection is not tried again.
constexpr milliseconds connect_pause{100};

kernel::counter_kind const messages_sent("peer.messages_sent", "Messages sent to other instances.");
kernel::counter_kind const bytes_sent("peer.bytes_sent",
                                      "Encoded bytes of the messages sent to other instances.");
kernel::counter_kind const
    messages_dropped("peer.messages_dropped",
                     "Messages to other instances that could not be delivered.");
kernel::counter_kind const no_codec("peer.no_codec",
                                    "Messages that this program has no codec for.");
kernel::counter_kind const connections_lost("peer.connections_lost",
                                            "Connections to other instances that failed.");

} // namespace

outgoing::connection::connection(kj::Own<kj::AsyncIoStream> opened)
    : stream(kj::mv(opened)), rpc(*stream), mailbox(rpc.bootstrap().castAs<schema::Mailbox>())
{
    // Without it, a connection to a machine that lost power stays open for minutes.
    unsigned const limit_ms = acknowledgement_limit.count();
    stream->setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, &limit_ms, sizeof limit_ms);
}

outgoing::outgoing(kj::AsyncIoContext& io, endpoint where, kernel::counter_set& counters)
    : io_(io), where_(std::move(where)), counters_(counters), tasks_(*this)
{
}

void outgoing::send(envelope message)
{
    auto const now = monotonic_now();
    if (connection_ && (now >= oldest_deadline_ || in_flight_ >= most_in_flight))
        lost();
    if (connection_)
        return transmit(message);
    if (waiting_.size() >= most_waiting)
    {
        waiting_.pop_front();
        counters_.add(messages_dropped);
    }
    waiting_.push_back(std::move(message));
    if (!connecting_ && now >= connect_again_)
        connect();
}

void outgoing::start_anew()
{
    if (connection_)
        lost();
    connect_again_ = monotonic_now();
}

void outgoing::connect()
{
    connecting_ = true;
    auto opened = io_.provider->getNetwork()
                      .parseAddress(where_.address, where_.port)
                      .then([](kj::Own<kj::NetworkAddress>&& address)
                            { return address->connect().attach(kj::mv(address)); });
    auto& timer = io_.provider->getTimer();
    auto limited = timer.timeoutAfter(connect_limit.count() * kj::MILLISECONDS, kj::mv(opened));
    tasks_.add(limited.then([this](kj::Own<kj::AsyncIoStream>&& it) { connected(kj::mv(it)); },
                            [this](kj::Exception&&) { lost(); }));
}

void outgoing::connected(kj::Own<kj::AsyncIoStream> stream)
{
    connecting_ = false;
    connection_ = std::make_unique<connection>(kj::mv(stream));
    ++epoch_;
    in_flight_ = 0;
    oldest_deadline_ = never;
    auto messages = std::move(waiting_);
    waiting_.clear();
    for (auto const& it : messages)
        transmit(it);
}

void outgoing::transmit(envelope const& message)
{
    auto request = connection_->mailbox.deliverRequest();
    if (!write_envelope(message, request.initMessage()))
        return counters_.add(no_codec);
    counters_.add(messages_sent);
    counters_.add(bytes_sent, request.totalSize().wordCount * sizeof(capnp::word));
    if (in_flight_++ == 0)
        oldest_deadline_ = monotonic_now() + answer_limit;
    auto const epoch = epoch_;
    tasks_.add(request.send().then(
        [this, epoch](auto&&)
        {
            if (epoch != epoch_)
                return;
            --in_flight_;
            oldest_deadline_ = in_flight_ == 0 ? never : monotonic_now() + answer_limit;
        },
        [this, epoch](kj::Exception&&)
        {
            if (epoch == epoch_ && connection_)
                tasks_.add(kj::evalLater(
                    [this, epoch]
                    {
                        if (epoch == epoch_)
                            lost();
                    }));
        }));
}

void outgoing::lost()
{
    counters_.add(connections_lost);
    counters_.add(messages_dropped, waiting_.size());
    waiting_.clear();
    connection_.reset();
    connecting_ = false;
    ++epoch_;
    in_flight_ = 0;
    oldest_deadline_ = never;
    connect_again_ = monotonic_now() + connect_pause;
}

void outgoing::taskFailed(kj::Exception&&)
{
    counters_.add(messages_dropped);
}

} // namespace mulberryrudder::peer
