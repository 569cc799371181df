#include "regions_stage.hpp"

#include <mulberryrudder/core/invariant.hpp>

#include <algorithm>
#include <array>

namespace mulberryrudder::entry
{

namespace
{

kernel::section<region_settings> const region_section{
    "regions",
    {
        kernel::field("spill", &region_settings::spill, kernel::unbounded,
                      "Whether requests may go to other failure domains."),
        kernel::field("patience", &region_settings::patience, {0, 600'000},
                      "Milliseconds that a request may have to wait for an own slot before "
                      "another failure domain is tried."),
        kernel::field("least_time_left", &region_settings::least_time_left, {0, 600'000},
                      "Milliseconds that a request must have left to be sent elsewhere."),
        kernel::field("hold_margin", &region_settings::hold_margin, {0, 600'000},
                      "Milliseconds after its deadline for which a request without a reply "
                      "counts as running elsewhere."),
        kernel::field("full_pause", &region_settings::full_pause, {1, 600'000},
                      "Milliseconds without new requests for a failure domain that had no "
                      "room."),
        kernel::field("most_tries", &region_settings::most_tries, {1, 20},
                      "Most failure domains that one request is sent to."),
    }};

refusal_kind const failed_elsewhere({.name = "failed_elsewhere",
                                     .counter_name = "refused.failed_elsewhere",
                                     .status = 502,
                                     .meaning = "The request failed in another failure domain."});
refusal_kind const no_room({.name = "spill_no_room",
                            .counter_name = "refused.spill_no_room",
                            .status = 503,
                            .meaning = "The other failure domain had no room for the request."});
refusal_kind const sender_gave_up({.name = "spill_cancelled",
                                   .counter_name = "refused.spill_cancelled",
                                   .status = 499,
                                   .meaning = "The instance that sent the request gave it up."});

kernel::counter_kind const spills_sent("spill.sent", "Requests sent to other failure domains.");
kernel::counter_kind const spills_taken("spill.taken",
                                        "Requests taken in from other failure domains.");
kernel::counter_kind const
    spills_returned("spill.returned",
                    "Requests that another failure domain had no room for and did not run.");
kernel::counter_kind const no_headroom("spill.no_headroom",
                                       "Requests kept here for want of a headroom grant.");
kernel::counter_kind const no_link("spill.no_link", "Requests kept here by a link's cap.");
kernel::counter_kind const late_replies("spill.late_replies",
                                        "Replies to spilled requests that came too late.");

/// Bytes of a message's frame and its small members.
constexpr byte_count message_overhead{512};

byte_count size_of(std::vector<header_field> const& fields, std::string const& body)
{
    auto n = message_overhead + byte_count(static_cast<std::int64_t>(body.size()));
    for (auto const& it : fields)
        n += byte_count(static_cast<std::int64_t>(it.name.size() + it.value.size()));
    return n;
}

} // namespace

regions_stage::regions_stage(stage_parts const& parts)
    : config_(parts.config.get(region_section)), self_(parts.self), services_(parts.services)
{
    parts.services.provide<spill_view>(*this);
}

bool regions_stage::has_grants(instant now) const
{
    auto const granted = [](auto const& it) { return it.second.granted.count() > 0; };
    return config_.spill && services_.require<fleet_view>().lease_live(now) &&
           std::any_of(rooms_.begin(), rooms_.end(), granted);
}

step regions_stage::admit(request& what, context& with)
{
    // What came from elsewhere stays, so that no request travels in circles.
    bool const stays = what.origin || !config_.spill || is_local_enough(what, with);
    if (stays || !spill(what, with))
        return proceed{};
    return wait{};
}

bool regions_stage::is_local_enough(request const& what, context& with) const
{
    auto const& directory = services_.require<target_directory>();
    if (directory.usable(what.route, what.version).empty())
        return false;
    if (directory.has_free_slot(what.route, what.version))
        return true;
    auto const wait = services_.require<queue_view>().expected_wait(what, with.now);
    return wait <= config_.patience && with.now + wait < what.deadline;
}

bool regions_stage::spill(request& what, context& with)
{
    auto const& fleet = services_.require<fleet_view>();
    if (!fleet.lease_live(with.now) || what.deadline - with.now < config_.least_time_left)
        return false;
    auto const size = size_of(what.content->fields, what.content->body);
    bool link_full = false;
    for (auto const& domain : domains_with_room(with.now))
    {
        auto& room = rooms_.at(domain);
        auto const* const to = receiver_for(domain, room);
        if (to == nullptr)
            continue;
        if (link_has_room(to->where.region, size, with))
        {
            send_away(what, *to, room, with);
            return true;
        }
        link_full = true;
    }
    with.counters.add(link_full ? no_link : no_headroom);
    return false;
}

void regions_stage::spill_waiting(context& with)
{
    auto& queue = services_.require<queue_view>();
    while (services_.require<fleet_view>().lease_live(with.now) &&
           !domains_with_room(with.now).empty())
    {
        auto const before = spilled_.size();
        auto const next = queue.take_stranded();
        if (!next)
            return;
        with.flow.resume_from(*next, "regions");
        // It waits again, so the others would too.
        if (spilled_.size() <= before)
            return;
    }
}

std::vector<domain_id> regions_stage::domains_with_room(instant now) const
{
    std::vector<std::pair<std::int64_t, domain_id>> free;
    for (auto const& [domain, room] : rooms_)
        if (room.running < room.granted && room.full_until <= now)
            free.emplace_back((room.running - room.granted).count(), domain);
    std::sort(free.begin(), free.end());
    // Other failure domains of the own region are twenty times nearer.
    auto const is_near = [this](auto const& it)
    {
        auto const& members = services_.require<fleet_view>().members();
        auto const same = [&](messages::member const& m)
        { return m.where.domain == it.second && m.where.region == self_.self.region; };
        return std::any_of(members.begin(), members.end(), same);
    };
    std::stable_partition(free.begin(), free.end(), is_near);
    std::vector<domain_id> out;
    out.reserve(free.size());
    for (auto const& [n, domain] : free)
        out.push_back(domain);
    return out;
}

messages::member const* regions_stage::receiver_for(domain_id const& domain, headroom& room) const
{
    std::vector<messages::member const*> live;
    for (auto const& it : services_.require<fleet_view>().members())
        if (it.where.domain == domain && it.live && !it.stopping)
            live.push_back(&it);
    return live.empty() ? nullptr : live[room.turn++ % live.size()];
}

void regions_stage::send_away(request& what, messages::member const& to, headroom& room,
                              context& with)
{
    room.running += slots(1);
    check_invariant(room.running <= room.granted, "spilled requests are within the grant");
    charge_link(to.where.region, size_of(what.content->fields, what.content->body), with);
    spilled_[what.id] = {.domain = to.where.domain,
                         .instance = to.where.id,
                         .held_until = what.deadline + config_.hold_margin};
    // Until the reply says otherwise.
    what.run_elsewhere = verdict::may_have_run;
    with.counters.add(spills_sent);
    with.send(to.where.id, messages::spill_request{.id = what.id,
                                                   .customer = what.customer,
                                                   .key = what.key,
                                                   .route = what.route,
                                                   .version = what.version,
                                                   .repeatable = what.repeatable,
                                                   .idempotency_key = what.idempotency_key,
                                                   .client = what.client,
                                                   .remaining = what.deadline - with.now,
                                                   .content = what.content});
}

void regions_stage::received(envelope const& it, context& with)
{
    static auto const table = std::array{on_message<&regions_stage::request_came>(),
                                         on_message<&regions_stage::reply_came>(),
                                         on_message<&regions_stage::cancel_came>()};
    dispatch(*this, table, it, with);
}

void regions_stage::reply_came(instance_id from, messages::spill_reply const& it, context& with)
{
    auto const found = spilled_.find(it.id);
    if (found == spilled_.end() || found->second.instance != from)
        return with.counters.add(late_replies);
    auto& room = rooms_[found->second.domain];
    release(found);
    auto* const what = with.flow.find(it.id);
    if (what == nullptr)
        return;
    what->run_elsewhere = it.run;
    if (it.content)
    {
        with.flow.finish(it.id, answered{it.content});
        return spill_waiting(with);
    }
    if (it.run != verdict::not_run)
        return with.flow.finish(it.id, refused{.why = &failed_elsewhere, .run = it.run});
    with.counters.add(spills_returned);
    room.full_until = with.now + config_.full_pause;
    if (++tries_[it.id] < config_.most_tries)
        with.flow.resume_from(it.id, "regions");
    else
        with.flow.resume(it.id);
}

void regions_stage::release(std::unordered_map<request_id, spilled>::iterator it)
{
    auto& room = rooms_[it->second.domain];
    room.running -= slots(1);
    check_invariant(room.running.count() >= 0, "spilled requests are counted once");
    spilled_.erase(it);
}

void regions_stage::request_came(instance_id from, messages::spill_request const& it, context& with)
{
    if (!may_take(from, it, with))
    {
        with.counters.add(no_room.counter());
        return with.send(from, messages::spill_reply{.id = it.id});
    }
    with.counters.add(spills_taken);
    auto const id = with.flow.next_request_id();
    taken_[{from, it.id}] = id;
    with.flow.inject({.id = id,
                      .key = it.key,
                      .route = it.route,
                      .content = it.content,
                      .idempotency_key = it.idempotency_key,
                      .client = it.client,
                      .arrived = with.now,
                      .first_byte = with.now,
                      .deadline = with.now + it.remaining,
                      .origin = forwarded_from{.instance = from, .id = it.id},
                      .customer = it.customer,
                      .repeatable = it.repeatable,
                      .version = it.version},
                     "targets");
}

bool regions_stage::may_take(instance_id from, messages::spill_request const& it, context& with)
{
    bool const live = services_.require<fleet_view>().lease_live(with.now);
    bool const is_new = !taken_.contains({from, it.id});
    // The sender's grant says that there should be room; a free slot is what counts.
    auto const& directory = services_.require<target_directory>();
    bool const is_free = directory.has_free_slot(it.route, it.version) &&
                         services_.require<queue_view>().waiting(it.version) == 0;
    return live && is_new && is_free && it.remaining > microseconds(0) &&
           link_has_room(region_of(from), byte_count(0), with);
}

void regions_stage::cancel_came(instance_id from, messages::spill_cancel const& it, context& with)
{
    if (auto const found = taken_.find({from, it.id}); found != taken_.end())
        with.flow.finish(found->second, refused{.why = &sender_gave_up});
}

void regions_stage::finished(request const& what, outcome const& how, context& with)
{
    if (!what.origin)
    {
        tries_.erase(what.id);
        auto const found = spilled_.find(what.id);
        if (found != spilled_.end())
            with.send(found->second.instance, messages::spill_cancel{what.id});
        return;
    }
    taken_.erase({what.origin->instance, what.origin->id});
    messages::spill_reply out{.id = what.origin->id};
    if (auto const* const yes = std::get_if<answered>(&how))
    {
        out.content = yes->content;
        out.run = verdict::ran;
        charge_link(region_of(what.origin->instance),
                    size_of(yes->content->fields, yes->content->body), with);
    }
    if (auto const* const no = std::get_if<refused>(&how))
    {
        out.run = no->run;
        out.retry_after = no->retry_after;
    }
    with.send(what.origin->instance, std::move(out));
}

void regions_stage::leased(messages::lease_grant const& grant, context& with)
{
    for (auto& [domain, room] : rooms_)
        room.granted = slots(0);
    for (auto const& it : grant.headroom)
        rooms_[it.to].granted = it.running;
    auto const is_regional = [this](instance_description const& it)
    { return it.region == self_.self.region; };
    auto const sharing = sharing_among(grant.members, self_.self.id, is_regional);
    shares_.learn(sharing, with.now, grant.valid_for);
}

void regions_stage::tick(context& with)
{
    shares_.expire(with.now);
    for (auto it = spilled_.begin(); it != spilled_.end();)
    {
        auto const next = std::next(it);
        if (it->second.held_until <= with.now)
            release(it);
        it = next;
    }
    spill_waiting(with);
}

std::optional<bytes_per_second> regions_stage::part_of_link(region_id const& to) const
{
    auto const& caps = services_.require<fleet_view>().config().link_caps;
    auto const cap = caps.find({self_.self.region, to});
    if (to == self_.self.region || cap == caps.end())
        return std::nullopt;
    return bytes_per_second(shares_.part_of(cap->second.count(), 0));
}

bool regions_stage::link_has_room(region_id const& to, byte_count size, context& with)
{
    auto const part = part_of_link(to);
    return !part || links_[to].has_room(size, *part, with.now);
}

void regions_stage::charge_link(region_id const& to, byte_count size, context& with)
{
    if (auto const part = part_of_link(to))
        links_[to].charge(size, *part, with.now);
}

region_id regions_stage::region_of(instance_id who) const
{
    for (auto const& it : services_.require<fleet_view>().members())
        if (it.where.id == who)
            return it.where.region;
    return {};
}

namespace
{

stage_registrar<regions_stage> const entered{"regions", stage_order::regions};

} // namespace

} // namespace mulberryrudder::entry
