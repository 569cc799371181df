#include "outgoing.hpp"

#include "mailbox.hpp"

#include <kj/debug.h>

#include <algorithm>
#include <array>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <utility>

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
/// How long a peer may leave a message untaken before another connection is opened. Messages
/// between regions take a tenth of it; together with a connection attempt it is below the time
/// within which a majority must hold a leave.
constexpr milliseconds replace_limit{500};
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
    replica_bytes("peer.bytes_replica",
                  "Part of peer.bytes_sent: the replicated log of control instances.");
kernel::counter_kind const
    exchange_bytes("peer.bytes_roster_exchanges",
                   "Part of peer.bytes_sent: what control instances tell each other of targets, "
                   "entries and the steering state.");
kernel::counter_kind const
    report_bytes("peer.bytes_roster_reports",
                 "Part of peer.bytes_sent: reports and probes of entries to control instances.");
kernel::counter_kind const
    answer_bytes("peer.bytes_roster_answers",
                 "Part of peer.bytes_sent: answers of control instances to reports and probes.");
kernel::counter_kind const
    quota_bytes("peer.bytes_quota",
                "Part of peer.bytes_sent: questions whether to admit requests, and their answers.");

/// Message kinds of one purpose.
struct kind_group
{
    std::uint16_t first;
    std::uint16_t last;
    kernel::counter_kind const& bytes;
};

std::array<kind_group, 7> const kind_groups{{{100, 129, replica_bytes},
                                             {210, 210, exchange_bytes},
                                             {211, 211, report_bytes},
                                             {212, 212, answer_bytes},
                                             {213, 213, report_bytes},
                                             {214, 214, answer_bytes},
                                             {215, 217, quota_bytes}}};

kernel::counter_kind const
    messages_dropped("peer.messages_dropped",
                     "Messages to other instances that could not be delivered.");
kernel::counter_kind const no_codec("peer.no_codec",
                                    "Messages that this program has no codec for.");
kernel::counter_kind const connections_lost("peer.connections_lost",
                                            "Connections to other instances that failed.");
kernel::counter_kind const
    connections_replaced("peer.connections_replaced",
                         "Connections to other instances that were replaced by a new one since "
                         "they did not answer.");

} // namespace

outgoing::connection::connection(kj::Own<kj::AsyncIoStream> opened, std::uint64_t connection_number)
    : stream(kj::mv(opened)), rpc(*stream), mailbox(rpc.bootstrap().castAs<schema::Mailbox>()),
      number(connection_number)
{
    // Without it, a connection to a machine that lost power stays open for minutes.
    unsigned const limit_ms = acknowledgement_limit.count();
    stream->setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, &limit_ms, sizeof limit_ms);
}

void outgoing::connection::await_answer(instant now)
{
    replace_at = now + replace_limit;
    give_up_at = now + answer_limit;
}

void outgoing::connection::answered(instant now)
{
    if (--in_flight != 0)
        return await_answer(now);
    replace_at = never;
    give_up_at = never;
}

outgoing::outgoing(kj::AsyncIoContext& io, endpoint where, kernel::counter_set& counters)
    : io_(io), where_(std::move(where)), counters_(counters), tasks_(*this)
{
}

void outgoing::send(envelope message)
{
    auto const now = monotonic_now();
    check_connections(now);
    if (connection_ && !connecting_)
        return transmit(message);
    if (waiting_.size() >= most_waiting)
    {
        waiting_.pop_front();
        counters_.add(messages_dropped);
    }
    waiting_.push_back(std::move(message));
    connect(now);
}

void outgoing::check_connections(instant now)
{
    if (replaced_ && (replaced_->in_flight == 0 || now >= replaced_->give_up_at))
        replaced_.reset();
    if (!connection_)
        return;
    if (now >= connection_->give_up_at || connection_->in_flight >= most_in_flight)
        lose_connection();
    else if (now >= connection_->replace_at && !replaced_)
        connect(now);
}

void outgoing::start_anew()
{
    replaced_.reset();
    if (connection_)
        lose_connection();
    connect_again_ = monotonic_now();
}

