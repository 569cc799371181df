#include "fleet_config_codec.hpp"

#include <mulberryrudder/messages/quarantine.hpp>
#include <mulberryrudder/wire/codec.hpp>

#include <quarantine.capnp.h>

namespace mulberryrudder::wire
{

namespace
{

using namespace messages;

void encode_deaths(std::set<attempt_id> const& from, capnp::List<std::uint64_t>::Builder to)
{
    unsigned n = 0;
    for (auto const& it : from)
        to.set(n++, it.value());
}

std::set<attempt_id> decode_deaths(capnp::List<std::uint64_t>::Reader from)
{
    std::set<attempt_id> out;
    for (auto const it : from)
        out.emplace(it);
    return out;
}

unsigned count_of(std::set<attempt_id> const& it)
{
    return static_cast<unsigned>(it.size());
}

void encode_notice(suspect_notice const& from, schema::SuspectNotice::Builder to)
{
    to.setFingerprint(encode_digest(from.fingerprint));
    encode_deaths(from.deaths, to.initDeaths(count_of(from.deaths)));
}

suspect_notice decode_notice(schema::SuspectNotice::Reader from)
{
    return {decode_digest(from.getFingerprint()), decode_deaths(from.getDeaths())};
}

void encode_cleared(suspect_cleared const& from, schema::SuspectCleared::Builder to)
{
    to.setFingerprint(encode_digest(from.fingerprint));
    encode_deaths(from.deaths, to.initDeaths(count_of(from.deaths)));
}

suspect_cleared decode_cleared(schema::SuspectCleared::Reader from)
{
    return {decode_digest(from.getFingerprint()), decode_deaths(from.getDeaths())};
}

void encode_request(permit_request const& from, schema::PermitRequest::Builder to)
{
    to.setFingerprint(encode_digest(from.fingerprint));
    to.setRequest(from.request.value());
    encode_deaths(from.deaths, to.initDeaths(count_of(from.deaths)));
    to.setRunWithinUs(from.run_within.count());
}

permit_request decode_request(schema::PermitRequest::Reader from)
{
    return {.fingerprint = decode_digest(from.getFingerprint()),
            .request = request_id(from.getRequest()),
            .deaths = decode_deaths(from.getDeaths()),
            .run_within = microseconds(from.getRunWithinUs())};
}

void encode_answer(permit_answer const& from, schema::PermitAnswer::Builder to)
{
    to.setFingerprint(encode_digest(from.fingerprint));
    to.setRequest(from.request.value());
    to.setGranted(from.granted);
    encode_deaths(from.deaths, to.initDeaths(count_of(from.deaths)));
}

permit_answer decode_answer(schema::PermitAnswer::Reader from)
{
    return {.fingerprint = decode_digest(from.getFingerprint()),
            .request = request_id(from.getRequest()),
            .granted = from.getGranted(),
            .deaths = decode_deaths(from.getDeaths())};
}

void encode_end(permit_end const& from, schema::PermitEnd::Builder to)
{
    to.setFingerprint(encode_digest(from.fingerprint));
    to.setRequest(from.request.value());
}

permit_end decode_end(schema::PermitEnd::Reader from)
{
    return {decode_digest(from.getFingerprint()), request_id(from.getRequest())};
}

codec_registrar<suspect_notice, schema::SuspectNotice, &encode_notice, &decode_notice> const
    notice_entered{50};
codec_registrar<suspect_cleared, schema::SuspectCleared, &encode_cleared, &decode_cleared> const
    cleared_entered{51};
codec_registrar<permit_request, schema::PermitRequest, &encode_request, &decode_request> const
    request_entered{52};
codec_registrar<permit_answer, schema::PermitAnswer, &encode_answer, &decode_answer> const
    answer_entered{53};
codec_registrar<permit_end, schema::PermitEnd, &encode_end, &decode_end> const end_entered{54};

} // namespace

} // namespace mulberryrudder::wire
