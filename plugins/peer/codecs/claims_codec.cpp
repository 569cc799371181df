#include "fleet_config_codec.hpp"

#include <mulberryrudder/messages/claims.hpp>
#include <mulberryrudder/wire/codec.hpp>

#include <claims.capnp.h>

#include <stdexcept>

namespace mulberryrudder::wire
{

namespace
{

using namespace messages;

/// Reads an enumerator; throws std::invalid_argument if a newer sender knows more.
template <class To, class From>
To decode_enum(From from, To last)
{
    auto const n = static_cast<std::uint16_t>(from);
    if (n > static_cast<std::uint16_t>(last))
        throw std::invalid_argument("an unknown state of a claim");
    return static_cast<To>(n);
}

template <class To, class From>
To encode_enum(From from)
{
    return static_cast<To>(static_cast<std::uint16_t>(from));
}

void encode_reply(shared_reply const& from, schema::StoredReply::Builder to)
{
    to.setStatus(from->status);
    auto fields = to.initFields(static_cast<unsigned>(from->fields.size()));
    for (unsigned n = 0; n != fields.size(); ++n)
    {
        fields[n].setName(from->fields[n].name);
        fields[n].setValue(from->fields[n].value);
    }
    auto const* const body = reinterpret_cast<kj::byte const*>(from->body.data());
    to.setBody(kj::arrayPtr(body, from->body.size()));
}

shared_reply decode_reply(schema::StoredReply::Reader from)
{
    reply out{.status = from.getStatus()};
    for (auto const it : from.getFields())
        out.fields.push_back({decode_text(it.getName()), decode_text(it.getValue())});
    auto const body = from.getBody().asChars();
    out.body.assign(body.begin(), body.end());
    return std::make_shared<reply const>(std::move(out));
}

claim_id decode_id(capnp::Data::Reader from)
{
    return claim_id(decode_digest(from));
}

void encode_holder(claim_holder const& from, schema::ClaimHolder::Builder to)
{
    to.setInstance(from.instance.value());
    to.setBoot(from.boot.value());
    to.setRequest(from.request.value());
}

claim_holder decode_holder(schema::ClaimHolder::Reader from)
{
    return {.instance = instance_id(from.getInstance()),
            .boot = boot_id(from.getBoot()),
            .request = request_id(from.getRequest())};
}

void encode_record(claim_record const& from, schema::ClaimRecord::Builder to)
{
    to.setId(encode_digest(from.id.value()));
    to.setCustomer(from.customer.value());
    to.setFingerprint(encode_digest(from.fingerprint));
    encode_holder(from.holder, to.initHolder());
    to.setState(encode_enum<schema::ClaimState>(from.state));
    if (from.content)
        encode_reply(from.content, to.initContent());
    to.setRunWithinUs(from.run_within.count());
    to.setExpiresInUs(from.expires_in.count());
}

claim_record decode_record(schema::ClaimRecord::Reader from)
{
    return {.id = decode_id(from.getId()),
            .customer = customer_id(decode_text(from.getCustomer())),
            .fingerprint = decode_digest(from.getFingerprint()),
            .holder = decode_holder(from.getHolder()),
            .state = decode_enum(from.getState(), claim_state::released),
            .content = from.hasContent() ? decode_reply(from.getContent()) : nullptr,
            .run_within = microseconds(from.getRunWithinUs()),
            .expires_in = microseconds(from.getExpiresInUs())};
}

void encode_request(claim_request const& from, schema::ClaimRequest::Builder to)
{
    encode_record(from.wanted, to.initWanted());
    auto keepers = to.initKeepers(static_cast<unsigned>(from.keepers.size()));
    for (unsigned n = 0; n != keepers.size(); ++n)
        keepers.set(n, from.keepers[n].value());
    to.setKeyAgeUs(from.key_age.count());
}

claim_request decode_request(schema::ClaimRequest::Reader from)
{
    claim_request out{.wanted = decode_record(from.getWanted()),
                      .key_age = microseconds(from.getKeyAgeUs())};
    for (auto const it : from.getKeepers())
        out.keepers.emplace_back(it);
    return out;
}

void encode_answer(claim_answer const& from, schema::ClaimAnswer::Builder to)
{
    to.setId(encode_digest(from.id.value()));
    encode_holder(from.holder, to.initHolder());
    to.setKind(encode_enum<schema::ClaimAnswerKind>(from.kind));
    to.setKnown(encode_enum<schema::ClaimState>(from.known));
    if (from.content)
        encode_reply(from.content, to.initContent());
}

claim_answer decode_answer(schema::ClaimAnswer::Reader from)
{
    return {.id = decode_id(from.getId()),
            .holder = decode_holder(from.getHolder()),
            .kind = decode_enum(from.getKind(), claim_answer_kind::unsettled),
            .known = decode_enum(from.getKnown(), claim_state::released),
            .content = from.hasContent() ? decode_reply(from.getContent()) : nullptr};
}

void encode_end(claim_end const& from, schema::ClaimEnd::Builder to)
{
    encode_record(from.record, to.initRecord());
}

claim_end decode_end(schema::ClaimEnd::Reader from)
{
    return {decode_record(from.getRecord())};
}

void encode_ack(claim_end_ack const& from, schema::ClaimEndAck::Builder to)
{
    to.setId(encode_digest(from.id.value()));
    encode_holder(from.holder, to.initHolder());
}

claim_end_ack decode_ack(schema::ClaimEndAck::Reader from)
{
    return {decode_id(from.getId()), decode_holder(from.getHolder())};
}

void encode_pull(claims_pull const& from, schema::ClaimsPull::Builder to)
{
    to.setBoot(from.boot.value());
    to.setAfter(encode_digest(from.after.value()));
}

claims_pull decode_pull(schema::ClaimsPull::Reader from)
{
    return {boot_id(from.getBoot()), decode_id(from.getAfter())};
}

void encode_page(claims_page const& from, schema::ClaimsPage::Builder to)
{
    to.setBoot(from.boot.value());
    to.setAfter(encode_digest(from.after.value()));
    auto records = to.initRecords(static_cast<unsigned>(from.records.size()));
    for (unsigned n = 0; n != records.size(); ++n)
        encode_record(from.records[n], records[n]);
    to.setMore(from.more);
    to.setNext(encode_digest(from.next.value()));
    to.setView(encode_digest(from.view));
    to.setSettledForUs(from.settled_for.count());
}

claims_page decode_page(schema::ClaimsPage::Reader from)
{
    claims_page out{.boot = boot_id(from.getBoot()),
                    .after = decode_id(from.getAfter()),
                    .more = from.getMore(),
                    .next = decode_id(from.getNext()),
                    .view = decode_digest(from.getView()),
                    .settled_for = microseconds(from.getSettledForUs())};
    for (auto const it : from.getRecords())
        out.records.push_back(decode_record(it));
    return out;
}

codec_registrar<claim_request, schema::ClaimRequest, &encode_request, &decode_request> const
    request_entered{20};
codec_registrar<claim_answer, schema::ClaimAnswer, &encode_answer, &decode_answer> const
    answer_entered{21};
codec_registrar<claim_end, schema::ClaimEnd, &encode_end, &decode_end> const end_entered{22};
codec_registrar<claim_end_ack, schema::ClaimEndAck, &encode_ack, &decode_ack> const ack_entered{23};
codec_registrar<claims_pull, schema::ClaimsPull, &encode_pull, &decode_pull> const pull_entered{24};
codec_registrar<claims_page, schema::ClaimsPage, &encode_page, &decode_page> const page_entered{25};

} // namespace

} // namespace mulberryrudder::wire
