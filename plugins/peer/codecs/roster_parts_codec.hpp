#ifndef MULBERRYRUDDER_PLUGINS_PEER_CODECS_ROSTER_PARTS_CODEC_HPP
#define MULBERRYRUDDER_PLUGINS_PEER_CODECS_ROSTER_PARTS_CODEC_HPP

#include <mulberryrudder/messages/roster.hpp>

#include <steering.capnp.h>

namespace mulberryrudder::wire
{

/// Writes and reads the structs that roster messages are made of. A decode throws
/// kj::Exception or std::exception for what no instance writes.
///
/// Thread safety: any thread, on distinct builders.
void encode(messages::target_notice const& from, schema::steering::TargetNotice::Builder to);
void encode(messages::version_outcomes const& from, schema::steering::Outcomes::Builder to);
void encode(messages::entry_notice const& from, schema::steering::EntryNotice::Builder to);
void encode(messages::departed_target const& from, schema::steering::DepartedTarget::Builder to);
void encode(messages::unchanged_target const& from, schema::steering::UnchangedTarget::Builder to);
void encode(messages::unchanged_entry const& from, schema::steering::UnchangedEntry::Builder to);

messages::target_notice decode(schema::steering::TargetNotice::Reader from);
messages::version_outcomes decode(schema::steering::Outcomes::Reader from);
messages::entry_notice decode(schema::steering::EntryNotice::Reader from);
messages::departed_target decode(schema::steering::DepartedTarget::Reader from);
messages::unchanged_target decode(schema::steering::UnchangedTarget::Reader from);
messages::unchanged_entry decode(schema::steering::UnchangedEntry::Reader from);

} // namespace mulberryrudder::wire

#endif
