#ifndef MULBERRYRUDDER_WIRE_CODEC_HPP
#define MULBERRYRUDDER_WIRE_CODEC_HPP

#include <mulberryrudder/core/any_message.hpp>
#include <mulberryrudder/core/strong.hpp>

#include <capnp/any.h>

#include <cstdint>
#include <optional>
#include <typeindex>

namespace mulberryrudder::wire
{

/// Numbers a message type on the wire and on disk; numbers are never reused.
using message_kind = strong_id<struct message_kind_tag, std::uint16_t>;

/// Turns one message type into a Cap'n Proto struct and back. Codecs register
/// themselves, so that the peer link and the disk know no message type.
struct message_codec
{
    message_kind kind;
    std::type_index type;
    void (*encode)(any_message const& from, capnp::AnyPointer::Builder to);
    any_message (*decode)(capnp::AnyPointer::Reader from);
};

/// Enters a codec; throws std::logic_error if the kind or the type has one already.
void add_codec(message_codec const& added);

/// Returns the codec of a kind or type, or null. Any thread, after main started.
message_codec const* find_codec(message_kind kind);
message_codec const* find_codec(std::type_index type);

/// Enters the codec of message T with Cap'n Proto struct Wire from two functions:
///
///     static wire::codec_registrar<claim_request, schema::ClaimRequest,
///                                  &encode_claim, &decode_claim> const entered{40};
///
/// `encode` is void(T const&, Wire::Builder), `decode` is T(Wire::Reader). A decode
/// may throw (kj::Exception or std::exception): the message is then dropped and counted.
template <class T, class Wire, auto encode, auto decode>
class codec_registrar
{
public:
    explicit codec_registrar(std::uint16_t kind)
    {
        add_codec({message_kind(kind), std::type_index(typeid(T)), &write, &read});
    }

private:
    static void write(any_message const& from, capnp::AnyPointer::Builder to)
    {
        encode(*from.get<T>(), to.initAs<Wire>());
    }
    static any_message read(capnp::AnyPointer::Reader from)
    {
        return any_message::of<T>(decode(from.getAs<Wire>()));
    }
};

} // namespace mulberryrudder::wire

#endif
