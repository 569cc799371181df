#include "mailbox.hpp"
#include "outgoing.hpp"

#include <mulberryrudder/fleet/instance_settings.hpp>
#include <mulberryrudder/kernel/duty.hpp>
#include <mulberryrudder/kernel/outbox.hpp>
#include <mulberryrudder/peer/orders.hpp>

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <atomic>
#include <map>

namespace mulberryrudder::peer
{

namespace
{

kernel::counter_kind const messages_received("peer.messages_received",
                                             "Messages taken from other instances.");
kernel::counter_kind const messages_refused(
    "peer.messages_refused",
    "Messages of other instances that were of an unknown kind, damaged or for someone else.");
kernel::counter_kind const messages_shed("peer.messages_shed",
                                         "Messages dropped because the decision duty was behind.");

kernel::counter_kind const accepts_failed(
    "peer.accepts_failed",
    "Attempts to take a connection of another instance that failed, such as for lack of "
    "descriptors.");
kernel::event_kind const accept_failed_event{
    {.number = 19,
     .name = "peer.accept_failed",
     .level = kernel::severity::error,
     .meaning = "A connection of another instance could not be taken. It is tried again until it "
                "works; told every 10 s at most.",
     .action = "If the cause is too many open files, raise the limit of the process."}};
kernel::event_kind const link_failed_event{
    {.number = 20,
     .name = "peer.failed",
     .level = kernel::severity::error,
     .meaning = "The link to other instances failed for good; the process ends.",
     .action = "Report the cause."}};

/// How long taking connections waits after an error.
constexpr milliseconds accept_pause{100};
constexpr seconds accept_event_interval{10};

/// Carries messages between the system's own processes by Cap'n Proto RPC. It is
/// the only duty with a kj loop, which sleeps until a socket or the waker is ready.
class link_duty final : public kernel::duty, private kj::TaskSet::ErrorHandler
{
public:
    explicit link_duty(kernel::duty_parts const& given)
        : parts_(given), config_(given.config.get(fleet::instance_section)),
          orders_(given.links.link<order>(duties::decision, name(), duty_ring_capacity)),
          arrived_(given.links.link<envelope>(name(), duties::decision, duty_ring_capacity)),
          waker_(given.links.waker_of(name()))
    {
    }

    kernel::duty_name name() const override { return duties::peer_link; }
    void connect() override {}

    void run() override
    {
        auto io = kj::setupAsyncIo();
        io_ = &io;
        kj::TaskSet tasks(*this);
        capnp::TwoPartyServer server(kj::heap<mailbox>([this](auto it) { take(it); }));
        listen(server, tasks);
        auto waking = io.lowLevelProvider->wrapInputFd(
            waker_.descriptor(), kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK);
        serve(*waking).wait(io.waitScope);
        ways_.clear();
        io_ = nullptr;
    }

    void stop() override
    {
        stopping_ = true;
        waker_.wake();
    }

private:
    void listen(capnp::TwoPartyServer& server, kj::TaskSet& tasks)
    {
        auto address = io_->provider->getNetwork()
                           .parseAddress(config_.peer.address, config_.peer.port)
                           .wait(io_->waitScope);
        auto listener = address->listen();
        auto accepting = accept(server, *listener);
        tasks.add(accepting.attach(kj::mv(listener)));
    }

    /// Takes connections for good. An error, such as too many open files, ends neither the listener
    /// nor the process: connections wait in the kernel until there is room.
    kj::Promise<void> accept(capnp::TwoPartyServer& server, kj::ConnectionReceiver& listener)
    {
        return server.listen(listener).catch_(
            [this, &server, &listener](kj::Exception&& e) -> kj::Promise<void>
            {
                parts_.counters.add(accepts_failed);
                auto const now = monotonic_now();
                if (now >= next_accept_event_)
                {
                    next_accept_event_ = now + accept_event_interval;
                    events_.record(accept_failed_event, {{"cause", e.getDescription().cStr()}});
                }
                return io_->provider->getTimer()
                    .afterDelay(accept_pause.count() * kj::MILLISECONDS)
                    .then([this, &server, &listener] { return accept(server, listener); });
            });
    }

    /// Takes orders, then sleeps until the waker is signalled; ends when stopped.
    kj::Promise<void> serve(kj::AsyncInputStream& waking)
    {
        carry_out_orders();
        waker_.arm();
        if (stopping_)
            return kj::READY_NOW;
        if (orders_.readable())
            return kj::evalLater([this, &waking] { return serve(waking); });
        return waking.tryRead(&signal_, sizeof signal_, sizeof signal_)
            .then([this, &waking](std::size_t) { return serve(waking); });
    }

    void carry_out_orders()
    {
        order it;
        for (int n = 0; n != batch_size && orders_.try_pop(it); ++n)
            std::visit([this](auto& what) { carry_out(what); }, it);
    }

    void carry_out(learn_instance& it)
    {
        auto& way = ways_[it.id];
        if (!way || way->where() != it.where)
            way = std::make_unique<outgoing>(*io_, it.where, parts_.counters);
        else if (it.restarted)
            way->start_anew();
    }

    void carry_out(envelope& it)
    {
        auto const way = ways_.find(it.to);
        if (way == ways_.end())
            return parts_.counters.add(messages_refused);
        way->second->send(std::move(it));
    }

    void take(schema::Envelope::Reader from)
    {
        auto message = read_envelope(from);
        if (!message || message->to != fleet::describe(config_).id)
            return parts_.counters.add(messages_refused);
        parts_.counters.add(messages_received);
        if (!arrived_.try_push(std::move(*message)))
            parts_.counters.add(messages_shed);
    }

    void taskFailed(kj::Exception&& e) override
    {
        events_.record(link_failed_event, {{"cause", e.getDescription().cStr()}});
        parts_.end_process(1);
    }

    /// Orders that are carried out before the sockets have their turn.
    static constexpr int batch_size = 256;

    kernel::duty_parts parts_;
    kernel::ring_event_sink events_{duties::peer_link, parts_};
    fleet::instance_settings config_;
    kernel::ring<order>& orders_;
    kernel::ring<envelope>& arrived_;
    kernel::waker& waker_;
    std::atomic<bool> stopping_{false};
    std::uint64_t signal_ = 0;
    instant next_accept_event_; ///< No accept_failed_event before then.
    kj::AsyncIoContext* io_ = nullptr;
    std::map<instance_id, std::unique_ptr<outgoing>> ways_;
};

kernel::duty_registrar<link_duty> const entered{"peer_link", duty_order::peer_link};

} // namespace

} // namespace mulberryrudder::peer
