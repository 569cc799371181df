#include <targets.capnp.h>

#include <mulberryrudder/messages/targets.hpp>
#include <mulberryrudder/wire/codec.hpp>

#include <stdexcept>

namespace mulberryrudder
{

namespace
{

std::string text_of(capnp::Text::Reader from)
{
    return {from.cStr(), from.size()};
}

void encode_announcement(entry::announcement const& from, schema::TargetAnnouncement::Builder to)
{
    to.setId(from.id.value());
    to.setAddress(from.where.address);
    to.setPort(from.where.port);
    to.setDomain(from.domain.value());
    to.setVersion(from.version.value());
    auto routes = to.initRoutes(static_cast<unsigned>(from.routes.size()));
    unsigned n = 0;
    for (auto const& it : from.routes)
        routes.set(n++, it.value());
    to.setCapacity(from.capacity.count());
    to.setMostConnections(from.most_connections.count());
    to.setState(static_cast<std::uint8_t>(from.state));
    to.setHasLoad(from.load.has_value());
    if (!from.load)
        return;
    to.setBusy(from.load->busy.count());
    to.setTotal(from.load->total.count());
}

entry::target_state state_of(std::uint8_t from)
{
    if (from > static_cast<std::uint8_t>(entry::target_state::leaving))
        throw std::runtime_error("an announcement has an unknown state");
    return static_cast<entry::target_state>(from);
}

entry::announcement decode_announcement(schema::TargetAnnouncement::Reader from)
{
    entry::announcement out{
        .id = target_id(text_of(from.getId())),
        .where = {.address = text_of(from.getAddress()), .port = from.getPort()},
        .domain = domain_id(text_of(from.getDomain())),
        .version = version_id(text_of(from.getVersion())),
        .capacity = slots(from.getCapacity()),
        .most_connections = connections(from.getMostConnections()),
        .state = state_of(from.getState())};
    for (auto const it : from.getRoutes())
        out.routes.insert(route_id(text_of(it)));
    if (from.getHasLoad())
        out.load = entry::load_report{slots(from.getBusy()), slots(from.getTotal())};
    return out;
}

void encode_relay(messages::target_relay const& from, schema::TargetRelay::Builder to)
{
    to.setLeased(from.leased);
    auto heard = to.initHeard(static_cast<unsigned>(from.heard.size()));
    for (unsigned n = 0; n != from.heard.size(); ++n)
        encode_announcement(from.heard[n], heard[n]);
}

messages::target_relay decode_relay(schema::TargetRelay::Reader from)
{
    messages::target_relay out{.leased = from.getLeased()};
    for (auto const it : from.getHeard())
        out.heard.push_back(decode_announcement(it));
    return out;
}

wire::codec_registrar<messages::target_relay, schema::TargetRelay, &encode_relay,
                      &decode_relay> const entered{40};

} // namespace

} // namespace mulberryrudder
