#include "roster_fleet.hpp"

#include "tests/control/support/fake_log.hpp"

namespace mulberryrudder::testing
{

namespace
{

using control::testing::fake_log;
using messages::target_standing;

constexpr milliseconds step{10};
constexpr milliseconds latency{20};
/// How often a target announces itself.
constexpr milliseconds beat{1500};

/// About the encoded sizes of what an update is made of.
constexpr std::int64_t bytes_of_message = 400;
constexpr std::int64_t bytes_of_notice = 170;
constexpr std::int64_t bytes_of_instance = 110;

std::int64_t size_of(envelope const& it)
{
    if (auto const* const update = it.body.get<messages::roster_update>())
        return bytes_of_message +
               bytes_of_notice * static_cast<std::int64_t>(update->targets.size()) +
               bytes_of_instance * static_cast<std::int64_t>(update->control.size());
    return bytes_of_message;
}

endpoint address(std::size_t n)
{
    return {"10.0.0.1", static_cast<std::uint16_t>(n + 1)};
}

target_id name_of(int target)
{
    return target_id("t" + std::to_string(target));
}

std::shared_ptr<traffic_plan const> first_plan()
{
    traffic_plan out{.number = plan_number(1)};
    out.services = {{.id = service_id("desk"), .health_path = {}, .most_connections = {}}};
    out.routes = {{.id = route_id("r"),
                   .host = "h",
                   .path_prefix = "/",
                   .timeout = milliseconds(100),
                   .services = {{service_id("desk"), weight(1)}},
                   .homes = {}}};
    out.source = "plan 1";
    return std::make_shared<traffic_plan const>(std::move(out));
}

messages::target_notice notice(int target, sequence_id sequence)
{
    return {.id = name_of(target),
            .start = start_id(1),
            .sequence = sequence,
            .service = service_id("desk"),
            .where = {"10.1.0.1", static_cast<std::uint16_t>(target + 1)},
            .domain = domain_id("d0"),
            .version = version_id("v1"),
            .capacity = slots(1),
            .standing = target_standing::serving};
}

instance_description describe(instance_id id, std::size_t domain, std::size_t peer)
{
    return {.id = id,
            .region = region_id("r" + std::to_string(domain / 3)),
            .domain = domain_id("d" + std::to_string(domain)),
            .peer = address(peer),
            .caller = {}};
}

} // namespace

roster_fleet::roster_fleet(options const& with)
    : with_(with), random_(with.seed), link_free_(with.entries)
{
    for (std::size_t n = 0; n != with.controls; ++n)
    {
        control::identity self;
        self.self = describe(control_id(n), n, n);
        self.operators = address(1000 + n);
        for (std::size_t k = 0; k != 3; ++k)
            self.contacts[control_id(k)] = address(k);
        controls_.push_back(
            std::make_unique<control::core>(control::core::options{.config = config_,
                                                                   .counters = counters_,
                                                                   .events = events_,
                                                                   .self = self,
                                                                   .seed = with.seed + n}));
        controls_.back()->services().require<fake_log>().leads = n == 0;
    }
    for (std::size_t n = 0; n != with.entries; ++n)
    {
        entry::identity self;
        self.self = describe(entry_id(n), n % with.controls, 2000 + n);
        self.boot = boot_id(1);
        self.control = {control_id(0), control_id(1), control_id(2)};
        entries_.push_back(
            std::make_unique<entry::core>(entry::core::options{.config = config_,
                                                               .counters = counters_,
                                                               .events = events_,
                                                               .self = self,
                                                               .seed = with.seed + 100 + n}));
    }
}

instance_id roster_fleet::control_id(std::size_t n)
{
    return instance_id(static_cast<std::uint32_t>(n + 1));
}

instance_id roster_fleet::entry_id(std::size_t n)
{
    return instance_id(static_cast<std::uint32_t>(n + 1001));
}

bool roster_fleet::is_entry(instance_id id)
{
    return id.value() > 1000;
}

std::size_t roster_fleet::index_of(instance_id id)
{
    return id.value() - (is_entry(id) ? 1001 : 1);
}

void roster_fleet::run(span time)
{
    for (span passed{0}; passed < time; passed += step)
    {
        now_ += step;
        deliver();
        announce_targets();
        for (auto const& it : controls_)
        {
            control::effects out;
            it->tick(now_, out);
            carry_out(out);
        }
        for (auto const& it : entries_)
        {
            entry::effects out;
            it->tick(now_, out);
            carry_out(out);
        }
    }
}

template <class Effects>
void roster_fleet::carry_out(Effects const& out)
{
    for (auto const& it : out)
    {
        if constexpr (std::is_same_v<Effects, control::effects>)
        {
            if (auto const* const sent = std::get_if<control::send_message>(&it))
                transmit(sent->message);
            else if (auto const* const told = std::get_if<control::answer_operator>(&it))
                answers_.emplace(told->id, told->body);
        }
        else if (auto const* const sent = std::get_if<entry::send_message>(&it))
            transmit(sent->message);
    }
}

bool roster_fleet::is_lost(envelope const& it) const
{
    auto const silent = [&](instance_id id)
    { return !is_entry(id) && silent_.contains(index_of(id)); };
    if (silent(it.from) || silent(it.to))
        return true;
    return !is_entry(it.from) && !is_entry(it.to) &&
           one_side_.contains(index_of(it.from)) != one_side_.contains(index_of(it.to));
}

void roster_fleet::transmit(envelope const& it)
{
    std::uniform_int_distribution<int> jitter(0, 5);
    auto due = now_ + latency + milliseconds(jitter(random_));
    if (is_entry(it.to))
    {
        auto const size = size_of(it);
        auto& free = link_free_.at(index_of(it.to));
        free = std::max(free, now_) + milliseconds(size / with_.entry_link.count());
        due = free + latency;
        sent_to_entries_ += byte_count(size);
    }
    if (!is_lost(it))
        flights_.push_back({due, it});
}

void roster_fleet::deliver()
{
    auto all = std::exchange(flights_, {});
    for (auto const& it : all)
    {
        if (it.due > now_)
            flights_.push_back(it);
        else if (is_entry(it.what.to))
        {
            entry::effects out;
            entries_.at(index_of(it.what.to))->handle(now_, entry::message_arrived{it.what}, out);
            carry_out(out);
        }
        else if (!is_lost(it.what))
        {
            control::effects out;
            controls_.at(index_of(it.what.to))
                ->handle(now_, control::message_arrived{it.what}, out);
            carry_out(out);
        }
    }
}

control::operator_request_id roster_fleet::order(std::size_t control, any_message what)
{
    control::operator_request_id const id(++last_);
    control::effects out;
    controls_.at(control)->handle(now_, control::operator_asked{id, std::move(what)}, out);
    carry_out(out);
    return id;
}

void roster_fleet::start_target(int target)
{
    targets_[target] = {sequence_id(), now_};
}

void roster_fleet::announce_targets()
{
    for (auto& [name, it] : targets_)
    {
        if (it.announce_at > now_)
            continue;
        it.announce_at = now_ + beat;
        it.sequence = sequence_id(it.sequence.value() + 1);
        order(talking_control(static_cast<std::size_t>(name)),
              any_message::of(control::target_announced{notice(name, it.sequence)}));
    }
}

std::size_t roster_fleet::talking_control(std::size_t near) const
{
    auto out = near % controls_.size();
    while (silent_.contains(out))
        out = (out + 1) % controls_.size();
    return out;
}

control::operator_request_id roster_fleet::leave(std::size_t control, int target)
{
    auto it = notice(target, sequence_id(targets_.at(target).sequence.value() + 1));
    it.standing = target_standing::leaving;
    targets_.erase(target);
    return order(control, any_message::of(control::target_announced{it}));
}

any_message const* roster_fleet::answer(control::operator_request_id id) const
{
    auto const it = answers_.find(id);
    return it == answers_.end() ? nullptr : &it->second;
}

void roster_fleet::put_first_plan()
{
    run(seconds(1));
    order(0, any_message::of(control::plan_submission{plan_number(), first_plan(), {}}));
    commit({0, 1, 2});
}

void roster_fleet::commit(std::set<std::size_t> const& at)
{
    auto& log = controls_.front()->services().require<fake_log>();
    auto const proposed = std::exchange(log.proposed, {});
    for (auto const n : at)
        for (auto const& it : proposed)
            controls_.at(n)->services().require<fake_log>().committed.push_back(it);
}

void roster_fleet::part(std::set<std::size_t> const& one_side)
{
    one_side_ = one_side;
}

void roster_fleet::silence(std::set<std::size_t> const& some)
{
    silent_ = some;
}

entry::plan_view& roster_fleet::view(std::size_t entry)
{
    return entries_.at(entry)->services().require<entry::plan_view>();
}

std::size_t roster_fleet::serving(std::size_t entry)
{
    std::size_t out = 0;
    for (auto const& [id, it] : view(entry).targets())
        out += it.what.standing == target_standing::serving;
    return out;
}

bool roster_fleet::serves(std::size_t entry, int target)
{
    auto const& all = view(entry).targets();
    auto const it = all.find(name_of(target));
    return it != all.end() && it->second.what.standing == target_standing::serving;
}

generation_id roster_fleet::generation(std::size_t entry)
{
    return view(entry).steering()->generation;
}

} // namespace mulberryrudder::testing
