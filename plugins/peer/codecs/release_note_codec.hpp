#ifndef MULBERRYRUDDER_PLUGINS_PEER_CODECS_RELEASE_NOTE_CODEC_HPP
#define MULBERRYRUDDER_PLUGINS_PEER_CODECS_RELEASE_NOTE_CODEC_HPP

#include <mulberryrudder/control/release_note.hpp>

#include <commands.capnp.h>

namespace mulberryrudder::wire
{

/// Writes a release note into its Cap'n Proto struct.
void encode_note(control::release_note const& from, schema::ReleaseNote::Builder to);

/// Reads a release note; throws as decode_fleet_config does.
control::release_note decode_note(schema::ReleaseNote::Reader from);

/// Writes and reads what a move is to do.
void encode_terms(control::move_terms const& from, schema::MoveTerms::Builder to);
control::move_terms decode_terms(schema::MoveTerms::Reader from);

} // namespace mulberryrudder::wire

#endif
