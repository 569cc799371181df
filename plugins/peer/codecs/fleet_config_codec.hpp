#ifndef MULBERRYRUDDER_PLUGINS_PEER_CODECS_FLEET_CONFIG_CODEC_HPP
#define MULBERRYRUDDER_PLUGINS_PEER_CODECS_FLEET_CONFIG_CODEC_HPP

#include <mulberryrudder/core/fleet_config.hpp>

#include <config.capnp.h>
#include <memory>

namespace mulberryrudder::wire
{

/// Writes a configuration into its Cap'n Proto struct.
///
/// Thread safety: any thread, on distinct builders.
void encode_fleet_config(fleet_config const& from, schema::FleetConfig::Builder to);

/// Reads a configuration. Throws std::invalid_argument for a digest of another
/// length than 32 bytes or a share above the whole, kj::Exception for a broken message.
///
/// Thread safety: any thread.
fleet_config decode_fleet_config(schema::FleetConfig::Reader from);

/// The same as a shared, immutable object, as messages carry it.
std::shared_ptr<fleet_config const> decode_shared_fleet_config(schema::FleetConfig::Reader from);

/// Writes and reads the parts of a configuration that release notes carry too.
void encode_customer(customer_id const& id, customer_config const& from,
                     schema::CustomerConfig::Builder to);
customer_config decode_customer(schema::CustomerConfig::Reader from);
void encode_route(route_id const& id, route_config const& from, schema::RouteConfig::Builder to);
route_config decode_route(schema::RouteConfig::Reader from);
void encode_link(link_id const& id, bytes_per_second cap, schema::LinkCap::Builder to);
link_id decode_link(schema::LinkCap::Reader from);
void encode_digests(std::set<digest> const& from, capnp::List<capnp::Data>::Builder to);
std::set<digest> decode_digests(capnp::List<capnp::Data>::Reader from);

/// Reads a SHA-256 digest; throws std::invalid_argument unless it is 32 bytes long.
digest decode_digest(capnp::Data::Reader from);

/// Returns the digest's bytes as Cap'n Proto data; it must outlive the view.
capnp::Data::Reader encode_digest(digest const& from);

/// Returns a text of a message.
std::string decode_text(capnp::Text::Reader from);

} // namespace mulberryrudder::wire

#endif
