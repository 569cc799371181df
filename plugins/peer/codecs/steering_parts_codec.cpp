#include "steering_parts_codec.hpp"

#include "fleet_config_codec.hpp"
#include "list_codec.hpp"

#include <stdexcept>

namespace mulberryrudder::wire
{

using namespace schema::steering;

void encode(service_share const& from, ServiceShare::Builder to)
{
    to.setService(from.service.value());
    to.setPart(from.part.count());
}

service_share decode(ServiceShare::Reader from)
{
    return {.service = service_id(decode_text(from.getService())), .part = weight(from.getPart())};
}

void encode(plan_route const& from, Route::Builder to)
{
    to.setId(from.id.value());
    to.setHost(from.host);
    to.setPathPrefix(from.path_prefix);
    to.setRepeatable(from.repeatable);
    to.setOpen(from.open);
    to.setSticky(from.sticky);
    to.setTimeoutMs(from.timeout.count());
    to.setAimMs(from.aim.count());
    to.setRank(from.rank.count());
    to.setMostTargets(from.most_targets.count());
    encode_list(from.services, to.initServices(size_of(from.services)));
    encode_ids(from.homes, to.initHomes(size_of(from.homes)));
}

plan_route decode(Route::Reader from)
{
    plan_route out{.id = route_id(decode_text(from.getId())),
                   .host = decode_text(from.getHost()),
                   .path_prefix = decode_text(from.getPathPrefix()),
                   .repeatable = from.getRepeatable(),
                   .open = from.getOpen(),
                   .sticky = from.getSticky(),
                   .timeout = milliseconds(from.getTimeoutMs()),
                   .aim = milliseconds(from.getAimMs()),
                   .rank = urgency(from.getRank()),
                   .most_targets = target_count(from.getMostTargets()),
                   .services = {},
                   .homes = {}};
    decode_list(from.getServices(), out.services);
    decode_ids(from.getHomes(), out.homes);
    return out;
}

void encode(plan_service const& from, Service::Builder to)
{
    to.setId(from.id.value());
    to.setHealthPath(from.health_path);
    to.setMostConnections(from.most_connections.count());
    to.setWarmUpMs(from.warm_up.count());
    to.setWarmUpRate(from.warm_up_rate.count());
}

plan_service decode(Service::Reader from)
{
    return {.id = service_id(decode_text(from.getId())),
            .health_path = decode_text(from.getHealthPath()),
            .most_connections = connections(from.getMostConnections()),
            .warm_up = milliseconds(from.getWarmUpMs()),
            .warm_up_rate = millitokens_per_second(from.getWarmUpRate())};
}

void encode(plan_customer const& from, Customer::Builder to)
{
    to.setId(from.id.value());
    encode_digests(from.keys, to.initKeys(static_cast<unsigned>(from.keys.size())));
    to.setRanked(from.rank.has_value());
    to.setRank(from.rank.value_or(urgency()).count());
    to.setRate(from.rate.count());
    to.setBurst(from.burst.count());
    encode_ids(from.homes, to.initHomes(size_of(from.homes)));
}

plan_customer decode(Customer::Reader from)
{
    plan_customer out{.id = customer_id(decode_text(from.getId())),
                      .keys = decode_digests(from.getKeys()),
                      .rank = std::nullopt,
                      .rate = millitokens_per_second(from.getRate()),
                      .burst = millitokens(from.getBurst()),
                      .homes = {}};
    decode_ids(from.getHomes(), out.homes);
    if (from.getRanked())
        out.rank = urgency(from.getRank());
    return out;
}

namespace
{

/// Sets the four fields of the limits of a plan or a difference of plans.
template <class Builder>
void encode_limits(caller_limits const& from, Builder& to)
{
    to.setMostHeader(from.most_header.count());
    to.setMostBody(from.most_body.count());
    to.setHeaderLimitMs(from.header_limit.count());
    to.setIdleLimitMs(from.idle_limit.count());
}

template <class Reader>
caller_limits decode_limits(Reader const& from)
{
    return {.most_header = byte_count(from.getMostHeader()),
            .most_body = byte_count(from.getMostBody()),
            .header_limit = milliseconds(from.getHeaderLimitMs()),
            .idle_limit = milliseconds(from.getIdleLimitMs())};
}

void encode_plan(traffic_plan const& from, bool whole, Plan::Builder to)
{
    to.setNumber(from.number.value());
    encode_list(from.routes, to.initRoutes(size_of(from.routes)));
    encode_list(from.services, to.initServices(size_of(from.services)));
    encode_list(from.customers, to.initCustomers(size_of(from.customers)));
    to.setKeyed(from.keyed);
    encode_limits(from.limits, to);
    if (whole)
        to.setSource(from.source);
}

} // namespace

void encode(traffic_plan const& from, Plan::Builder to)
{
    encode_plan(from, true, to);
}

traffic_plan decode(Plan::Reader from)
{
    traffic_plan out{.number = plan_number(from.getNumber()),
                     .routes = {},
                     .services = {},
                     .customers = {},
                     .keyed = from.getKeyed(),
                     .limits = decode_limits(from),
                     .source = decode_text(from.getSource())};
    decode_list(from.getRoutes(), out.routes);
    decode_list(from.getServices(), out.services);
    decode_list(from.getCustomers(), out.customers);
    return out;
}

namespace
{

void encode_versions(std::map<service_id, service_versions> const& from,
                     capnp::List<Versions>::Builder to)
{
    unsigned n = 0;
    for (auto const& [service, it] : from)
    {
        auto out = to[n++];
        out.setService(service.value());
        out.setBase(it.base.value());
        out.setNext(it.next.value());
        out.setShare(it.share.count());
        out.setPhase(static_cast<std::uint8_t>(it.phase));
        out.setDurationMs(it.duration.count());
    }
}

void decode_versions(capnp::List<Versions>::Reader from,
                     std::map<service_id, service_versions>& out)
{
    for (auto const it : from)
        out.emplace(service_id(decode_text(it.getService())),
                    service_versions{.base = version_id(decode_text(it.getBase())),
                                     .next = version_id(decode_text(it.getNext())),
                                     .share = per_mille(it.getShare()),
                                     .phase = decode_phase(it.getPhase()),
                                     .duration = milliseconds(it.getDurationMs())});
}

} // namespace

void encode_state(steering_state const& from, bool whole, State::Builder to)
{
    to.setGeneration(from.generation.value());
    to.setHasPlan(from.plan != nullptr);
    if (from.plan)
        encode_plan(*from.plan, whole, to.initPlan());
    encode_ids(from.evacuated, to.initEvacuated(size_of(from.evacuated)));
    encode_versions(from.versions, to.initVersions(size_of(from.versions)));
}

steering_state decode(State::Reader from)
{
    steering_state out{.generation = generation_id(from.getGeneration()),
                       .plan = nullptr,
                       .evacuated = {},
                       .versions = {}};
    if (from.getHasPlan())
        out.plan = std::make_shared<traffic_plan const>(decode(from.getPlan()));
    decode_ids(from.getEvacuated(), out.evacuated);
    decode_versions(from.getVersions(), out.versions);
    return out;
}

namespace
{

void encode_order(std::vector<std::int32_t> const& from, capnp::List<std::int32_t>::Builder to)
{
    unsigned n = 0;
    for (auto const index : from)
        to.set(n++, index);
}

void encode_plan_difference(messages::plan_difference const& from, PlanDifference::Builder to)
{
    to.setNumber(from.number.value());
    encode_order(from.routes.order, to.initRouteOrder(size_of(from.routes.order)));
    encode_list(from.routes.changed, to.initChangedRoutes(size_of(from.routes.changed)));
    encode_order(from.customers.order, to.initCustomerOrder(size_of(from.customers.order)));
    encode_list(from.customers.changed, to.initChangedCustomers(size_of(from.customers.changed)));
    encode_list(from.services, to.initServices(size_of(from.services)));
    to.setKeyed(from.keyed);
    encode_limits(from.limits, to);
}

messages::plan_difference decode_plan_difference(PlanDifference::Reader from)
{
    messages::plan_difference out{.number = plan_number(from.getNumber()),
                                  .routes = {},
                                  .customers = {},
                                  .services = {},
                                  .keyed = from.getKeyed(),
                                  .limits = decode_limits(from)};
    for (auto const index : from.getRouteOrder())
        out.routes.order.push_back(index);
    decode_list(from.getChangedRoutes(), out.routes.changed);
    for (auto const index : from.getCustomerOrder())
        out.customers.order.push_back(index);
    decode_list(from.getChangedCustomers(), out.customers.changed);
    decode_list(from.getServices(), out.services);
    return out;
}

} // namespace

void encode(messages::steering_difference const& from, StateDifference::Builder to)
{
    to.setBase(from.base.value());
    to.setGeneration(from.generation.value());
    to.setHasPlan(from.plan.has_value());
    if (from.plan)
        encode_plan_difference(*from.plan, to.initPlan());
    encode_ids(from.evacuated, to.initEvacuated(size_of(from.evacuated)));
    encode_versions(from.versions, to.initVersions(size_of(from.versions)));
}

messages::steering_difference decode(StateDifference::Reader from)
{
    messages::steering_difference out{.base = generation_id(from.getBase()),
                                      .generation = generation_id(from.getGeneration()),
                                      .plan = std::nullopt,
                                      .evacuated = {},
                                      .versions = {}};
    if (from.getHasPlan())
        out.plan = decode_plan_difference(from.getPlan());
    decode_ids(from.getEvacuated(), out.evacuated);
    decode_versions(from.getVersions(), out.versions);
    return out;
}

rollout_phase decode_phase(std::uint8_t from)
{
    if (from > static_cast<std::uint8_t>(rollout_phase::rolled_back))
        throw std::invalid_argument("an unknown phase of a rollout");
    return static_cast<rollout_phase>(from);
}

} // namespace mulberryrudder::wire
