#ifndef MULBERRYRUDDER_PLUGINS_PEER_LINK_MAILBOX_HPP
#define MULBERRYRUDDER_PLUGINS_PEER_LINK_MAILBOX_HPP

#include <mulberryrudder/core/any_message.hpp>

#include <envelope.capnp.h>

#include <functional>
#include <optional>

namespace mulberryrudder::peer
{

/// Encodes a message; false if its type has no codec in this program.
bool write_envelope(envelope const& from, schema::Envelope::Builder to);

/// Decodes a message; nothing if its kind is unknown here or its body is not valid.
std::optional<envelope> read_envelope(schema::Envelope::Reader from);

/// Takes the messages of other instances off the wire.
///
/// Thread safety: the peer link's thread.
class mailbox final : public schema::Mailbox::Server
{
public:
    explicit mailbox(std::function<void(schema::Envelope::Reader)> arrived)
        : arrived_(std::move(arrived))
    {
    }

protected:
    kj::Promise<void> deliver(DeliverContext context) override
    {
        arrived_(context.getParams().getMessage());
        return kj::READY_NOW;
    }

private:
    std::function<void(schema::Envelope::Reader)> arrived_;
};

} // namespace mulberryrudder::peer

#endif
