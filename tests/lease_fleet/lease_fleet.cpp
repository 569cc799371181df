#include "lease_fleet.hpp"

#include <utility>

namespace mulberryrudder::test
{

/// One instance with its own clock.
struct lease_fleet::node
{
    instance_id id;
    kernel::counter_set counters;
    std::unique_ptr<entry::core> entry;
    std::unique_ptr<control::core> control;
    entry::effects entry_effects;
    control::effects control_effects;
    span offset{};
    std::int64_t drift_ppm = 0;
    bool frozen = false;
    bool dead = false;
    std::uint64_t boot = 1;
    std::vector<delivery> held; ///< Arrived while frozen.
    std::size_t noted = 0;      ///< Admissions noted already.
};

namespace
{

constexpr std::int64_t millionth = 1'000'000;
constexpr std::int64_t most_drift_ppm = 500;

instance_description describe(instance_id id, unsigned domain, unsigned domains_per_region)
{
    return {.id = id,
            .region = region_id("r" + std::to_string(domain / domains_per_region)),
            .domain = domain_id("d" + std::to_string(domain)),
            .peer = {"127.0.0.1", static_cast<std::uint16_t>(7000 + id.value())},
            .caller = {"127.0.0.1", static_cast<std::uint16_t>(9000 + id.value())}};
}

} // namespace

lease_fleet::lease_fleet(fleet_options with) : with_(std::move(with)), random_(with_.seed)
{
    for (unsigned n = 0; n != with_.controls; ++n)
        nodes_.emplace(control_id(n), make_control(n));
    for (unsigned n = 0; n != with_.entries; ++n)
        nodes_.emplace(entry_id(n), make_entry(n, 1));
    for (auto const& [id, it] : nodes_)
        ticks_.emplace(now_ + span(random_() % span(with_.tick_period).count()), id);
}

lease_fleet::~lease_fleet() = default;

std::unique_ptr<lease_fleet::node> lease_fleet::make_entry(unsigned entry, std::uint64_t boot)
{
    auto out = std::make_unique<node>();
    out->id = entry_id(entry);
    out->boot = boot;
    entry::identity self{.self = describe(out->id, entry % with_.domains, with_.domains_per_region),
                         .boot = boot_id(boot)};
    for (unsigned n = 0; n != with_.controls; ++n)
        self.control.push_back(control_id(n));
    if (with_.skewed_clocks)
    {
        out->offset = span(random_() % (100 * millionth));
        out->drift_ppm =
            static_cast<std::int64_t>(random_() % (2 * most_drift_ppm)) - most_drift_ppm;
    }
    out->entry = std::make_unique<entry::core>(entry::core::options{.config = with_.settings,
                                                                    .counters = out->counters,
                                                                    .events = events_,
                                                                    .self = self,
                                                                    .seed = random_()});
    return out;
}

std::unique_ptr<lease_fleet::node> lease_fleet::make_control(unsigned control)
{
    auto out = std::make_unique<node>();
    out->id = control_id(control);
    control::identity const self{.self = describe(out->id, 0, with_.domains_per_region),
                                 .boot = boot_id(1)};
    if (with_.skewed_clocks)
    {
        out->offset = span(random_() % (100 * millionth));
        out->drift_ppm =
            static_cast<std::int64_t>(random_() % (2 * most_drift_ppm)) - most_drift_ppm;
    }
    out->control = std::make_unique<control::core>(control::core::options{.config = with_.settings,
                                                                          .counters = out->counters,
                                                                          .events = events_,
                                                                          .self = self,
                                                                          .seed = random_()});
    return out;
}

lease_fleet::node& lease_fleet::at(instance_id id) const
{
    return *nodes_.at(id);
}

instant lease_fleet::local_now(instance_id id) const
{
    auto const& it = at(id);
    auto const true_time = now_.time_since_epoch();
    return instant(it.offset + true_time + true_time * it.drift_ppm / millionth);
}

bool lease_fleet::chance(unsigned per_mille)
{
    return per_mille > 0 && random_() % 1000 < per_mille;
}

void lease_fleet::enqueue(envelope const& message)
{
    auto const least = span(with_.delay_least).count();
    auto const most = span(with_.delay_most).count();
    std::uniform_int_distribution<span::rep> delay(least, most);
    std::uniform_int_distribution<span::rep> late(most, span(with_.late_most).count());
    auto const takes = chance(with_.late_per_mille) ? late(random_) : delay(random_);
    queue_.push({now_ + span(takes), ++order_, message});
}

void lease_fleet::carry(envelope const& message)
{
    if (on_message)
        on_message(message);
    if (cut_.contains(message.from) || cut_.contains(message.to) || chance(with_.lost_per_mille))
        return;
    enqueue(message);
    if (chance(with_.twice_per_mille))
        enqueue(message);
}

void lease_fleet::note_admissions(node& it)
{
    auto const& admitted = probe(it.id.value() - entry_id(0).value()).admitted;
    for (; it.noted != admitted.size(); ++it.noted)
        admissions_[admitted[it.noted].customer].push_back(now_);
}

void lease_fleet::take_effects(node& it)
{
    for (auto const& effect : std::exchange(it.entry_effects, {}))
    {
        if (auto const* const sent = std::get_if<entry::send_message>(&effect))
            carry(sent->message);
        if (auto const* const answer = std::get_if<entry::answer_caller>(&effect))
            endings_.emplace(answer->id, ending{now_, answer->what});
    }
    for (auto const& effect : std::exchange(it.control_effects, {}))
        if (auto const* const sent = std::get_if<control::send_message>(&effect))
            carry(sent->message);
    if (it.entry)
        note_admissions(it);
}

void lease_fleet::handle(node& it, entry::input const& what)
{
    it.entry->handle(local_now(it.id), what, it.entry_effects);
    take_effects(it);
}

void lease_fleet::deliver(delivery const& what)
{
    auto const found = nodes_.find(what.message.to);
    if (found == nodes_.end() || found->second->dead || cut_.contains(what.message.to) ||
        cut_.contains(what.message.from))
        return;
    auto& it = *found->second;
    if (it.frozen)
        return it.held.push_back(what);
    if (it.entry)
        return handle(it, entry::message_arrived{what.message});
    it.control->handle(local_now(it.id), control::message_arrived{what.message},
                       it.control_effects);
    take_effects(it);
}

void lease_fleet::tick(node& it)
{
    if (it.frozen || it.dead)
        return;
    if (it.entry)
        it.entry->tick(local_now(it.id), it.entry_effects);
    else
        it.control->tick(local_now(it.id), it.control_effects);
    take_effects(it);
}

void lease_fleet::confirm_leader()
{
    if (!leader_)
        return;
    auto const id = control_id(*leader_);
    if (!at(id).frozen && !cut_.contains(id))
        replica(*leader_).confirmed = local_now(id) + milliseconds(500);
}

void lease_fleet::step(instant end)
{
    auto const next_message = queue_.empty() ? never : queue_.top().when;
    auto const next = std::min(next_message, ticks_.top().first);
    if (next > end)
    {
        now_ = end;
        return;
    }
    now_ = std::max(now_, next);
    confirm_leader();
    if (next_message <= now_)
    {
        auto const arriving = queue_.top();
        queue_.pop();
        return deliver(arriving);
    }
    auto const id = ticks_.top().second;
    ticks_.pop();
    ticks_.emplace(now_ + span(with_.tick_period), id);
    tick(at(id));
}

void lease_fleet::run_for(span how_long)
{
    auto const end = now_ + how_long;
    while (now_ < end)
        step(end);
}

bool lease_fleet::run_until(std::function<bool()> const& holds, span longest)
{
    auto const end = now_ + longest;
    while (!holds() && now_ < end)
        step(end);
    return holds();
}

void lease_fleet::depose()
{
    if (!leader_)
        return;
    // The former leader's confirmed time ends before another may lead.
    auto& old = replica(*leader_);
    old.confirmed = instant{};
    old.leads = false;
    leader_.reset();
}

void lease_fleet::elect(unsigned control)
{
    depose();
    leader_ = control;
    ++term_;
    for (unsigned n = 0; n != with_.controls; ++n)
        replica(n).hint = control_id(control);
    auto& it = replica(control);
    it.leads = true;
    it.told_leads = false;
    it.current = term_id(term_);
    // The components hear of it before any message comes.
    tick(at(control_id(control)));
    confirm_leader();
}

void lease_fleet::commit(fleet_config config)
{
    auto const shared = std::make_shared<fleet_config const>(std::move(config));
    for (unsigned n = 0; n != with_.controls; ++n)
        replica(n).committed = shared;
}

fleet_config lease_fleet::plain_config(std::uint64_t generation,
                                       std::map<std::string, std::pair<int, int>> const& rates)
{
    fleet_config out{.generation = generation_id(generation)};
    for (auto const& [name, limit] : rates)
        out.customers.emplace(
            customer_id(name),
            customer_config{.rate = millitokens_per_second(1000 * std::int64_t{limit.first}),
                            .burst = millitokens(1000 * std::int64_t{limit.second})});
    out.routes.emplace(route_id("k"), route_config{.version = version_id("v1")});
    out.routes.emplace(route_id("o"), route_config{.open = true, .version = version_id("v1")});
    return out;
}

void lease_fleet::freeze(instance_id id)
{
    at(id).frozen = true;
}

void lease_fleet::thaw(instance_id id)
{
    auto& it = at(id);
    it.frozen = false;
    for (auto const& late : std::exchange(it.held, {}))
        deliver(late);
}

void lease_fleet::kill(unsigned entry)
{
    at(entry_id(entry)).dead = true;
}

void lease_fleet::restart(unsigned entry)
{
    auto& it = nodes_.at(entry_id(entry));
    it = make_entry(entry, it->boot + 1);
}

void lease_fleet::stop(unsigned entry)
{
    handle(at(entry_id(entry)), entry::stop_requested{});
}

request_id lease_fleet::request(unsigned entry, std::string const& customer,
                                std::string const& route, span patience)
{
    request_id const id(++requests_);
    auto& it = at(entry_id(entry));
    if (it.frozen || it.dead)
        return id;
    handle(it, entry::request_arrived{.id = id,
                                      .route = route_id(route),
                                      .content = std::make_shared<call const>(),
                                      .idempotency_key = customer.empty()
                                                             ? std::nullopt
                                                             : std::optional<std::string>(customer),
                                      .deadline = local_now(it.id) + patience});
    return id;
}

void lease_fleet::release(unsigned entry, request_id id)
{
    probe(entry).released = id;
    handle(at(entry_id(entry)), entry::probe_ended{});
}

std::string lease_fleet::outcome_of(request_id id) const
{
    auto const it = endings_.find(id);
    if (it == endings_.end())
        return "unanswered";
    auto const* const no = std::get_if<entry::refused>(&it->second.what);
    return no == nullptr ? "answered" : std::string(no->why->what().name);
}

entry::fleet_view const& lease_fleet::view(unsigned entry) const
{
    return entry_core(entry).services().require<entry::fleet_view>();
}

admission_probe& lease_fleet::probe(unsigned entry) const
{
    return entry_core(entry).services().require<admission_probe>();
}

fake_replica& lease_fleet::replica(unsigned control) const
{
    return control_core(control).services().require<fake_replica>();
}

control::core& lease_fleet::control_core(unsigned control) const
{
    return *at(control_id(control)).control;
}

entry::core& lease_fleet::entry_core(unsigned entry) const
{
    return *at(entry_id(entry)).entry;
}

kernel::counter_set const& lease_fleet::counters(instance_id id) const
{
    return at(id).counters;
}

} // namespace mulberryrudder::test
