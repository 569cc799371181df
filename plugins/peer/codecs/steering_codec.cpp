#include "fleet_config_codec.hpp"
#include "steering_parts_codec.hpp"

#include <mulberryrudder/control/steering.hpp>
#include <mulberryrudder/wire/codec.hpp>

namespace mulberryrudder::wire
{

namespace
{

using namespace schema::steering;

void encode_replace(control::replace_plan const& from, ReplacePlan::Builder to)
{
    to.setBase(from.base.value());
    encode(*from.plan, to.initPlan());
    to.setContent(encode_digest(from.content));
}

control::replace_plan decode_replace(ReplacePlan::Reader from)
{
    return {.base = plan_number(from.getBase()),
            .plan = std::make_shared<traffic_plan const>(decode(from.getPlan())),
            .content = decode_digest(from.getContent())};
}

void encode_evacuation(control::set_evacuation const& from, SetEvacuation::Builder to)
{
    to.setDomain(from.domain.value());
    to.setEvacuated(from.evacuated);
}

control::set_evacuation decode_evacuation(SetEvacuation::Reader from)
{
    return {.domain = domain_id(decode_text(from.getDomain())), .evacuated = from.getEvacuated()};
}

void encode_start(control::start_rollout const& from, StartRollout::Builder to)
{
    to.setService(from.service.value());
    to.setVersion(from.version.value());
    to.setDurationMs(from.duration.count());
}

control::start_rollout decode_start(StartRollout::Reader from)
{
    return {.service = service_id(decode_text(from.getService())),
            .version = version_id(decode_text(from.getVersion())),
            .duration = milliseconds(from.getDurationMs())};
}

void encode_step(control::step_rollout const& from, StepRollout::Builder to)
{
    to.setService(from.service.value());
    to.setVersion(from.version.value());
    to.setShare(from.share.count());
    to.setPhase(static_cast<std::uint8_t>(from.phase));
}

control::step_rollout decode_step(StepRollout::Reader from)
{
    return {.service = service_id(decode_text(from.getService())),
            .version = version_id(decode_text(from.getVersion())),
            .share = per_mille(from.getShare()),
            .phase = decode_phase(from.getPhase())};
}

void encode_base(control::note_base_version const& from, NoteBaseVersion::Builder to)
{
    to.setService(from.service.value());
    to.setVersion(from.version.value());
}

control::note_base_version decode_base(NoteBaseVersion::Reader from)
{
    return {.service = service_id(decode_text(from.getService())),
            .version = version_id(decode_text(from.getVersion()))};
}

void encode_snapshot(control::steering_snapshot const& from, Snapshot::Builder to)
{
    encode_state(from.state, true, to.initState());
    auto accepted = to.initAccepted(static_cast<unsigned>(from.accepted.size()));
    unsigned n = 0;
    for (auto const& [number, content] : from.accepted)
    {
        auto out = accepted[n++];
        out.setNumber(number.value());
        out.setContent(encode_digest(content));
    }
}

control::steering_snapshot decode_snapshot(Snapshot::Reader from)
{
    control::steering_snapshot out{.state = decode(from.getState()), .accepted = {}};
    for (auto const it : from.getAccepted())
        out.accepted.emplace(plan_number(it.getNumber()), decode_digest(it.getContent()));
    return out;
}

codec_registrar<control::replace_plan, ReplacePlan, &encode_replace, &decode_replace> const
    replace_entered{200};
codec_registrar<control::set_evacuation, SetEvacuation, &encode_evacuation,
                &decode_evacuation> const evacuation_entered{201};
codec_registrar<control::start_rollout, StartRollout, &encode_start, &decode_start> const
    start_entered{202};
codec_registrar<control::step_rollout, StepRollout, &encode_step, &decode_step> const step_entered{
    203};
codec_registrar<control::note_base_version, NoteBaseVersion, &encode_base, &decode_base> const
    base_entered{204};
codec_registrar<control::steering_snapshot, Snapshot, &encode_snapshot, &decode_snapshot> const
    snapshot_entered{205};

} // namespace

} // namespace mulberryrudder::wire
