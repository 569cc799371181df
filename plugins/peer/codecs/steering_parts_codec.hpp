#ifndef MULBERRYRUDDER_PLUGINS_PEER_CODECS_STEERING_PARTS_CODEC_HPP
#define MULBERRYRUDDER_PLUGINS_PEER_CODECS_STEERING_PARTS_CODEC_HPP

#include <mulberryrudder/messages/steering_difference.hpp>

#include <steering.capnp.h>

namespace mulberryrudder::wire
{

/// Writes and reads what steering commands, snapshots and roster messages share. A
/// decode throws kj::Exception or std::exception for what no instance writes.
///
/// Thread safety: any thread, on distinct builders.
void encode(service_share const& from, schema::steering::ServiceShare::Builder to);
void encode(plan_route const& from, schema::steering::Route::Builder to);
void encode(plan_service const& from, schema::steering::Service::Builder to);
void encode(plan_customer const& from, schema::steering::Customer::Builder to);
void encode(traffic_plan const& from, schema::steering::Plan::Builder to);

service_share decode(schema::steering::ServiceShare::Reader from);
plan_route decode(schema::steering::Route::Reader from);
plan_service decode(schema::steering::Service::Reader from);
plan_customer decode(schema::steering::Customer::Reader from);
traffic_plan decode(schema::steering::Plan::Reader from);

/// Writes a state; without the plan's source if `whole` is false.
void encode_state(steering_state const& from, bool whole, schema::steering::State::Builder to);
steering_state decode(schema::steering::State::Reader from);

void encode(messages::steering_difference const& from,
            schema::steering::StateDifference::Builder to);
messages::steering_difference decode(schema::steering::StateDifference::Reader from);

/// Reads a rollout's phase. Throws std::invalid_argument for an unknown one.
rollout_phase decode_phase(std::uint8_t from);

} // namespace mulberryrudder::wire

#endif
