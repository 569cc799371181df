#include "plan_bench.hpp"

namespace mulberryrudder::entry::testing
{

namespace
{

stage_registrar<fake_plan> const entered{"fake_plan", stage_order::roster};

identity sample_identity()
{
    identity out;
    out.self.id = instance_id(1);
    out.self.region = region_id("m");
    out.self.domain = domain_id("m-a");
    out.boot = boot_id(1);
    out.regions = {{domain_id("m-a"), region_id("m")},
                   {domain_id("m-b"), region_id("m")},
                   {domain_id("e-a"), region_id("e")}};
    return out;
}

} // namespace

plan_bench::plan_bench(kernel::settings config)
    : config_(std::move(config)), core_({.config = config_,
                                         .counters = counters,
                                         .events = events_,
                                         .self = sample_identity(),
                                         .seed = 1})
{
    set_plan(sample_plan());
}

void plan_bench::set_plan(traffic_plan plan_content)
{
    auto next = plan().current ? *plan().current : steering_state();
    next.plan = std::make_shared<traffic_plan const>(std::move(plan_content));
    set_steering(std::move(next));
}

void plan_bench::set_steering(steering_state state)
{
    state.generation = generation_id(state.generation.value() + 1);
    plan().current = std::make_shared<steering_state const>(std::move(state));
}

listed_target& plan_bench::add_target(std::string const& id, std::string const& domain,
                                      std::int64_t capacity)
{
    auto& target = plan().target_list[target_id(id)];
    target.what = {.id = target_id(id),
                   .start = start_id(1),
                   .sequence = sequence_id(1),
                   .service = service_id("desk"),
                   .where = {"127.0.0.1", 1},
                   .domain = domain_id(domain),
                   .version = version_id("v1"),
                   .capacity = slots(capacity),
                   .standing = messages::target_standing::serving,
                   .cold_for = milliseconds(0),
                   .age = milliseconds(0)};
    target.learned = now;
    return target;
}

request_id plan_bench::send_request(std::string const& path, std::string const& object,
                                    std::string const& key, origin const& from)
{
    request_id const id(++last_id_);
    call const content{.method = call_method::get, .path = path, .fields = {}, .body = {}};
    request_arrived arrived{.id = id,
                            .key = std::nullopt,
                            .route = {},
                            .content = std::make_shared<call const>(content),
                            .idempotency_key = std::nullopt,
                            .client = {},
                            .deadline = now + seconds(4),
                            .host = "host.example:80",
                            .object = object_id(object),
                            .caller_reference = {}};
    arrived.connection = from.connection;
    arrived.first_byte = from.first_byte;
    if (!key.empty())
        arrived.key = sha256(key);
    core_.handle(now, arrived, effects_);
    collect();
    return id;
}

void plan_bench::reply(request_id id, std::uint16_t status)
{
    auto const content = std::make_shared<mulberryrudder::reply const>(
        mulberryrudder::reply{.status = status, .fields = {}, .body = {}});
    core_.handle(now, attempt_replied{.id = sent_.at(id).back().id, .content = content, .load = {}},
                 effects_);
    collect();
}

void plan_bench::fail(request_id id, attempt_failure cause, verdict run)
{
    core_.handle(now, attempt_failed{.id = sent_.at(id).back().id, .cause = cause, .run = run},
                 effects_);
    collect();
}

void plan_bench::turn_away(request_id id, milliseconds pause)
{
    core_.handle(now,
                 attempt_failed{.id = sent_.at(id).back().id,
                                .cause = attempt_failure::shed,
                                .run = verdict::not_run,
                                .wishes = {.pause = pause}},
                 effects_);
    collect();
}

void plan_bench::disconnect_caller(request_id id)
{
    core_.handle(now, caller_gone{id}, effects_);
    collect();
}

void plan_bench::advance(span duration)
{
    now += duration;
    core_.tick(now, effects_);
    collect();
}

std::string plan_bench::target_of(request_id id) const
{
    auto const it = sent_.find(id);
    return it == sent_.end() ? "" : it->second.back().target.value();
}

std::size_t plan_bench::attempts_of(request_id id) const
{
    auto const it = sent_.find(id);
    return it == sent_.end() ? 0 : it->second.size();
}

std::string plan_bench::outcome_of(request_id id) const
{
    auto const it = ended_.find(id);
    if (it == ended_.end())
        return {};
    auto const* const refused_outcome = std::get_if<refused>(&it->second);
    return refused_outcome == nullptr ? "answered" : std::string(refused_outcome->why->what().name);
}

refused const& plan_bench::refusal(request_id id) const
{
    return std::get<refused>(ended_.at(id));
}

void plan_bench::collect()
{
    for (auto const& it : effects_)
    {
        if (auto const* const sent = std::get_if<send_attempt>(&it))
            sent_[sent->request].push_back(*sent);
        else if (auto const* const ended = std::get_if<answer_caller>(&it))
            ended_.emplace(ended->id, ended->what);
    }
    effects_.clear();
}

} // namespace mulberryrudder::entry::testing
