#include "rig.hpp"

namespace mulberryrudder::entry
{

instance_description instance_at(std::uint32_t id, std::string const& region,
                                 std::string const& domain)
{
    return {.id = instance_id(id),
            .region = region_id(region),
            .domain = domain_id(domain),
            .peer = {.address = "127.0.0.1", .port = static_cast<std::uint16_t>(7000 + id)},
            .caller = {.address = "127.0.0.1", .port = static_cast<std::uint16_t>(8000 + id)}};
}

messages::member member_of(instance_description const& where, std::int64_t free)
{
    return {.where = where, .live = true, .stopping = false, .free = slots(free)};
}

announcement target_at(std::string const& id, std::string const& domain, std::int64_t capacity)
{
    return {.id = target_id(id),
            .where = {.address = "127.0.0.1", .port = 9000},
            .domain = domain_id(domain),
            .version = version_id("v1"),
            .routes = {route_id("r")},
            .capacity = slots(capacity),
            .most_connections = connections(400)};
}

std::shared_ptr<fleet_config const>
config_with(std::map<std::string, std::int64_t> const& requests_a_second)
{
    fleet_config out;
    out.generation = generation_id(1);
    out.routes[route_id("r")] = {.open = true};
    for (auto const& [name, rate] : requests_a_second)
        out.customers[customer_id(name)] = {.rate = millitokens_per_second(rate * 1000)};
    return std::make_shared<fleet_config const>(out);
}

rig::rig(options with)
    : config_(std::move(with.config)), core_({.config = config_,
                                              .counters = counters_,
                                              .events = events_,
                                              .self = {.self = with.self, .boot = boot_id(1)},
                                              .seed = with.seed})
{
}

void rig::pass(span elapsed)
{
    auto const end = now_ + elapsed;
    while (granted_ && renew_at_ <= end)
    {
        now_ = renew_at_;
        renew_at_ += seconds(1);
        deliver(instance_id(900), any_message::of(*granted_));
    }
    now_ = end;
    core_.tick(now_, out_);
}

void rig::tell(input const& what)
{
    core_.handle(now_, what, out_);
}

void rig::deliver(instance_id from, any_message body)
{
    tell(message_arrived{{.from = from, .to = instance_id(1), .body = std::move(body)}});
}

void rig::lease(std::vector<messages::member> const& members,
                std::shared_ptr<fleet_config const> config,
                std::vector<messages::headroom_grant> headroom, std::vector<domain_id> adopted)
{
    granted_ = messages::lease_grant{.valid_for = seconds(4),
                                     .config = std::move(config),
                                     .headroom = std::move(headroom),
                                     .members = members,
                                     .adopted = std::move(adopted)};
    renew_at_ = now_ + seconds(1);
    deliver(instance_id(900), any_message::of(*granted_));
}

void rig::settle()
{
    auto const self = member_of(instance_at(1, "marmara", "m1"));
    lease({self});
    pass(seconds(4));
}

request_id rig::ask(span time_left, std::string const& customer, call_method method)
{
    request_id const id(++requests_);
    call content{.method = method, .path = "/"};
    if (!customer.empty())
        content.fields.push_back({"customer", customer});
    tell(request_arrived{.id = id,
                         .route = route_id("r"),
                         .content = std::make_shared<call const>(std::move(content)),
                         .deadline = now_ + time_left});
    return id;
}

void rig::reply_to(attempt_id id)
{
    tell(attempt_replied{.id = id, .content = std::make_shared<reply const>(reply{.status = 200})});
}

void rig::fail(attempt_id id, attempt_failure cause, verdict run)
{
    tell(attempt_failed{.id = id, .cause = cause, .run = run});
}

std::uint64_t rig::counter(std::string_view name) const
{
    for (auto const& [known, value] : counters_.snapshot())
        if (known == name)
            return value;
    return 0;
}

target_view const* rig::target(std::string const& id) const
{
    for (auto const* const it : core_.services().require<target_directory>().all())
        if (it->id == target_id(id))
            return it;
    return nullptr;
}

std::int64_t rig::limit_of(std::string const& id) const
{
    auto const* const it = target(id);
    return it == nullptr ? -1 : it->limit.count();
}

std::string text_of(outcome const& what)
{
    if (auto const* const no = std::get_if<refused>(&what))
        return std::string(no->why->what().name);
    return "answered";
}

} // namespace mulberryrudder::entry