void outgoing::connect(instant now)
{
    if (connecting_ || now < connect_again_)
        return;
    connecting_ = true;
    auto const number = ++last_number_;
    auto opened = io_.provider->getNetwork()
                      .parseAddress(where_.address, where_.port)
                      .then([](kj::Own<kj::NetworkAddress>&& address)
                            { return address->connect().attach(kj::mv(address)); });
    auto& timer = io_.provider->getTimer();
    auto limited = timer.timeoutAfter(connect_limit.count() * kj::MILLISECONDS, kj::mv(opened));
    tasks_.add(limited.then(
        [this, number](kj::Own<kj::AsyncIoStream>&& it)
        {
            if (number == last_number_)
                connected(kj::mv(it));
        },
        [this, number](kj::Exception&&)
        {
            if (number == last_number_)
                connect_failed();
        }));
}

void outgoing::connected(kj::Own<kj::AsyncIoStream> stream)
{
    connecting_ = false;
    if (connection_)
    {
        counters_.add(connections_replaced);
        replaced_ = std::move(connection_);
    }
    connection_ = std::make_unique<connection>(kj::mv(stream), last_number_);
    transmit_waiting();
}

void outgoing::connect_failed()
{
    connecting_ = false;
    connect_again_ = monotonic_now() + connect_pause;
    if (connection_)
        return transmit_waiting();
    counters_.add(connections_lost);
    drop_waiting();
}

void outgoing::transmit_waiting()
{
    auto const messages = std::exchange(waiting_, {});
    for (auto const& it : messages)
        transmit(it);
}

void outgoing::drop_waiting()
{
    counters_.add(messages_dropped, waiting_.size());
    waiting_.clear();
}

void outgoing::transmit(envelope const& message)
{
    auto request = connection_->mailbox.deliverRequest();
    auto encoded = request.initMessage();
    if (!write_envelope(message, encoded))
        return counters_.add(no_codec);
    count_sent(encoded.getKind(), request.totalSize().wordCount * sizeof(capnp::word));
    if (connection_->in_flight++ == 0)
        connection_->await_answer(monotonic_now());
    auto const number = connection_->number;
    tasks_.add(request.send().then([this, number](auto&&) { handle_answer(number); },
                                   [this, number](kj::Exception&&)
                                   {
                                       // A connection must not be closed within its own callback.
                                       if (find(number) != nullptr)
                                           tasks_.add(kj::evalLater([this, number]
                                                                    { handle_failure(number); }));
                                   }));
}

void outgoing::count_sent(std::uint16_t kind, std::uint64_t bytes)
{
    counters_.add(messages_sent);
    counters_.add(bytes_sent, bytes);
    for (auto const& it : kind_groups)
        if (it.first <= kind && kind <= it.last)
            counters_.add(it.bytes, bytes);
}

outgoing::connection* outgoing::find(std::uint64_t number)
{
    if (connection_ && connection_->number == number)
        return connection_.get();
    return replaced_ && replaced_->number == number ? replaced_.get() : nullptr;
}

void outgoing::handle_answer(std::uint64_t number)
{
    auto* const answering = find(number);
    if (answering == nullptr)
        return;
    auto const now = monotonic_now();
    answering->answered(now);
    // Messages on the older connection were sent earlier, so it is overdue.
    if (replaced_ && answering != replaced_.get())
        replaced_->give_up_at = std::min(replaced_->give_up_at, now + replace_limit);
}

void outgoing::handle_failure(std::uint64_t number)
{
    if (connection_ && connection_->number == number)
        lose_connection();
    else if (replaced_ && replaced_->number == number)
        replaced_.reset();
}

void outgoing::lose_connection()
{
    counters_.add(connections_lost);
    drop_waiting();
    connection_.reset();
    connecting_ = false;
    ++last_number_; // Ignores the result of a connection attempt.
    connect_again_ = monotonic_now() + connect_pause;
}

void outgoing::taskFailed(kj::Exception&&)
{
    counters_.add(messages_dropped);
}

} // namespace mulberryrudder::peer
