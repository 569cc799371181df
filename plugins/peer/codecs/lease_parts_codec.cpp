#include "lease_parts_codec.hpp"

#include "fleet_config_codec.hpp"
#include "list_codec.hpp"

#include <stdexcept>

namespace mulberryrudder::wire
{

namespace
{

/// Refuses amounts below zero: arithmetic on them could make tokens.
template <class Quantity>
Quantity amount(std::int64_t count)
{
    if (count < 0)
        throw std::invalid_argument("an amount below zero");
    return Quantity(count);
}

} // namespace

void encode(endpoint const& from, schema::Endpoint::Builder to)
{
    to.setAddress(from.address);
    to.setPort(from.port);
}

endpoint decode(schema::Endpoint::Reader from)
{
    return {.address = decode_text(from.getAddress()), .port = from.getPort()};
}

void encode(instance_description const& from, schema::InstanceDescription::Builder to)
{
    to.setId(from.id.value());
    to.setRegion(from.region.value());
    to.setDomain(from.domain.value());
    encode(from.peer, to.initPeer());
    encode(from.caller, to.initCaller());
}

instance_description decode(schema::InstanceDescription::Reader from)
{
    return {.id = instance_id(from.getId()),
            .region = region_id(decode_text(from.getRegion())),
            .domain = domain_id(decode_text(from.getDomain())),
            .peer = decode(from.getPeer()),
            .caller = decode(from.getCaller())};
}

void encode(messages::config_delta const& from, schema::ConfigDelta::Builder to)
{
    to.setBase(from.base.value());
    encode_fleet_config(from.changed, to.initChanged());
    encode_ids(from.customers_gone, to.initCustomersGone(size_of(from.customers_gone)));
    encode_ids(from.routes_gone, to.initRoutesGone(size_of(from.routes_gone)));
    auto links = to.initLinkCapsGone(size_of(from.link_caps_gone));
    unsigned n = 0;
    for (auto const& it : from.link_caps_gone)
    {
        auto link = links[n++];
        link.setFrom(it.from.value());
        link.setTo(it.to.value());
    }
    encode_digests(from.quarantine_lifted,
                   to.initQuarantineLifted(size_of(from.quarantine_lifted)));
    encode_ids(from.draining_ended, to.initDrainingEnded(size_of(from.draining_ended)));
}

messages::config_delta decode(schema::ConfigDelta::Reader from)
{
    messages::config_delta out{.base = generation_id(from.getBase()),
                               .changed = decode_fleet_config(from.getChanged())};
    decode_ids(from.getCustomersGone(), out.customers_gone);
    decode_ids(from.getRoutesGone(), out.routes_gone);
    for (auto const it : from.getLinkCapsGone())
        out.link_caps_gone.push_back(
            {region_id(decode_text(it.getFrom())), region_id(decode_text(it.getTo()))});
    decode_digests(from.getQuarantineLifted(), out.quarantine_lifted);
    decode_ids(from.getDrainingEnded(), out.draining_ended);
    return out;
}

void encode(messages::customer_demand const& from, schema::CustomerDemand::Builder to)
{
    to.setCustomer(from.customer.value());
    to.setWanted(from.wanted.count());
    to.setHeldRate(from.held_rate.count());
    to.setHeldBurst(from.held_burst.count());
    to.setReturned(from.returned.count());
}

messages::customer_demand decode(schema::CustomerDemand::Reader from)
{
    return {.customer = customer_id(decode_text(from.getCustomer())),
            .wanted = amount<millitokens_per_second>(from.getWanted()),
            .held_rate = amount<millitokens_per_second>(from.getHeldRate()),
            .held_burst = amount<millitokens>(from.getHeldBurst()),
            .returned = amount<millitokens>(from.getReturned())};
}

void encode(messages::version_observation const& from, schema::VersionObservation::Builder to)
{
    to.setRoute(from.route.value());
    to.setVersion(from.version.value());
    to.setAnswered(from.answered.count());
    to.setFailed(from.failed.count());
    to.setLatencySum(from.latency_sum.count());
    to.setLatencyWorst(from.latency_worst.count());
    to.setTripped(from.tripped);
}

messages::version_observation decode(schema::VersionObservation::Reader from)
{
    return {.route = route_id(decode_text(from.getRoute())),
            .version = version_id(decode_text(from.getVersion())),
            .answered = amount<requests>(from.getAnswered()),
            .failed = amount<requests>(from.getFailed()),
            .latency_sum = microseconds(from.getLatencySum()),
            .latency_worst = microseconds(from.getLatencyWorst()),
            .tripped = from.getTripped()};
}

void encode(messages::domain_load const& from, schema::DomainLoad::Builder to)
{
    to.setDomain(from.domain.value());
    to.setUsable(from.usable.count());
    to.setBusy(from.busy.count());
}

messages::domain_load decode(schema::DomainLoad::Reader from)
{
    return {.domain = domain_id(decode_text(from.getDomain())),
            .usable = amount<slots>(from.getUsable()),
            .busy = amount<slots>(from.getBusy())};
}

void encode(messages::rate_slice const& from, schema::RateSlice::Builder to)
{
    to.setCustomer(from.customer.value());
    to.setRate(from.rate.count());
    to.setBurst(from.burst.count());
    to.setInitial(from.initial.count());
}

messages::rate_slice decode(schema::RateSlice::Reader from)
{
    return {.customer = customer_id(decode_text(from.getCustomer())),
            .rate = amount<millitokens_per_second>(from.getRate()),
            .burst = amount<millitokens>(from.getBurst()),
            .initial = amount<millitokens>(from.getInitial())};
}

void encode(messages::headroom_grant const& from, schema::HeadroomGrant::Builder to)
{
    to.setTo(from.to.value());
    to.setRunning(from.running.count());
}

messages::headroom_grant decode(schema::HeadroomGrant::Reader from)
{
    return {.to = domain_id(decode_text(from.getTo())),
            .running = amount<slots>(from.getRunning())};
}

void encode(messages::member const& from, schema::Member::Builder to)
{
    encode(from.where, to.initWhere());
    to.setLive(from.live);
    to.setStopping(from.stopping);
}

messages::member decode(schema::Member::Reader from)
{
    return {
        .where = decode(from.getWhere()), .live = from.getLive(), .stopping = from.getStopping()};
}

void encode(messages::domain_free const& from, schema::DomainFree::Builder to)
{
    to.setDomain(from.domain.value());
    to.setFree(from.free.count());
}

messages::domain_free decode(schema::DomainFree::Reader from)
{
    return {.domain = domain_id(decode_text(from.getDomain())),
            .free = amount<slots>(from.getFree())};
}

} // namespace mulberryrudder::wire
