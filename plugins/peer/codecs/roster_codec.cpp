#include "lease_parts_codec.hpp"
#include "roster_parts_codec.hpp"
#include "steering_parts_codec.hpp"

#include "fleet_config_codec.hpp"
#include "list_codec.hpp"

#include <mulberryrudder/messages/roster.hpp>
#include <mulberryrudder/wire/codec.hpp>

#include <algorithm>
#include <stdexcept>

namespace mulberryrudder::wire
{

using namespace schema::steering;

namespace
{

messages::target_standing decode_standing(std::uint8_t from)
{
    if (from > static_cast<std::uint8_t>(messages::target_standing::gone))
        throw std::invalid_argument("an unknown standing of a target");
    return static_cast<messages::target_standing>(from);
}

} // namespace

void encode(messages::target_notice const& from, TargetNotice::Builder to)
{
    to.setId(from.id.value());
    to.setStart(from.start.value());
    to.setSequence(from.sequence.value());
    to.setService(from.service.value());
    encode(from.where, to.initWhere());
    to.setDomain(from.domain.value());
    to.setVersion(from.version.value());
    to.setCapacity(from.capacity.count());
    to.setStanding(static_cast<std::uint8_t>(from.standing));
    to.setColdForMs(from.cold_for.count());
    to.setAgeMs(from.age.count());
}

messages::target_notice decode(TargetNotice::Reader from)
{
    return {.id = target_id(decode_text(from.getId())),
            .start = start_id(from.getStart()),
            .sequence = sequence_id(from.getSequence()),
            .service = service_id(decode_text(from.getService())),
            .where = decode(from.getWhere()),
            .domain = domain_id(decode_text(from.getDomain())),
            .version = version_id(decode_text(from.getVersion())),
            .capacity = slots(from.getCapacity()),
            .standing = decode_standing(from.getStanding()),
            .cold_for = milliseconds(from.getColdForMs()),
            .age = milliseconds(from.getAgeMs())};
}

void encode(messages::version_outcomes const& from, Outcomes::Builder to)
{
    to.setService(from.service.value());
    to.setRollout(from.rollout.value());
    to.setVersion(from.version.value());
    to.setAnswered(from.answered);
    to.setFailed(from.failed);
    to.setBroken(from.broken);
    to.setLate(from.late);
}

messages::version_outcomes decode(Outcomes::Reader from)
{
    return {.service = service_id(decode_text(from.getService())),
            .rollout = version_id(decode_text(from.getRollout())),
            .version = version_id(decode_text(from.getVersion())),
            .answered = from.getAnswered(),
            .failed = from.getFailed(),
            .broken = from.getBroken(),
            .late = from.getLate()};
}

void encode(messages::entry_notice const& from, EntryNotice::Builder to)
{
    encode(from.who, to.initWho());
    to.setBoot(from.boot.value());
    to.setSequence(from.sequence.value());
    to.setReady(from.ready);
    to.setAgeMs(from.age.count());
    to.setPartInUse(static_cast<std::uint32_t>(from.part_in_use.count()));
    encode_list(from.outcomes, to.initOutcomes(size_of(from.outcomes)));
}

messages::entry_notice decode(EntryNotice::Reader from)
{
    messages::entry_notice out{.who = decode(from.getWho()),
                               .boot = boot_id(from.getBoot()),
                               .sequence = sequence_id(from.getSequence()),
                               .ready = from.getReady(),
                               .age = milliseconds(from.getAgeMs()),
                               .part_in_use = per_mille(from.getPartInUse()),
                               .outcomes = {}};
    decode_list(from.getOutcomes(), out.outcomes);
    return out;
}

void encode(messages::departed_target const& from, DepartedTarget::Builder to)
{
    to.setId(from.id.value());
    to.setStart(from.start.value());
}

void encode(messages::unchanged_target const& from, UnchangedTarget::Builder to)
{
    to.setId(from.id.value());
    to.setStart(from.start.value());
    to.setSequence(from.sequence.value());
}

messages::unchanged_target decode(UnchangedTarget::Reader from)
{
    return {.id = target_id(decode_text(from.getId())),
            .start = start_id(from.getStart()),
            .sequence = sequence_id(from.getSequence())};
}

void encode(messages::unchanged_entry const& from, UnchangedEntry::Builder to)
{
    to.setId(from.id.value());
    to.setBoot(from.boot.value());
}

messages::unchanged_entry decode(UnchangedEntry::Reader from)
{
    return {.id = instance_id(from.getId()), .boot = boot_id(from.getBoot())};
}

messages::departed_target decode(DepartedTarget::Reader from)
{
    return {.id = target_id(decode_text(from.getId())), .start = start_id(from.getStart())};
}

namespace
{

/// Sets the two fields of an age that may be missing.
template <class Builder>
void encode_confirmed_age(std::optional<milliseconds> const& from, Builder& to)
{
    to.setConfirmed(from.has_value());
    to.setConfirmedAgeMs(from.value_or(milliseconds(0)).count());
}

template <class Reader>
std::optional<milliseconds> decode_confirmed_age(Reader const& from)
{
    if (!from.getConfirmed())
        return std::nullopt;
    return milliseconds(from.getConfirmedAgeMs());
}

void encode_exchange(messages::roster_exchange const& from, Exchange::Builder to)
{
    encode(from.who, to.initWho());
    encode(from.operators, to.initOperators());
    to.setLeads(from.leads);
    to.setGeneration(from.generation.value());
    to.setWantsSteering(from.wants_steering);
    to.setHasSteering(from.steering != nullptr);
    if (from.steering)
        encode_state(*from.steering, true, to.initSteering());
    to.setBoot(from.boot.value());
    to.setNumber(from.number.value());
    to.setAcknowledgedBoot(from.acknowledged_boot.value());
    to.setAcknowledged(from.acknowledged.value());
    encode_list(from.targets, to.initTargets(size_of(from.targets)));
    to.setWantsTargets(from.wants_targets);
    to.setHasAllTargets(from.has_all_targets);
    to.setMissedNotices(from.missed_notices);
    to.setIntact(from.intact);
    to.setKeepsLeaves(from.keeps_leaves);
    to.setKept(from.kept.value());
    encode_confirmed_age(from.confirmed_age, to);
    encode_list(from.entries, to.initEntries(size_of(from.entries)));
    encode_list(from.control, to.initControl(size_of(from.control)));
    encode_ids(from.heard, to.initHeard(size_of(from.heard)));
    encode_list(from.unchanged_targets, to.initUnchangedTargets(size_of(from.unchanged_targets)));
    encode_list(from.unchanged_entries, to.initUnchangedEntries(size_of(from.unchanged_entries)));
}

messages::roster_exchange decode_exchange(Exchange::Reader from)
{
    messages::roster_exchange out{.who = decode(from.getWho()),
                                  .operators = decode(from.getOperators()),
                                  .leads = from.getLeads(),
                                  .generation = generation_id(from.getGeneration()),
                                  .wants_steering = from.getWantsSteering(),
                                  .steering = nullptr,
                                  .boot = boot_id(from.getBoot()),
                                  .number = sequence_id(from.getNumber()),
                                  .acknowledged_boot = boot_id(from.getAcknowledgedBoot()),
                                  .acknowledged = sequence_id(from.getAcknowledged()),
                                  .targets = {},
                                  .unchanged_targets = {},
                                  .wants_targets = from.getWantsTargets(),
                                  .has_all_targets = from.getHasAllTargets(),
                                  .missed_notices = from.getMissedNotices(),
                                  .intact = from.getIntact(),
                                  .keeps_leaves = from.getKeepsLeaves(),
                                  .kept = sequence_id(from.getKept()),
                                  .confirmed_age = decode_confirmed_age(from),
                                  .entries = {},
                                  .unchanged_entries = {},
                                  .control = {},
                                  .heard = {}};
    if (from.getHasSteering())
        out.steering = std::make_shared<steering_state const>(decode(from.getSteering()));
    decode_list(from.getTargets(), out.targets);
    decode_list(from.getEntries(), out.entries);
    decode_list(from.getControl(), out.control);
    decode_ids(from.getHeard(), out.heard);
    decode_list(from.getUnchangedTargets(), out.unchanged_targets);
    decode_list(from.getUnchangedEntries(), out.unchanged_entries);
    return out;
}

void encode_kept(messages::kept_roster const& from, KeptRoster::Builder to)
{
    to.setIntact(from.intact);
    encode_list(from.targets, to.initTargets(size_of(from.targets)));
    encode_list(from.control, to.initControl(size_of(from.control)));
}

messages::kept_roster decode_kept(KeptRoster::Reader from)
{
    messages::kept_roster out{.intact = from.getIntact(), .targets = {}, .control = {}};
    decode_list(from.getTargets(), out.targets);
    decode_list(from.getControl(), out.control);
    return out;
}

void encode_poll(messages::roster_poll const& from, Poll::Builder to)
{
    encode(from.self, to.initSelf());
    to.setGeneration(from.generation.value());
    to.setKnownBoot(from.known_boot.value());
    to.setKnown(from.known.value());
    to.setSearching(from.searching);
    to.setWantsFleet(from.wants_fleet);
    to.setTakesDifference(from.takes_difference);
    encode_list(from.departed, to.initDeparted(size_of(from.departed)));
    if (!from.held)
        return;
    auto held = to.initHeld(messages::target_summary::parts);
    unsigned n = 0;
    for (auto const sum : from.held->values())
        held.set(n++, sum);
}

std::optional<messages::target_summary> decode_held(capnp::List<std::uint64_t>::Reader from)
{
    if (from.size() == 0)
        return std::nullopt;
    messages::target_summary::sums out{};
    if (from.size() != out.size())
        throw std::invalid_argument("a summary with another number of parts");
    std::copy(from.begin(), from.end(), out.begin());
    return messages::target_summary(out);
}

messages::roster_poll decode_poll(Poll::Reader from)
{
    messages::roster_poll out{.self = decode(from.getSelf()),
                              .generation = generation_id(from.getGeneration()),
                              .known_boot = boot_id(from.getKnownBoot()),
                              .known = sequence_id(from.getKnown()),
                              .held = decode_held(from.getHeld()),
                              .searching = from.getSearching(),
                              .wants_fleet = from.getWantsFleet(),
                              .takes_difference = from.getTakesDifference(),
                              .departed = {}};
    decode_list(from.getDeparted(), out.departed);
    return out;
}

void encode_update(messages::roster_update const& from, Update::Builder to)
{
    to.setPoll(from.poll.value());
    to.setBoot(from.boot.value());
    to.setNewest(from.newest.value());
    to.setConnected(from.connected);
    to.setCurrent(from.current);
    encode_confirmed_age(from.confirmed_age, to);
    to.setHasSteering(from.steering != nullptr);
    if (from.steering)
        encode_state(*from.steering, false, to.initSteering());
    to.setHeldForMs(from.held_for.count());
    to.setHasDifference(from.difference.has_value());
    if (from.difference)
        encode(*from.difference, to.initDifference());
    encode_list(from.targets, to.initTargets(size_of(from.targets)));
    to.setHasFleet(from.has_fleet);
    if (!from.has_fleet)
        return;
    encode_list(from.control, to.initControl(size_of(from.control)));
    to.setEntriesInDomain(from.entries_in_domain);
    to.setEntries(from.entries);
    to.setEntriesIncomplete(from.entries_incomplete);
}

messages::roster_update decode_update(Update::Reader from)
{
    messages::roster_update out{.poll = sequence_id(from.getPoll()),
                                .boot = boot_id(from.getBoot()),
                                .newest = sequence_id(from.getNewest()),
                                .connected = from.getConnected(),
                                .current = from.getCurrent(),
                                .confirmed_age = decode_confirmed_age(from),
                                .held_for = milliseconds(from.getHeldForMs()),
                                .steering = nullptr,
                                .difference = std::nullopt,
                                .targets = {},
                                .has_fleet = from.getHasFleet(),
                                .control = {},
                                .entries_in_domain = from.getEntriesInDomain(),
                                .entries = from.getEntries(),
                                .entries_incomplete = from.getEntriesIncomplete()};
    if (from.getHasSteering())
        out.steering = std::make_shared<steering_state const>(decode(from.getSteering()));
    if (from.getHasDifference())
        out.difference = decode(from.getDifference());
    decode_list(from.getTargets(), out.targets);
    decode_list(from.getControl(), out.control);
    return out;
}

void encode_probe(messages::roster_probe const& from, Probe::Builder to)
{
    encode(from.who, to.initWho());
    to.setBoot(from.boot.value());
    to.setNumber(from.number.value());
}

messages::roster_probe decode_probe(Probe::Reader from)
{
    return {.who = decode(from.getWho()),
            .boot = boot_id(from.getBoot()),
            .number = sequence_id(from.getNumber())};
}

void encode_probe_reply(messages::roster_probe_reply const& from, ProbeReply::Builder to)
{
    to.setNumber(from.number.value());
    to.setGeneration(from.generation.value());
    to.setConnected(from.connected);
    to.setCurrent(from.current);
}

messages::roster_probe_reply decode_probe_reply(ProbeReply::Reader from)
{
    return {.number = sequence_id(from.getNumber()),
            .generation = generation_id(from.getGeneration()),
            .connected = from.getConnected(),
            .current = from.getCurrent()};
}

codec_registrar<messages::roster_exchange, Exchange, &encode_exchange, &decode_exchange> const
    exchange_entered{210};
codec_registrar<messages::kept_roster, KeptRoster, &encode_kept, &decode_kept> const kept_entered{
    218};
codec_registrar<messages::roster_poll, Poll, &encode_poll, &decode_poll> const poll_entered{211};
codec_registrar<messages::roster_update, Update, &encode_update, &decode_update> const
    update_entered{212};
codec_registrar<messages::roster_probe, Probe, &encode_probe, &decode_probe> const probe_entered{
    213};
codec_registrar<messages::roster_probe_reply, ProbeReply, &encode_probe_reply,
                &decode_probe_reply> const probe_reply_entered{214};

} // namespace

} // namespace mulberryrudder::wire
