#ifndef MULBERRYRUDDER_WIRE_REPLICA_RECORDS_HPP
#define MULBERRYRUDDER_WIRE_REPLICA_RECORDS_HPP

#include <mulberryrudder/control/log_types.hpp>

#include <replica.capnp.h>

namespace mulberryrudder::wire
{

/// Encoders and decoders of what the control group's messages and its disk records
/// share. Decoders throw kj::Exception or std::runtime_error on malformed input,
/// encoders std::logic_error if a command's type has no codec.
///
/// Thread safety: any thread, after main started.

void encode(any_message const& from, schema::replica::Command::Builder to);
any_message decode(schema::replica::Command::Reader from);

void encode(control::log_entry const& from, schema::replica::LogEntry::Builder to);
control::log_entry decode(schema::replica::LogEntry::Reader from);

void encode(control::group_membership const& from, schema::replica::GroupMembership::Builder to);
control::group_membership decode(schema::replica::GroupMembership::Reader from);

void encode(control::start_record const& from, schema::replica::StartRecord::Builder to);
control::start_record decode(schema::replica::StartRecord::Reader from);

void encode(std::vector<control::start_nonce> const& from, capnp::List<std::uint64_t>::Builder to);
std::vector<control::start_nonce> decode(capnp::List<std::uint64_t>::Reader from);

void encode(control::hard_state const& from, schema::replica::HardState::Builder to);
control::hard_state decode(schema::replica::HardState::Reader from);

void encode(control::snapshot const& from, schema::replica::Snapshot::Builder to);
control::snapshot decode(schema::replica::Snapshot::Reader from);

} // namespace mulberryrudder::wire

#endif
