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
        auto accepting = server.listen(*listener);
        tasks.add(accepting.attach(kj::mv(listener)));
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
        std::fprintf(stderr, "peer link: %s\n", e.getDescription().cStr());
        parts_.end_process(1);
    }

    /// Orders that are carried out before the sockets have their turn.
    static constexpr int batch_size = 256;

    kernel::duty_parts parts_;
    fleet::instance_settings config_;
    kernel::ring<order>& orders_;
    kernel::ring<envelope>& arrived_;
    kernel::waker& waker_;
    std::atomic<bool> stopping_{false};
    std::uint64_t signal_ = 0;
    kj::AsyncIoContext* io_ = nullptr;
    std::map<instance_id, std::unique_ptr<outgoing>> ways_;
};

kernel::duty_registrar<link_duty> const entered{"peer_link", duty_order::peer_link};

} // namespace

} // namespace mulberryrudder::peer
