#include "fleet_config_codec.hpp"
#include "lease_parts_codec.hpp"
#include "list_codec.hpp"

#include <mulberryrudder/wire/codec.hpp>

#include <memory>

namespace mulberryrudder::wire
{

namespace
{

std::shared_ptr<messages::config_delta const> decode_shared(schema::ConfigDelta::Reader from)
{
    return std::make_shared<messages::config_delta const>(decode(from));
}

void encode_renew(messages::renew_request const& from, schema::RenewRequest::Builder to)
{
    to.setSequence(from.sequence.value());
    to.setBoot(from.boot.value());
    to.setHighestTerm(from.highest_term.value());
    to.setHeld(from.held.value());
    encode(from.self, to.initSelf());
    to.setStopping(from.stopping);
    encode_list(from.demand, to.initDemand(size_of(from.demand)));
    encode_list(from.observations, to.initObservations(size_of(from.observations)));
    encode_list(from.load, to.initLoad(size_of(from.load)));
    encode_digests(from.suspects, to.initSuspects(size_of(from.suspects)));
    to.setAccepted(from.accepted.value());
    to.setMembers(from.members.value());
    encode_ids(from.adopted, to.initAdopted(size_of(from.adopted)));
}

messages::renew_request decode_renew(schema::RenewRequest::Reader from)
{
    messages::renew_request out{.sequence = sequence_id(from.getSequence()),
                                .boot = boot_id(from.getBoot()),
                                .highest_term = term_id(from.getHighestTerm()),
                                .held = generation_id(from.getHeld()),
                                .self = decode(from.getSelf()),
                                .stopping = from.getStopping()};
    decode_list(from.getDemand(), out.demand);
    decode_list(from.getObservations(), out.observations);
    decode_list(from.getLoad(), out.load);
    decode_digests(from.getSuspects(), out.suspects);
    out.accepted = sequence_id(from.getAccepted());
    out.members = messages::member_version(from.getMembers());
    decode_ids(from.getAdopted(), out.adopted);
    return out;
}

void encode_grant(messages::lease_grant const& from, schema::LeaseGrant::Builder to)
{
    to.setSequence(from.sequence.value());
    to.setTerm(from.term.value());
    to.setValidFor(from.valid_for.count());
    to.setGeneration(from.generation.value());
    if (from.config)
        encode_fleet_config(*from.config, to.initConfig());
    if (from.delta)
        encode(*from.delta, to.initDelta());
    encode_list(from.slices, to.initSlices(size_of(from.slices)));
    encode_list(from.headroom, to.initHeadroom(size_of(from.headroom)));
    encode_list(from.members, to.initMembers(size_of(from.members)));
    encode_ids(from.adopted, to.initAdopted(size_of(from.adopted)));
    to.setMembersBase(from.members_base.value());
    to.setMembersNow(from.members_now.value());
    encode_ids(from.members_gone, to.initMembersGone(size_of(from.members_gone)));
    encode_list(from.free, to.initFree(size_of(from.free)));
}

messages::lease_grant decode_grant(schema::LeaseGrant::Reader from)
{
    messages::lease_grant out{.sequence = sequence_id(from.getSequence()),
                              .term = term_id(from.getTerm()),
                              .valid_for = microseconds(from.getValidFor()),
                              .generation = generation_id(from.getGeneration())};
    if (from.hasConfig())
        out.config = decode_shared_fleet_config(from.getConfig());
    if (from.hasDelta())
        out.delta = decode_shared(from.getDelta());
    decode_list(from.getSlices(), out.slices);
    decode_list(from.getHeadroom(), out.headroom);
    decode_list(from.getMembers(), out.members);
    decode_ids(from.getAdopted(), out.adopted);
    out.members_base = messages::member_version(from.getMembersBase());
    out.members_now = messages::member_version(from.getMembersNow());
    decode_ids(from.getMembersGone(), out.members_gone);
    decode_list(from.getFree(), out.free);
    return out;
}

void encode_not_leader(messages::not_leader const& from, schema::NotLeader::Builder to)
{
    to.setSequence(from.sequence.value());
    to.setTerm(from.term.value());
    to.setHasLeader(from.leader.has_value());
    if (from.leader)
        to.setLeader(from.leader->value());
}

messages::not_leader decode_not_leader(schema::NotLeader::Reader from)
{
    messages::not_leader out{.sequence = sequence_id(from.getSequence()),
                             .term = term_id(from.getTerm())};
    if (from.getHasLeader())
        out.leader = instance_id(from.getLeader());
    return out;
}

void encode_push(messages::config_push const& from, schema::ConfigPush::Builder to)
{
    to.setTerm(from.term.value());
    if (from.config)
        encode_fleet_config(*from.config, to.initConfig());
    if (from.delta)
        encode(*from.delta, to.initDelta());
    to.setRelay(from.relay);
}

messages::config_push decode_push(schema::ConfigPush::Reader from)
{
    messages::config_push out{.term = term_id(from.getTerm()), .relay = from.getRelay()};
    if (from.hasConfig())
        out.config = decode_shared_fleet_config(from.getConfig());
    if (from.hasDelta())
        out.delta = decode_shared(from.getDelta());
    return out;
}

void encode_borrow(messages::borrow_request const& from, schema::BorrowRequest::Builder to)
{
    to.setSequence(from.sequence.value());
    to.setCustomer(from.customer.value());
    to.setWanted(from.wanted.count());
    to.setBoot(from.boot.value());
    to.setNeeded(from.needed.count());
    to.setSettled(from.settled.value());
}

messages::borrow_request decode_borrow(schema::BorrowRequest::Reader from)
{
    return {.sequence = sequence_id(from.getSequence()),
            .customer = customer_id(decode_text(from.getCustomer())),
            .wanted = millitokens(from.getWanted()),
            .boot = boot_id(from.getBoot()),
            .needed = millitokens(from.getNeeded()),
            .settled = sequence_id(from.getSettled())};
}

void encode_loan(messages::borrow_grant const& from, schema::BorrowGrant::Builder to)
{
    to.setSequence(from.sequence.value());
    to.setTerm(from.term.value());
    to.setCustomer(from.customer.value());
    to.setLent(from.lent.count());
    to.setValidFor(from.valid_for.count());
}

messages::borrow_grant decode_loan(schema::BorrowGrant::Reader from)
{
    return {.sequence = sequence_id(from.getSequence()),
            .term = term_id(from.getTerm()),
            .customer = customer_id(decode_text(from.getCustomer())),
            .lent = millitokens(from.getLent()),
            .valid_for = microseconds(from.getValidFor())};
}

codec_registrar<messages::renew_request, schema::RenewRequest, &encode_renew, &decode_renew> const
    renew_entered{1};
codec_registrar<messages::lease_grant, schema::LeaseGrant, &encode_grant, &decode_grant> const
    grant_entered{2};
codec_registrar<messages::not_leader, schema::NotLeader, &encode_not_leader,
                &decode_not_leader> const not_leader_entered{3};
codec_registrar<messages::config_push, schema::ConfigPush, &encode_push, &decode_push> const
    push_entered{4};
codec_registrar<messages::borrow_request, schema::BorrowRequest, &encode_borrow,
                &decode_borrow> const borrow_entered{5};
codec_registrar<messages::borrow_grant, schema::BorrowGrant, &encode_loan, &decode_loan> const
    loan_entered{6};

} // namespace

} // namespace mulberryrudder::wire
