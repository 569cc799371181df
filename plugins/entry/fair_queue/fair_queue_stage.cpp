#include "fair_queue_stage.hpp"

#include <mulberryrudder/entry/spill_view.hpp>

#include <algorithm>

namespace mulberryrudder::entry
{

namespace
{

std::optional<std::string> check_fair_queue(fair_queue_settings const& it)
{
    if (it.order != "start_time" && it.order != "arrival")
        return "\"order\" to be \"start_time\" or \"arrival\"";
    return std::nullopt;
}

refusal_kind const no_target({.name = "no_known_target",
                              .counter_name = "refused.no_known_target",
                              .status = 503,
                              .meaning = "No target of the route and version is known here."});
refusal_kind const too_late({.name = "too_late",
                             .counter_name = "refused.too_late",
                             .status = 503,
                             .meaning = "The request could not have ended before its deadline."});
refusal_kind const
    queue_full({.name = "queue_full",
                .counter_name = "refused.queue_full",
                .status = 429,
                .meaning = "Too many requests of the customer wait for a slot already."});

kernel::counter_kind const queued("fair_queue.waited", "Requests that waited for a slot.");
kernel::counter_kind const waiting_now("fair_queue.waiting", "Requests that wait for a slot now.");

/// All customers in one account make start-time order the order of arrival.
customer_id const everyone("");

/// Weight of the requests without a customer, as of a customer with this rate.
constexpr std::int64_t open_weight = 100;

/// One reply makes up this part of the average service time.
constexpr int average_part = 16;

constexpr millitokens_per_second one_request_a_second{1000};

} // namespace

kernel::section<fair_queue_settings> const fair_queue_section{
    "fair_queue",
    {
        kernel::field(
            "order", &fair_queue_settings::order, kernel::unbounded,
            "\"start_time\" for fair queueing by customer, \"arrival\" for first come first "
            "served."),
        kernel::field("most_waiting", &fair_queue_settings::most_waiting, {1, 1'000'000},
                      "Most requests of one customer that wait for one version's targets."),
        kernel::field("refuse_early", &fair_queue_settings::refuse_early, kernel::unbounded,
                      "Whether a request that cannot end before its deadline is refused at once."),
    },
    check_fair_queue};

fair_queue_stage::fair_queue_stage(stage_parts const& parts)
    : config_(parts.config.get(fair_queue_section)), services_(parts.services)
{
    parts.services.provide<queue_view>(*this);
}

std::int64_t fair_queue_stage::weight_of(customer_id const& customer) const
{
    auto const& customers = services_.require<fleet_view>().config().customers;
    auto const it = customers.find(customer);
    if (it == customers.end())
        return open_weight;
    return std::max<std::int64_t>(1, it->second.rate.count() / one_request_a_second.count());
}

start_time_queue::charge fair_queue_stage::charge_of(request const& what, group const& of) const
{
    if (config_.order == "arrival")
        return {everyone, of.service, 1};
    return {what.customer, of.service, weight_of(what.customer)};
}

step fair_queue_stage::admit(request& what, context& with)
{
    auto const& directory = services_.require<target_directory>();
    auto const* const elsewhere = services_.find<spill_view>();
    bool const may_leave = elsewhere != nullptr && !what.origin && elsewhere->has_grants(with.now);
    if (!may_leave && !directory.is_known(what.route, what.version))
        return refuse(no_target);
    auto& of = groups_[what.version];
    auto const charge = charge_of(what, of);
    bool const is_free = directory.has_free_slot(what.route, what.version);
    if (config_.refuse_early && with.now + of.quick.value() > what.deadline)
        return refuse(too_late);
    if (is_free && of.queue.size() == 0)
    {
        of.queue.start_now(charge);
        return proceed{};
    }
    auto const soonest = with.now + expected_wait(what, with.now) + of.quick.value();
    if (config_.refuse_early && soonest > what.deadline)
        return refuse(too_late);
    auto const waiting = static_cast<std::int64_t>(of.queue.waiting_of(charge.customer));
    if (waiting >= config_.most_waiting)
        return refuse(queue_full);
    with.counters.add(queued);
    of.queue.push(charge, {.id = what.id, .route = what.route, .deadline = what.deadline});
    // What waits may be of a route without a free slot; this one may have one.
    start_waiting(with);
    return wait{};
}

void fair_queue_stage::attempt_ended(request const& what, attempt const& sent,
                                     attempt_end const& how, context& with)
{
    if (!how.failed)
    {
        auto& of = groups_[what.version];
        auto const took = with.now - sent.started;
        if (of.service == span(0))
            of.service = took;
        of.service += (took - of.service) / average_part;
        of.quick.add(took);
    }
    start_waiting(with);
}

void fair_queue_stage::finished(request const& what, outcome const&, context&)
{
    if (auto const it = groups_.find(what.version); it != groups_.end())
        it->second.queue.remove(what.id);
}

void fair_queue_stage::tick(context& with)
{
    std::uint64_t waiting = 0;
    for (auto& [version, of] : groups_)
    {
        refuse_hopeless(of, with);
        waiting += of.queue.size();
    }
    start_waiting(with);
    with.counters.set(waiting_now, waiting);
}

void fair_queue_stage::refuse_hopeless(group& of, context& with)
{
    if (!config_.refuse_early)
        return;
    for (auto const id : of.queue.due_before(with.now + of.quick.value()))
    {
        if (of.queue.remove(id))
            with.flow.finish(id, refused{.why = &too_late});
    }
}

void fair_queue_stage::start_waiting(context& with)
{
    if (starting_)
        return;
    starting_ = true;
    for (auto& [version, of] : groups_)
    {
        refuse_hopeless(of, with);
        while (of.queue.size() != 0 && start_next(version, of, with))
        {
        }
    }
    starting_ = false;
}

bool fair_queue_stage::start_next(version_id const& version, group& of, context& with)
{
    auto const& directory = services_.require<target_directory>();
    auto const may_start = [&](route_id const& route)
    { return directory.has_free_slot(route, version); };
    auto const next = of.queue.pop(may_start);
    if (next)
        with.flow.resume(next->id);
    return next.has_value();
}

slots fair_queue_stage::slots_of(request const& what) const
{
    slots sum;
    for (auto const* const it :
         services_.require<target_directory>().usable(what.route, what.version))
        sum += it->limit;
    return sum;
}

span fair_queue_stage::expected_wait(request const& what, instant) const
{
    auto const found = groups_.find(what.version);
    auto const places = slots_of(what).count();
    if (found == groups_.end() || found->second.queue.size() == 0 || places == 0)
        return span(0);
    auto const& of = found->second;
    auto const charge = charge_of(what, of);
    auto const own = static_cast<std::int64_t>(of.queue.waiting_of(charge.customer));
    auto const others = of.queue.waiting_weight() - (own == 0 ? 0 : charge.weight);
    // While a request waits, its customer gets its weight's part of the slots.
    auto const turns = std::min<std::int64_t>(own * (others + charge.weight) / charge.weight,
                                              static_cast<std::int64_t>(of.queue.size()));
    return of.service * (turns + 1) / places;
}

span fair_queue_stage::expected_service(version_id const& version) const
{
    auto const it = groups_.find(version);
    return it == groups_.end() ? span(0) : it->second.service;
}

std::optional<request_id> fair_queue_stage::take_stranded()
{
    auto const& directory = services_.require<target_directory>();
    for (auto& it : groups_)
    {
        auto const is_stranded = [&](route_id const& route)
        { return directory.usable(route, it.first).empty(); };
        if (auto const next = it.second.queue.pop(is_stranded))
            return next->id;
    }
    return std::nullopt;
}

std::size_t fair_queue_stage::waiting(version_id const& version) const
{
    auto const it = groups_.find(version);
    return it == groups_.end() ? 0 : it->second.queue.size();
}

namespace
{

stage_registrar<fair_queue_stage> const entered{"fair_queue", stage_order::fair_queue};

} // namespace

} // namespace mulberryrudder::entry
