#include <spill.capnp.h>

#include <mulberryrudder/messages/spill.hpp>
#include <mulberryrudder/wire/codec.hpp>

#include <algorithm>
#include <cstring>
#include <stdexcept>

namespace mulberryrudder
{

namespace
{

using fields_builder = capnp::List<schema::SpillField>::Builder;
using fields_reader = capnp::List<schema::SpillField>::Reader;

std::string text_of(capnp::Text::Reader from)
{
    return {from.cStr(), from.size()};
}

std::string bytes_of(capnp::Data::Reader from)
{
    return {reinterpret_cast<char const*>(from.begin()), from.size()};
}

capnp::Data::Reader data_of(std::string const& from)
{
    return {reinterpret_cast<unsigned char const*>(from.data()), from.size()};
}

template <std::size_t Size>
void read_bytes(capnp::Data::Reader from, std::array<std::uint8_t, Size>& to)
{
    if (from.size() != Size)
        throw std::runtime_error("a spilled request has a field of the wrong size");
    std::copy(from.begin(), from.end(), to.begin());
}

template <class Enum>
Enum read_enum(std::uint8_t from, Enum last)
{
    if (from > static_cast<std::uint8_t>(last))
        throw std::runtime_error("a spilled request has an unknown value");
    return static_cast<Enum>(from);
}

void encode_fields(std::vector<header_field> const& from, fields_builder to)
{
    for (unsigned n = 0; n != from.size(); ++n)
    {
        to[n].setName(from[n].name);
        to[n].setValue(from[n].value);
    }
}

std::vector<header_field> decode_fields(fields_reader from)
{
    std::vector<header_field> out;
    for (auto const it : from)
        out.push_back({text_of(it.getName()), text_of(it.getValue())});
    return out;
}

void encode_request(messages::spill_request const& from, schema::SpillRequest::Builder to)
{
    to.setId(from.id.value());
    to.setCustomer(from.customer.value());
    if (from.key)
        to.setKey({from.key->bytes.data(), from.key->bytes.size()});
    to.setRoute(from.route.value());
    to.setVersion(from.version.value());
    to.setRepeatable(from.repeatable);
    to.setHasIdempotencyKey(from.idempotency_key.has_value());
    to.setIdempotencyKey(from.idempotency_key.value_or(""));
    to.setClient({from.client.bytes.data(), from.client.bytes.size()});
    to.setRemainingMicroseconds(from.remaining.count());
    to.setMethod(static_cast<std::uint8_t>(from.content->method));
    to.setPath(from.content->path);
    auto const n = static_cast<unsigned>(from.content->fields.size());
    encode_fields(from.content->fields, to.initFields(n));
    to.setBody(data_of(from.content->body));
}

shared_call decode_call(schema::SpillRequest::Reader from)
{
    return std::make_shared<call const>(
        call{.method = read_enum(from.getMethod(), call_method::patch),
             .path = text_of(from.getPath()),
             .fields = decode_fields(from.getFields()),
             .body = bytes_of(from.getBody())});
}

messages::spill_request decode_request(schema::SpillRequest::Reader from)
{
    messages::spill_request out{.id = request_id(from.getId()),
                                .customer = customer_id(text_of(from.getCustomer())),
                                .route = route_id(text_of(from.getRoute())),
                                .version = version_id(text_of(from.getVersion())),
                                .repeatable = from.getRepeatable(),
                                .remaining = microseconds(from.getRemainingMicroseconds()),
                                .content = decode_call(from)};
    if (from.getKey().size() != 0)
        read_bytes(from.getKey(), out.key.emplace().bytes);
    if (from.getHasIdempotencyKey())
        out.idempotency_key = text_of(from.getIdempotencyKey());
    read_bytes(from.getClient(), out.client.bytes);
    return out;
}

void encode_reply(messages::spill_reply const& from, schema::SpillReply::Builder to)
{
    to.setId(from.id.value());
    to.setRun(static_cast<std::uint8_t>(from.run));
    if (from.retry_after)
        to.setRetryAfterMilliseconds(from.retry_after->count());
    to.setAnswered(from.content != nullptr);
    if (!from.content)
        return;
    to.setStatus(from.content->status);
    auto const n = static_cast<unsigned>(from.content->fields.size());
    encode_fields(from.content->fields, to.initFields(n));
    to.setBody(data_of(from.content->body));
}

messages::spill_reply decode_reply(schema::SpillReply::Reader from)
{
    messages::spill_reply out{.id = request_id(from.getId()),
                              .run = read_enum(from.getRun(), verdict::ran)};
    if (from.getRetryAfterMilliseconds() >= 0)
        out.retry_after = milliseconds(from.getRetryAfterMilliseconds());
    if (from.getAnswered())
        out.content = std::make_shared<reply const>(reply{.status = from.getStatus(),
                                                          .fields = decode_fields(from.getFields()),
                                                          .body = bytes_of(from.getBody())});
    return out;
}

void encode_cancel(messages::spill_cancel const& from, schema::SpillCancel::Builder to)
{
    to.setId(from.id.value());
}

messages::spill_cancel decode_cancel(schema::SpillCancel::Reader from)
{
    return {request_id(from.getId())};
}

wire::codec_registrar<messages::spill_request, schema::SpillRequest, &encode_request,
                      &decode_request> const request_entered{30};
wire::codec_registrar<messages::spill_reply, schema::SpillReply, &encode_reply, &decode_reply> const
    reply_entered{31};
wire::codec_registrar<messages::spill_cancel, schema::SpillCancel, &encode_cancel,
                      &decode_cancel> const cancel_entered{32};

} // namespace

} // namespace mulberryrudder
