#include "fleet_config_codec.hpp"

#include <algorithm>
#include <stdexcept>

namespace mulberryrudder::wire
{

namespace
{

void encode_links(fleet_config const& from, schema::FleetConfig::Builder to)
{
    auto links = to.initLinkCaps(static_cast<unsigned>(from.link_caps.size()));
    unsigned n = 0;
    for (auto const& [id, cap] : from.link_caps)
        encode_link(id, cap, links[n++]);
}

void encode_draining(fleet_config const& from, schema::FleetConfig::Builder to)
{
    auto draining = to.initDraining(static_cast<unsigned>(from.draining.size()));
    unsigned n = 0;
    for (auto const& it : from.draining)
        draining.set(n++, it.value());
}

} // namespace

void encode_digests(std::set<digest> const& from, capnp::List<capnp::Data>::Builder to)
{
    unsigned n = 0;
    for (auto const& it : from)
        to.set(n++, encode_digest(it));
}

std::set<digest> decode_digests(capnp::List<capnp::Data>::Reader from)
{
    std::set<digest> out;
    for (auto const it : from)
        out.insert(decode_digest(it));
    return out;
}

void encode_customer(customer_id const& id, customer_config const& from,
                     schema::CustomerConfig::Builder to)
{
    to.setId(id.value());
    to.setRate(from.rate.count());
    to.setBurst(from.burst.count());
    to.setHome(from.home.value());
    encode_digests(from.keys, to.initKeys(static_cast<unsigned>(from.keys.size())));
}

customer_config decode_customer(schema::CustomerConfig::Reader from)
{
    return {.rate = millitokens_per_second(from.getRate()),
            .burst = millitokens(from.getBurst()),
            .home = region_id(decode_text(from.getHome())),
            .keys = decode_digests(from.getKeys())};
}

void encode_route(route_id const& id, route_config const& from, schema::RouteConfig::Builder to)
{
    to.setId(id.value());
    to.setOpen(from.open);
    to.setIdempotent(from.idempotent);
    auto customers = to.initCustomers(static_cast<unsigned>(from.customers.size()));
    unsigned n = 0;
    for (auto const& it : from.customers)
        customers.set(n++, it.value());
    to.setVersion(from.version.value());
    to.setNext(from.next.value());
    to.setNextShare(static_cast<std::uint16_t>(from.next_share.count()));
}

route_config decode_route(schema::RouteConfig::Reader from)
{
    if (from.getNextShare() > whole_share.count())
        throw std::invalid_argument("a share above the whole");
    route_config out{.open = from.getOpen(),
                     .idempotent = from.getIdempotent(),
                     .customers = {},
                     .version = version_id(decode_text(from.getVersion())),
                     .next = version_id(decode_text(from.getNext())),
                     .next_share = per_mille(from.getNextShare())};
    for (auto const it : from.getCustomers())
        out.customers.insert(customer_id(decode_text(it)));
    return out;
}

void encode_link(link_id const& id, bytes_per_second cap, schema::LinkCap::Builder to)
{
    to.setFrom(id.from.value());
    to.setTo(id.to.value());
    to.setCap(cap.count());
}

link_id decode_link(schema::LinkCap::Reader from)
{
    return {region_id(decode_text(from.getFrom())), region_id(decode_text(from.getTo()))};
}

digest decode_digest(capnp::Data::Reader from)
{
    digest out;
    if (from.size() != out.bytes.size())
        throw std::invalid_argument("a digest of another length than 32 bytes");
    std::copy(from.begin(), from.end(), out.bytes.begin());
    return out;
}

capnp::Data::Reader encode_digest(digest const& from)
{
    return {from.bytes.data(), from.bytes.size()};
}

std::string decode_text(capnp::Text::Reader from)
{
    return {from.begin(), from.size()};
}

void encode_fleet_config(fleet_config const& from, schema::FleetConfig::Builder to)
{
    to.setGeneration(from.generation.value());
    unsigned n = 0;
    auto customers = to.initCustomers(static_cast<unsigned>(from.customers.size()));
    for (auto const& [id, it] : from.customers)
        encode_customer(id, it, customers[n++]);
    n = 0;
    auto routes = to.initRoutes(static_cast<unsigned>(from.routes.size()));
    for (auto const& [id, it] : from.routes)
        encode_route(id, it, routes[n++]);
    encode_links(from, to);
    encode_digests(from.quarantined,
                   to.initQuarantined(static_cast<unsigned>(from.quarantined.size())));
    encode_draining(from, to);
}

fleet_config decode_fleet_config(schema::FleetConfig::Reader from)
{
    fleet_config out{.generation = generation_id(from.getGeneration())};
    for (auto const it : from.getCustomers())
        out.customers.emplace(customer_id(decode_text(it.getId())), decode_customer(it));
    for (auto const it : from.getRoutes())
        out.routes.emplace(route_id(decode_text(it.getId())), decode_route(it));
    for (auto const it : from.getLinkCaps())
        out.link_caps.emplace(decode_link(it), bytes_per_second(it.getCap()));
    out.quarantined = decode_digests(from.getQuarantined());
    for (auto const it : from.getDraining())
        out.draining.insert(instance_id(it));
    return out;
}

std::shared_ptr<fleet_config const> decode_shared_fleet_config(schema::FleetConfig::Reader from)
{
    return std::make_shared<fleet_config const>(decode_fleet_config(from));
}

} // namespace mulberryrudder::wire
