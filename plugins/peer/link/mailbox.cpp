#include "mailbox.hpp"

#include <mulberryrudder/wire/codec.hpp>

#include <kj/exception.h>

namespace mulberryrudder::peer
{

bool write_envelope(envelope const& from, schema::Envelope::Builder to)
{
    auto const* const codec = wire::find_codec(from.body.type());
    if (codec == nullptr)
        return false;
    to.setFrom(from.from.value());
    to.setTo(from.to.value());
    to.setKind(codec->kind.value());
    codec->encode(from.body, to.initBody());
    return true;
}

std::optional<envelope> read_envelope(schema::Envelope::Reader from)
{
    auto const* const codec = wire::find_codec(wire::message_kind(from.getKind()));
    if (codec == nullptr)
        return std::nullopt;
    std::optional<envelope> out;
    // What a peer sends is not trusted: a bad body costs the message, not the process.
    auto const failed = kj::runCatchingExceptions(
        [&]
        {
            out = envelope{.from = instance_id(from.getFrom()),
                           .to = instance_id(from.getTo()),
                           .body = codec->decode(from.getBody())};
        });
    return failed == nullptr ? out : std::nullopt;
}

} // namespace mulberryrudder::peer
