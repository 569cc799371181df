#ifndef MULBERRYRUDDER_PLUGINS_PEER_CODECS_LEASE_PARTS_CODEC_HPP
#define MULBERRYRUDDER_PLUGINS_PEER_CODECS_LEASE_PARTS_CODEC_HPP

#include <mulberryrudder/messages/lease.hpp>

#include <lease.capnp.h>

namespace mulberryrudder::wire
{

/// Writes and reads the structs that lease messages are made of. A decode throws
/// kj::Exception or std::exception for what no instance writes.
///
/// Thread safety: any thread, on distinct builders.
void encode(endpoint const& from, schema::Endpoint::Builder to);
void encode(instance_description const& from, schema::InstanceDescription::Builder to);
void encode(messages::config_delta const& from, schema::ConfigDelta::Builder to);
void encode(messages::customer_demand const& from, schema::CustomerDemand::Builder to);
void encode(messages::version_observation const& from, schema::VersionObservation::Builder to);
void encode(messages::domain_load const& from, schema::DomainLoad::Builder to);
void encode(messages::rate_slice const& from, schema::RateSlice::Builder to);
void encode(messages::headroom_grant const& from, schema::HeadroomGrant::Builder to);
void encode(messages::member const& from, schema::Member::Builder to);
void encode(messages::domain_free const& from, schema::DomainFree::Builder to);

endpoint decode(schema::Endpoint::Reader from);
instance_description decode(schema::InstanceDescription::Reader from);
messages::config_delta decode(schema::ConfigDelta::Reader from);
messages::customer_demand decode(schema::CustomerDemand::Reader from);
messages::version_observation decode(schema::VersionObservation::Reader from);
messages::domain_load decode(schema::DomainLoad::Reader from);
messages::rate_slice decode(schema::RateSlice::Reader from);
messages::headroom_grant decode(schema::HeadroomGrant::Reader from);
messages::member decode(schema::Member::Reader from);
messages::domain_free decode(schema::DomainFree::Reader from);

} // namespace mulberryrudder::wire

#endif
