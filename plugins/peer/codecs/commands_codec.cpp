#include "fleet_config_codec.hpp"
#include "release_note_codec.hpp"

#include <mulberryrudder/control/fleet_snapshot.hpp>
#include <mulberryrudder/wire/codec.hpp>

#include <stdexcept>

namespace mulberryrudder::wire
{

namespace
{

void encode_commit(control::commit_note const& from, schema::CommitNote::Builder to)
{
    encode_note(from.note, to.initNote());
    to.setContent(encode_digest(from.content));
}

control::commit_note decode_commit(schema::CommitNote::Reader from)
{
    return {.note = decode_note(from.getNote()), .content = decode_digest(from.getContent())};
}

void encode_key(control::move_key const& from, schema::MoveKey::Builder to)
{
    to.setRoute(from.route.value());
    to.setNote(from.note.value());
}

control::move_key decode_key(schema::MoveKey::Reader from)
{
    return {.route = route_id(decode_text(from.getRoute())), .note = note_number(from.getNote())};
}

void encode_step(control::step_move const& from, schema::StepMove::Builder to)
{
    encode_key(from.move, to.initMove());
    to.setShare(static_cast<std::uint16_t>(from.share.count()));
}

control::step_move decode_step(schema::StepMove::Reader from)
{
    return {.move = decode_key(from.getMove()), .share = per_mille(from.getShare())};
}

void encode_end(control::end_move const& from, schema::EndMove::Builder to)
{
    encode_key(from.move, to.initMove());
    to.setOutcome(static_cast<std::uint8_t>(from.outcome));
    to.setEvidence(from.evidence);
}

control::end_move decode_end(schema::EndMove::Reader from)
{
    if (from.getOutcome() > static_cast<std::uint8_t>(control::move_outcome::withdrawn))
        throw std::invalid_argument("an unknown outcome of a move");
    return {.move = decode_key(from.getMove()),
            .outcome = static_cast<control::move_outcome>(from.getOutcome()),
            .evidence = decode_text(from.getEvidence())};
}

void encode_draining(control::set_draining const& from, schema::SetDraining::Builder to)
{
    to.setInstance(from.instance.value());
    to.setDraining(from.draining);
}

control::set_draining decode_draining(schema::SetDraining::Reader from)
{
    return {.instance = instance_id(from.getInstance()), .draining = from.getDraining()};
}

void encode_quarantine(control::set_quarantine const& from, schema::SetQuarantine::Builder to)
{
    to.setFingerprint(encode_digest(from.fingerprint));
    to.setQuarantined(from.quarantined);
}

control::set_quarantine decode_quarantine(schema::SetQuarantine::Reader from)
{
    return {.fingerprint = decode_digest(from.getFingerprint()),
            .quarantined = from.getQuarantined()};
}

void encode_order(route_id const& route, control::move_order const& from,
                  schema::MoveOrder::Builder to)
{
    to.setRoute(route.value());
    encode_terms(from.terms, to.initTerms());
    to.setNote(from.note.value());
    to.setFrom(from.from.value());
    to.setSince(from.since.value());
}

control::move_order decode_order(schema::MoveOrder::Reader from)
{
    return {.terms = decode_terms(from.getTerms()),
            .note = note_number(from.getNote()),
            .from = version_id(decode_text(from.getFrom())),
            .since = generation_id(from.getSince())};
}

void encode_ended(control::ended_move const& from, schema::EndedMove::Builder to)
{
    encode_order(from.move.route, from.order, to.initOrder());
    encode_end({from.move, from.outcome, from.evidence}, to.initEnd());
    to.setEnded(from.ended.value());
}

control::ended_move decode_ended(schema::EndedMove::Reader from)
{
    auto end = decode_end(from.getEnd());
    return {.move = std::move(end.move),
            .order = decode_order(from.getOrder()),
            .outcome = end.outcome,
            .evidence = std::move(end.evidence),
            .ended = generation_id(from.getEnded())};
}

void encode_record(control::note_record const& from, schema::NoteRecord::Builder to)
{
    to.setNumber(from.number.value());
    to.setContent(encode_digest(from.content));
    to.setGeneration(from.generation.value());
    to.setComment(from.comment);
}

control::note_record decode_record(schema::NoteRecord::Reader from)
{
    return {.number = note_number(from.getNumber()),
            .content = decode_digest(from.getContent()),
            .generation = generation_id(from.getGeneration()),
            .comment = decode_text(from.getComment())};
}

void encode_snapshot(control::fleet_snapshot const& from, schema::FleetSnapshot::Builder to)
{
    encode_fleet_config(*from.plan.config, to.initConfig());
    unsigned n = 0;
    auto moves = to.initMoves(static_cast<unsigned>(from.plan.moves.size()));
    for (auto const& [route, it] : from.plan.moves)
        encode_order(route, it, moves[n++]);
    n = 0;
    auto notes = to.initNotes(static_cast<unsigned>(from.notes.size()));
    for (auto const& [number, it] : from.notes)
        encode_record(it, notes[n++]);
    to.setForgotten(from.forgotten.value());
    n = 0;
    auto ended = to.initEnded(static_cast<unsigned>(from.ended.size()));
    for (auto const& it : from.ended)
        encode_ended(it, ended[n++]);
}

control::fleet_snapshot decode_snapshot(schema::FleetSnapshot::Reader from)
{
    control::fleet_snapshot out;
    out.plan.config = decode_shared_fleet_config(from.getConfig());
    for (auto const it : from.getMoves())
        out.plan.moves.emplace(route_id(decode_text(it.getRoute())), decode_order(it));
    for (auto const it : from.getNotes())
        out.notes.emplace(note_number(it.getNumber()), decode_record(it));
    out.forgotten = note_number(from.getForgotten());
    for (auto const it : from.getEnded())
        out.ended.push_back(decode_ended(it));
    return out;
}

codec_registrar<control::commit_note, schema::CommitNote, &encode_commit, &decode_commit> const
    commit_entered{130};
codec_registrar<control::step_move, schema::StepMove, &encode_step, &decode_step> const
    step_entered{131};
codec_registrar<control::end_move, schema::EndMove, &encode_end, &decode_end> const end_entered{
    132};
codec_registrar<control::set_draining, schema::SetDraining, &encode_draining,
                &decode_draining> const draining_entered{133};
codec_registrar<control::set_quarantine, schema::SetQuarantine, &encode_quarantine,
                &decode_quarantine> const quarantine_entered{134};
codec_registrar<control::fleet_snapshot, schema::FleetSnapshot, &encode_snapshot,
                &decode_snapshot> const snapshot_entered{140};

} // namespace

} // namespace mulberryrudder::wire
