#include <mulberryrudder/wire/codec.hpp>
#include <mulberryrudder/wire/replica_records.hpp>

#include <stdexcept>
#include <string>

namespace mulberryrudder::wire
{

namespace
{

void encode(endpoint const& from, schema::replica::Endpoint::Builder to)
{
    to.setAddress(from.address);
    to.setPort(from.port);
}

endpoint decode(schema::replica::Endpoint::Reader from)
{
    return {.address = from.getAddress().cStr(), .port = from.getPort()};
}

control::voter decode(schema::replica::Voter::Reader from)
{
    return {.id = instance_id(from.getId()),
            .disk = control::disk_id(from.getDisk()),
            .peer = decode(from.getPeer())};
}

control::replacement decode(schema::replica::Replacement::Reader from)
{
    return {.leaving = instance_id(from.getLeaving()),
            .joining = instance_id(from.getJoining()),
            .peer = decode(from.getPeer())};
}

unsigned list_size(std::size_t n)
{
    return static_cast<unsigned>(n);
}

} // namespace

void encode(any_message const& from, schema::replica::Command::Builder to)
{
    if (from.type() == typeid(void))
        return;
    auto const* const codec = find_codec(from.type());
    if (codec == nullptr)
        throw std::logic_error(std::string("no codec for command ") + from.type().name());
    to.setKind(codec->kind.value());
    codec->encode(from, to.getBody());
}

any_message decode(schema::replica::Command::Reader from)
{
    if (from.getKind() == 0)
        return {};
    auto const* const codec = find_codec(message_kind(from.getKind()));
    if (codec == nullptr)
        throw std::runtime_error("no codec for command kind " + std::to_string(from.getKind()));
    return codec->decode(from.getBody());
}

void encode(control::log_entry const& from, schema::replica::LogEntry::Builder to)
{
    to.setTerm(from.term.value());
    to.setIndex(from.index.value());
    encode(from.command, to.initCommand());
}

control::log_entry decode(schema::replica::LogEntry::Reader from)
{
    return {.term = term_id(from.getTerm()),
            .index = log_index(from.getIndex()),
            .command = decode(from.getCommand())};
}

void encode(control::group_membership const& from, schema::replica::GroupMembership::Builder to)
{
    to.setGroup(from.group.value());
    auto voters = to.initVoters(list_size(from.voters.size()));
    for (unsigned n = 0; n != voters.size(); ++n)
    {
        voters[n].setId(from.voters[n].id.value());
        voters[n].setDisk(from.voters[n].disk.value());
        encode(from.voters[n].peer, voters[n].initPeer());
    }
    auto pending = to.initPending(list_size(from.pending.size()));
    for (unsigned n = 0; n != pending.size(); ++n)
    {
        pending[n].setLeaving(from.pending[n].leaving.value());
        pending[n].setJoining(from.pending[n].joining.value());
        encode(from.pending[n].peer, pending[n].initPeer());
    }
}

control::group_membership decode(schema::replica::GroupMembership::Reader from)
{
    control::group_membership out{.group = control::group_id(from.getGroup())};
    for (auto const it : from.getVoters())
        out.voters.push_back(decode(it));
    for (auto const it : from.getPending())
        out.pending.push_back(decode(it));
    return out;
}

void encode(control::start_record const& from, schema::replica::StartRecord::Builder to)
{
    to.setInstance(from.instance.value());
    to.setDisk(from.disk.value());
    to.setNonce(from.nonce.value());
}

control::start_record decode(schema::replica::StartRecord::Reader from)
{
    return {.instance = instance_id(from.getInstance()),
            .disk = control::disk_id(from.getDisk()),
            .nonce = control::start_nonce(from.getNonce())};
}

void encode(std::vector<control::start_nonce> const& from, capnp::List<std::uint64_t>::Builder to)
{
    for (unsigned n = 0; n != to.size(); ++n)
        to.set(n, from[n].value());
}

std::vector<control::start_nonce> decode(capnp::List<std::uint64_t>::Reader from)
{
    std::vector<control::start_nonce> out;
    for (auto const it : from)
        out.emplace_back(it);
    return out;
}

void encode(control::hard_state const& from, schema::replica::HardState::Builder to)
{
    to.setTerm(from.term.value());
    to.setVotedFor(from.voted_for ? from.voted_for->value() : 0);
    to.setDisk(from.disk.value());
    encode(from.own_starts, to.initOwnStarts(list_size(from.own_starts.size())));
    auto starts = to.initStarts(list_size(from.starts.size()));
    for (unsigned n = 0; n != starts.size(); ++n)
        encode(from.starts[n], starts[n]);
}

control::hard_state decode(schema::replica::HardState::Reader from)
{
    control::hard_state out{.term = term_id(from.getTerm()),
                            .disk = control::disk_id(from.getDisk()),
                            .own_starts = decode(from.getOwnStarts())};
    if (from.getVotedFor() != 0)
        out.voted_for = instance_id(from.getVotedFor());
    for (auto const it : from.getStarts())
        out.starts.push_back(decode(it));
    return out;
}

void encode(control::snapshot const& from, schema::replica::Snapshot::Builder to)
{
    to.setTerm(from.term.value());
    to.setIndex(from.index.value());
    encode(from.members, to.initMembers());
    auto parts = to.initParts(list_size(from.parts.size()));
    for (unsigned n = 0; n != parts.size(); ++n)
        encode(from.parts[n], parts[n]);
}

control::snapshot decode(schema::replica::Snapshot::Reader from)
{
    control::snapshot out{.term = term_id(from.getTerm()),
                          .index = log_index(from.getIndex()),
                          .members = decode(from.getMembers())};
    for (auto const it : from.getParts())
        out.parts.push_back(decode(it));
    return out;
}

} // namespace mulberryrudder::wire
