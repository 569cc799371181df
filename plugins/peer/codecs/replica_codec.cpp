#include <mulberryrudder/messages/replica.hpp>
#include <mulberryrudder/wire/codec.hpp>
#include <mulberryrudder/wire/replica_records.hpp>

#include <stdexcept>

namespace mulberryrudder
{

namespace
{

namespace wired = schema::replica;
using namespace messages; // Each function below names two types of it.
using control::disk_id;
using wire::decode;
using wire::encode;

void encode_append(append_request const& from, wired::AppendRequest::Builder to)
{
    to.setTerm(from.term.value());
    to.setToDisk(from.to_disk.value());
    to.setRound(from.round.value());
    to.setPrevious(from.previous.value());
    to.setPreviousTerm(from.previous_term.value());
    auto entries = to.initEntries(static_cast<unsigned>(from.entries.size()));
    for (unsigned n = 0; n != entries.size(); ++n)
        encode(from.entries[n], entries[n]);
    to.setCommitted(from.committed.value());
}

append_request decode_append(wired::AppendRequest::Reader from)
{
    append_request out{.term = term_id(from.getTerm()),
                       .to_disk = disk_id(from.getToDisk()),
                       .round = round_id(from.getRound()),
                       .previous = log_index(from.getPrevious()),
                       .previous_term = term_id(from.getPreviousTerm()),
                       .committed = log_index(from.getCommitted())};
    for (auto const it : from.getEntries())
        out.entries.push_back(decode(it));
    return out;
}

void encode_append_reply(append_reply const& from, wired::AppendReply::Builder to)
{
    to.setTerm(from.term.value());
    to.setDisk(from.disk.value());
    to.setRound(from.round.value());
    to.setMatched(from.matched);
    to.setLast(from.last.value());
}

append_reply decode_append_reply(wired::AppendReply::Reader from)
{
    return {.term = term_id(from.getTerm()),
            .disk = disk_id(from.getDisk()),
            .round = round_id(from.getRound()),
            .matched = from.getMatched(),
            .last = log_index(from.getLast())};
}

void encode_round_received(round_received const& from, wired::RoundReceived::Builder to)
{
    to.setTerm(from.term.value());
    to.setDisk(from.disk.value());
    to.setRound(from.round.value());
}

round_received decode_round_received(wired::RoundReceived::Reader from)
{
    return {.term = term_id(from.getTerm()),
            .disk = disk_id(from.getDisk()),
            .round = round_id(from.getRound())};
}

void encode_vote(vote_request const& from, wired::VoteRequest::Builder to)
{
    to.setTerm(from.term.value());
    to.setToDisk(from.to_disk.value());
    to.setTrial(from.trial);
    to.setLast(from.last.value());
    to.setLastTerm(from.last_term.value());
    to.setHandedOver(from.handed_over);
}

vote_request decode_vote(wired::VoteRequest::Reader from)
{
    return {.term = term_id(from.getTerm()),
            .to_disk = disk_id(from.getToDisk()),
            .trial = from.getTrial(),
            .last = log_index(from.getLast()),
            .last_term = term_id(from.getLastTerm()),
            .handed_over = from.getHandedOver()};
}

void encode_handover(lead_handover const& from, wired::LeadHandover::Builder to)
{
    to.setTerm(from.term.value());
    to.setToDisk(from.to_disk.value());
}

lead_handover decode_handover(wired::LeadHandover::Reader from)
{
    return {.term = term_id(from.getTerm()), .to_disk = disk_id(from.getToDisk())};
}

void encode_stop_notice(stop_notice const&, wired::StopNotice::Builder) {}

stop_notice decode_stop_notice(wired::StopNotice::Reader)
{
    return {};
}

void encode_stop_permission(stop_permission const& from, wired::StopPermission::Builder to)
{
    to.setGranted(from.granted);
}

stop_permission decode_stop_permission(wired::StopPermission::Reader from)
{
    return {.granted = from.getGranted()};
}

void encode_vote_reply(vote_reply const& from, wired::VoteReply::Builder to)
{
    to.setTerm(from.term.value());
    to.setDisk(from.disk.value());
    to.setTrial(from.trial);
    to.setGranted(from.granted);
}

vote_reply decode_vote_reply(wired::VoteReply::Reader from)
{
    return {.term = term_id(from.getTerm()),
            .disk = disk_id(from.getDisk()),
            .trial = from.getTrial(),
            .granted = from.getGranted()};
}

void encode_start(start_request const& from, wired::StartRequest::Builder to)
{
    to.setDisk(from.disk.value());
    encode(from.starts, to.initStarts(static_cast<unsigned>(from.starts.size())));
    to.setGroup(from.group.value());
    to.setBlank(from.blank);
    to.setVotes(from.votes);
}

start_request decode_start(wired::StartRequest::Reader from)
{
    return {.disk = disk_id(from.getDisk()),
            .starts = decode(from.getStarts()),
            .group = control::group_id(from.getGroup()),
            .blank = from.getBlank(),
            .votes = from.getVotes()};
}

void encode_start_reply(start_reply const& from, wired::StartReply::Builder to)
{
    to.setNonce(from.nonce.value());
    to.setStanding(static_cast<std::uint8_t>(from.standing));
    to.setDisk(from.disk.value());
    to.setBlank(from.blank);
    to.setTerm(from.term.value());
    encode(from.members, to.initMembers());
}

start_standing decode_standing(std::uint8_t value)
{
    if (value > static_cast<std::uint8_t>(start_standing::foreign))
        throw std::runtime_error("unknown standing of a start");
    return static_cast<start_standing>(value);
}

start_reply decode_start_reply(wired::StartReply::Reader from)
{
    return {.nonce = control::start_nonce(from.getNonce()),
            .standing = decode_standing(from.getStanding()),
            .disk = disk_id(from.getDisk()),
            .blank = from.getBlank(),
            .term = term_id(from.getTerm()),
            .members = decode(from.getMembers())};
}

void encode_piece(snapshot_piece const& from, wired::SnapshotPiece::Builder to)
{
    to.setTerm(from.term.value());
    to.setToDisk(from.to_disk.value());
    to.setRound(from.round.value());
    to.setBaseTerm(from.base_term.value());
    to.setBaseIndex(from.base_index.value());
    encode(from.members, to.initMembers());
    to.setPosition(from.position);
    to.setCount(from.count);
    encode(from.part, to.initPart());
}

snapshot_piece decode_piece(wired::SnapshotPiece::Reader from)
{
    return {.term = term_id(from.getTerm()),
            .to_disk = disk_id(from.getToDisk()),
            .round = round_id(from.getRound()),
            .base_term = term_id(from.getBaseTerm()),
            .base_index = log_index(from.getBaseIndex()),
            .members = decode(from.getMembers()),
            .position = from.getPosition(),
            .count = from.getCount(),
            .part = decode(from.getPart())};
}

void encode_piece_reply(snapshot_reply const& from, wired::SnapshotReply::Builder to)
{
    to.setTerm(from.term.value());
    to.setDisk(from.disk.value());
    to.setRound(from.round.value());
    to.setBaseIndex(from.base_index.value());
    to.setNext(from.next);
    to.setInstalled(from.installed);
}

snapshot_reply decode_piece_reply(wired::SnapshotReply::Reader from)
{
    return {.term = term_id(from.getTerm()),
            .disk = disk_id(from.getDisk()),
            .round = round_id(from.getRound()),
            .base_index = log_index(from.getBaseIndex()),
            .next = from.getNext(),
            .installed = from.getInstalled()};
}

void encode_opened(term_opened const&, wired::TermOpened::Builder) {}

term_opened decode_opened(wired::TermOpened::Reader)
{
    return {};
}

void encode_membership(membership_changed const& from, wired::MembershipChanged::Builder to)
{
    encode(from.members, to.initMembers());
}

membership_changed decode_membership(wired::MembershipChanged::Reader from)
{
    return {.members = decode(from.getMembers())};
}

template <class T, class Wire, auto encode_it, auto decode_it>
using registrar = wire::codec_registrar<T, Wire, encode_it, decode_it>;

registrar<append_request, wired::AppendRequest, &encode_append, &decode_append> const append{100};
registrar<append_reply, wired::AppendReply, &encode_append_reply, &decode_append_reply> const
    append_answer{101};
registrar<vote_request, wired::VoteRequest, &encode_vote, &decode_vote> const vote{102};
registrar<vote_reply, wired::VoteReply, &encode_vote_reply, &decode_vote_reply> const vote_answer{
    103};
registrar<start_request, wired::StartRequest, &encode_start, &decode_start> const start{104};
registrar<start_reply, wired::StartReply, &encode_start_reply, &decode_start_reply> const
    start_answer{105};
registrar<snapshot_piece, wired::SnapshotPiece, &encode_piece, &decode_piece> const piece{106};
registrar<snapshot_reply, wired::SnapshotReply, &encode_piece_reply, &decode_piece_reply> const
    piece_answer{107};
registrar<term_opened, wired::TermOpened, &encode_opened, &decode_opened> const opened{108};
registrar<membership_changed, wired::MembershipChanged, &encode_membership,
          &decode_membership> const membership{109};

registrar<round_received, wired::RoundReceived, &encode_round_received,
          &decode_round_received> const round_notice{110};
registrar<lead_handover, wired::LeadHandover, &encode_handover, &decode_handover> const handover{
    111};
registrar<stop_notice, wired::StopNotice, &encode_stop_notice, &decode_stop_notice> const stop{112};
registrar<stop_permission, wired::StopPermission, &encode_stop_permission,
          &decode_stop_permission> const stop_answer{113};

} // namespace

} // namespace mulberryrudder
