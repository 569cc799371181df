#include "roster_fleet.hpp"

#include "tests/control/support/fake_log.hpp"
#include "tests/quota_fleet/request_arrivals.hpp"

#include <capnp/message.h>

namespace mulberryrudder::testing
{

namespace
{

using control::testing::fake_log;
using messages::target_standing;

constexpr milliseconds step = admission_record::step;
constexpr milliseconds latency{20};
/// Time for which a disk writes and syncs a record.
constexpr milliseconds sync_time{20};
/// Time between two announcements of a target.
constexpr milliseconds announcement_interval{1500};

/// Approximate encoded sizes of a message and of the elements of an update.
constexpr std::int64_t message_bytes = 400;
constexpr std::int64_t notice_bytes = 170;
constexpr std::int64_t instance_bytes = 110;

std::int64_t encoded_size(envelope const& message)
{
    if (auto const* const update = message.body.get<messages::roster_update>())
        return message_bytes + notice_bytes * static_cast<std::int64_t>(update->targets.size()) +
               instance_bytes * static_cast<std::int64_t>(update->control.size());
    return message_bytes;
}

endpoint address(std::size_t n)
{
    return {"10.0.0.1", static_cast<std::uint16_t>(n + 1)};
}

target_id id_of(int target)
{
    return target_id("t" + std::to_string(target));
}

/// Returns a plan with a customer of this rate in requests a second, or without a customer.
std::shared_ptr<traffic_plan const> first_plan(std::int64_t rate)
{
    traffic_plan out{.number = plan_number(1)};
    out.services = {{.id = service_id("desk"), .health_path = {}, .most_connections = {}}};
    out.routes = {{.id = route_id("r"),
                   .host = "h",
                   .path_prefix = "/",
                   .timeout = seconds(2),
                   .services = {{service_id("desk"), weight(1)}},
                   .homes = {}}};
    if (rate != 0)
        out.customers = {{.id = customer_id("office"),
                          .keys = {sha256("key")},
                          .rank = std::nullopt,
                          .rate = millitokens_per_second(rate * 1000),
                          .burst = millitokens(rate * 1000),
                          .homes = {}}};
    out.keyed = rate != 0;
    out.source = "plan 1";
    return std::make_shared<traffic_plan const>(std::move(out));
}

messages::target_notice notice(int target, sequence_id sequence)
{
    return {.id = id_of(target),
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

roster_fleet::roster_fleet(options const& config)
    : config_(config), random_(config.seed), disks_(config.controls), link_free_at_(config.entries)
{
    controls_.resize(config.controls);
    for (std::size_t n = 0; n != config.controls; ++n)
        start_control(n, n == 0);
    for (std::size_t n = 0; n != config.entries; ++n)
        entries_.push_back(make_entry(n));
}

void roster_fleet::start_control(std::size_t n, bool leads)
{
    control::identity self;
    self.self = describe(control_id(n), n, n);
    self.operators = address(1000 + n);
    for (std::size_t k = 0; k != 3; ++k)
        self.contacts[control_id(k)] = address(k);
    auto& started = controls_.at(n);
    started = std::make_unique<control::core>(control::core::options{.config = settings_,
                                                                     .counters = counters_,
                                                                     .events = events_,
                                                                     .self = self,
                                                                     .seed = next_seed()});
    started->services().require<fake_log>().leads = leads;
    auto& disk = disks_.at(n);
    disk.unsynced.reset();
    disk.was_read = !disk.fails;
    if (disk.fails)
        handle(n, control::disk_recovered{.failed = true});
    else if (!without_disk_.contains(n))
        read_disk(n);
}

void roster_fleet::read_disk(std::size_t n)
{
    auto& disk = disks_.at(n);
    disk.was_read = true;
    handle(n, control::disk_recovered{.blank = disk.record.type() == typeid(void),
                                      .record = disk.record});
}

std::unique_ptr<entry::core> roster_fleet::make_entry(std::size_t n)
{
    entry::identity self;
    self.self = describe(entry_id(n), n % config_.controls, 2000 + n);
    for (auto const seed : config_.entry_seeds)
        self.control.push_back(control_id(seed));
    auto const seed = next_seed();
    self.boot = boot_id(seed);
    return std::make_unique<entry::core>(entry::core::options{
        .config = settings_, .counters = counters_, .events = events_, .self = self, .seed = seed});
}

std::uint64_t roster_fleet::next_seed()
{
    return config_.seed + ++starts_;
}

void roster_fleet::restart_control(std::size_t control)
{
    start_control(control, control == 0);
}

void roster_fleet::restart_follower(std::size_t control, std::size_t held)
{
    start_control(control, false);
    apply_committed(control, held);
}

void roster_fleet::lead(std::size_t control)
{
    apply_committed(control, committed_.size());
    run(step);
    controls_.at(control)->services().require<fake_log>().takes_the_lead = true;
}

void roster_fleet::remove_leader()
{
    for (auto const& it : controls_)
    {
        auto& log = it->services().require<fake_log>();
        log.step_down = std::exchange(log.leads, false);
    }
}

void roster_fleet::apply_committed(std::size_t control, std::size_t count)
{
    auto& log = controls_.at(control)->services().require<fake_log>();
    for (std::size_t n = 0; n != count; ++n)
        if (committed_.at(n).index > log.last_applied)
            log.committed.push_back(committed_.at(n));
}

void roster_fleet::stop_control(std::size_t control)
{
    handle(control, control::stop_requested{});
}

void roster_fleet::restart_entry(std::size_t entry)
{
    entries_.at(entry) = make_entry(entry);
}

void roster_fleet::fill_entry_links(per_mille growth, milliseconds max_wait)
{
    link_wait_growth_ = growth;
    max_link_wait_ = max_wait;
    links_filled_at_ = now_;
}

span roster_fleet::link_wait() const
{
    auto const grown = (now_ - links_filled_at_) * link_wait_growth_.count() / 1000;
    return std::min<span>(grown, max_link_wait_);
}

void roster_fleet::freeze(std::set<std::size_t> const& controls)
{
    frozen_ = controls;
    isolate(controls);
}

void roster_fleet::disconnect(std::set<std::size_t> const& entries)
{
    disconnected_ = entries;
}

void roster_fleet::confine(std::set<std::size_t> const& entries, std::size_t control)
{
    confined_ = entries;
    only_control_ = control;
}

control::operator_request_id roster_fleet::deliver_old_announcement(std::size_t control, int target)
{
    return request(control,
                   any_message::of(control::target_announced{notice(target, sequence_id(1))}));
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

void roster_fleet::run(span duration)
{
    for (span elapsed{0}; elapsed < duration; elapsed += step)
    {
        now_ += step;
        record_.begin_step();
        deliver();
        announce_targets();
        send_requests();
        sync_disks();
        for (std::size_t n = 0; n != controls_.size(); ++n)
        {
            control::effects out;
            if (!frozen_.contains(n))
                controls_.at(n)->tick(now_, out);
            process(n, out);
        }
        for (auto const& it : entries_)
        {
            entry::effects out;
            it->tick(now_, out);
            process(out);
        }
    }
}

void roster_fleet::set_load(per_mille load, std::vector<std::size_t> entries)
{
    load_ = load;
    loaded_entries_ = std::move(entries);
}

void roster_fleet::send_requests()
{
    if (loaded_entries_.empty())
        return;
    std::uniform_int_distribution<std::size_t> choose(0, loaded_entries_.size() - 1);
    draw_arrivals(config_.rate * load_.count(), random_,
                  [&] { send_request(loaded_entries_.at(choose(random_))); });
}

void roster_fleet::send_request(std::size_t entry)
{
    call const content{.method = call_method::get, .path = "/x", .fields = {}, .body = {}};
    entry::request_arrived const arrived{.id = request_id(++last_request_),
                                         .key = sha256("key"),
                                         .route = {},
                                         .content = std::make_shared<call const>(content),
                                         .idempotency_key = std::nullopt,
                                         .client = {},
                                         .deadline = now_ + seconds(4),
                                         .host = "h:80",
                                         .object = {},
                                         .caller_reference = {}};
    entry::effects out;
    entries_.at(entry)->handle(now_, arrived, out);
    process(out);
}

void roster_fleet::process(std::size_t control, control::effects const& effects)
{
    auto& disk = disks_.at(control);
    for (auto const& it : effects)
    {
        if (auto const* const sent = std::get_if<control::send_message>(&it))
            transmit(sent->message);
        else if (auto const* const answer = std::get_if<control::answer_operator>(&it))
            answers_.emplace(answer->id, answer->body);
        else if (auto const* const kept = std::get_if<control::keep_record>(&it);
                 kept && !disk.fails)
        {
            disk.unsynced = *kept;
            disk.synced_at = now_ + sync_time;
        }
    }
}

void roster_fleet::process(entry::effects const& effects)
{
    for (auto const& it : effects)
    {
        if (auto const* const sent = std::get_if<entry::send_message>(&it))
            transmit(sent->message);
        // Without a stage that chooses targets, an admitted request ends with another refusal.
        else if (auto const* const ended = std::get_if<entry::answer_caller>(&it))
            record_.add(std::get<entry::refused>(ended->what).why->what().status != 429);
    }
}

void roster_fleet::handle(std::size_t control, control::input const& what)
{
    control::effects out;
    controls_.at(control)->handle(now_, what, out);
    process(control, out);
}

void roster_fleet::sync_disks()
{
    for (std::size_t n = 0; n != disks_.size(); ++n)
    {
        auto& disk = disks_.at(n);
        if (!disk.unsynced || disk.synced_at > now_ || hanging_disks_.contains(n))
            continue;
        auto const synced = *std::exchange(disk.unsynced, std::nullopt);
        disk.record = synced.contents;
        if (!frozen_.contains(n))
            handle(n, control::record_kept{synced.version});
    }
}

void roster_fleet::clear_disk(std::size_t control)
{
    disks_.at(control) = {};
}

void roster_fleet::hang_disks(std::set<std::size_t> const& controls)
{
    hanging_disks_ = controls;
}

void roster_fleet::fail_disk(std::size_t control)
{
    auto& disk = disks_.at(control);
    disk.fails = true;
    disk.unsynced.reset();
    handle(control, control::disk_failed{"test"});
}

void roster_fleet::mend_disk(std::size_t control)
{
    disks_.at(control).fails = false;
    if (disks_.at(control).was_read)
        handle(control, control::disk_reopened{});
    else
        read_disk(control);
}

void roster_fleet::remove_disks(std::set<std::size_t> const& controls)
{
    without_disk_ = controls;
    for (auto const n : controls)
        clear_disk(n);
}

bool roster_fleet::is_dropped(envelope const& message) const
{
    auto const isolated = [&](instance_id id)
    { return !is_entry(id) && isolated_.contains(index_of(id)); };
    auto const is_out_of_reach = [&](instance_id entry, instance_id control)
    { return confined_.contains(index_of(entry)) && index_of(control) != only_control_; };
    auto const disconnected = [&](instance_id id)
    { return is_entry(id) && disconnected_.contains(index_of(id)); };
    if (isolated(message.from) || isolated(message.to) || disconnected(message.from) ||
        disconnected(message.to))
        return true;
    if (is_entry(message.from))
        return is_out_of_reach(message.from, message.to);
    if (is_entry(message.to))
        return is_out_of_reach(message.to, message.from);
    return muted_.contains(index_of(message.from)) ||
           (cut_senders_.contains(index_of(message.from)) &&
            cut_receivers_.contains(index_of(message.to))) ||
           partition_group_.contains(index_of(message.from)) !=
               partition_group_.contains(index_of(message.to));
}

void roster_fleet::transmit(envelope const& message)
{
    std::uniform_int_distribution<int> jitter(0, 5);
    auto due = now_ + latency + milliseconds(jitter(random_));
    if (is_entry(message.to))
    {
        auto const size = encoded_size(message);
        auto& free_at = link_free_at_.at(index_of(message.to));
        free_at = std::max(free_at, now_) + milliseconds(size / config_.entry_link.count());
        due = free_at + latency + link_wait();
        sent_to_entries_ += byte_count(size);
    }
    if (config_.counts_traffic && !is_entry(message.from) && !is_entry(message.to))
        count_traffic(message);
    auto const* const exchange = message.body.get<messages::roster_exchange>();
    tables_sent_ += exchange != nullptr && exchange->has_all_targets;
    states_sent_ += exchange != nullptr && exchange->steering != nullptr;
    if (exchange != nullptr)
        notices_between_controls_ += exchange->targets.size() + exchange->unchanged_targets.size();
    if (!is_dropped(message))
        transfers_.push_back({due, message});
}

void roster_fleet::count_traffic(envelope const& message)
{
    auto const* const codec = wire::find_codec(message.body.type());
    capnp::MallocMessageBuilder builder;
    auto root = builder.getRoot<capnp::AnyPointer>();
    codec->encode(message.body, root);
    auto& total = traffic_[codec->kind];
    ++total.messages;
    total.bytes +=
        byte_count(static_cast<std::int64_t>(root.targetSize().wordCount * sizeof(capnp::word)));
}

void roster_fleet::deliver()
{
    auto all = std::exchange(transfers_, {});
    for (auto const& it : all)
    {
        if (it.due > now_)
            transfers_.push_back(it);
        else if (is_dropped(it.message))
            continue;
        else if (is_entry(it.message.to))
        {
            entry::effects out;
            entries_.at(index_of(it.message.to))
                ->handle(now_, entry::message_arrived{it.message}, out);
            process(out);
        }
        else
        {
            handle(index_of(it.message.to), control::message_arrived{it.message});
        }
    }
}

control::operator_request_id roster_fleet::request(std::size_t control, any_message body)
{
    control::operator_request_id const id(++last_);
    handle(control, control::operator_asked{id, std::move(body)});
    return id;
}

void roster_fleet::start_target(int target)
{
    targets_[target] = {sequence_id(), now_};
}

void roster_fleet::start_anew(int target, int at_address_of)
{
    auto announcement = notice(target, sequence_id(1));
    announcement.start = start_id(1 + ++starts_);
    announcement.where = notice(at_address_of, sequence_id(1)).where;
    request(0, any_message::of(control::target_announced{announcement}));
}

void roster_fleet::announce_targets()
{
    for (auto& [target, it] : targets_)
    {
        if (it.next_announcement > now_)
            continue;
        it.next_announcement = now_ + announcement_interval;
        auto const receiver = reachable_control(static_cast<std::size_t>(target));
        if (!receiver)
            continue;
        it.sequence = sequence_id(it.sequence.value() + 1);
        auto announcement = notice(target, it.sequence);
        announcement.standing = it.standing;
        request(*receiver, any_message::of(control::target_announced{announcement}));
    }
}

std::optional<std::size_t> roster_fleet::reachable_control(std::size_t preferred) const
{
    for (std::size_t n = 0; n != controls_.size(); ++n)
        if (auto const control = (preferred + n) % controls_.size(); !isolated_.contains(control))
            return control;
    return std::nullopt;
}

control::operator_request_id roster_fleet::leave(std::size_t control, int target)
{
    auto announcement = notice(target, sequence_id(targets_.at(target).sequence.value() + 1));
    announcement.standing = target_standing::leaving;
    targets_.erase(target);
    return request(control, any_message::of(control::target_announced{announcement}));
}

control::operator_request_id roster_fleet::leave_repeatedly(std::size_t control, int target)
{
    auto announcing = targets_.at(target);
    auto const out = leave(control, target);
    announcing.sequence = sequence_id(announcing.sequence.value() + 1);
    announcing.standing = target_standing::leaving;
    announcing.next_announcement = now_ + announcement_interval;
    targets_[target] = announcing;
    return out;
}

control::operator_request_id roster_fleet::deregister(std::size_t control, int target)
{
    targets_.erase(target);
    return request(control, any_message::of(control::target_leaves{id_of(target), start_id(1)}));
}

void roster_fleet::report_departure(std::size_t entry, int target)
{
    targets_.erase(target);
    messages::roster_poll report;
    report.self.who = describe(entry_id(entry), entry % config_.controls, 2000 + entry);
    report.departed = {{id_of(target), start_id(1)}};
    transmit({.from = entry_id(entry),
              .to = *view(entry).control(),
              .body = any_message::of(std::move(report))});
}

any_message const* roster_fleet::answer(control::operator_request_id id) const
{
    auto const it = answers_.find(id);
    return it == answers_.end() ? nullptr : &it->second;
}

void roster_fleet::apply_first_plan()
{
    run(seconds(1));
    request(0,
            any_message::of(control::plan_submission{plan_number(), first_plan(config_.rate), {}}));
    commit({0, 1, 2});
}

void roster_fleet::commit(std::set<std::size_t> const& replicas)
{
    auto& log = controls_.front()->services().require<fake_log>();
    auto const proposed = std::exchange(log.proposed, {});
    committed_.insert(committed_.end(), proposed.begin(), proposed.end());
    for (auto const n : replicas)
        for (auto const& it : proposed)
            controls_.at(n)->services().require<fake_log>().committed.push_back(it);
}

void roster_fleet::partition(std::set<std::size_t> const& group)
{
    partition_group_ = group;
}

void roster_fleet::mute(std::set<std::size_t> const& controls)
{
    muted_ = controls;
}

void roster_fleet::cut(std::set<std::size_t> const& senders, std::set<std::size_t> const& receivers)
{
    cut_senders_ = senders;
    cut_receivers_ = receivers;
}

void roster_fleet::isolate(std::set<std::size_t> const& controls)
{
    isolated_ = controls;
}

entry::plan_view& roster_fleet::view(std::size_t entry)
{
    return entries_.at(entry)->services().require<entry::plan_view>();
}

std::size_t roster_fleet::serving_count(std::size_t entry)
{
    std::size_t out = 0;
    for (auto const& [id, it] : view(entry).targets())
        out += it.what.standing == target_standing::serving;
    return out;
}

bool roster_fleet::is_serving(std::size_t entry, int target)
{
    auto const& all = view(entry).targets();
    auto const it = all.find(id_of(target));
    return it != all.end() && it->second.what.standing == target_standing::serving;
}

std::optional<per_mille> roster_fleet::part_of(std::size_t entry)
{
    if (!view(entry).knows_entries())
        return std::nullopt;
    return per_mille(whole_share.count() / view(entry).entries());
}

std::optional<std::size_t> roster_fleet::control_of(std::size_t entry)
{
    auto const out = view(entry).control();
    return out ? std::optional(index_of(*out)) : std::nullopt;
}

bool roster_fleet::is_refusing(std::size_t entry)
{
    return view(entry).is_plan_outdated(now_);
}

generation_id roster_fleet::generation(std::size_t entry)
{
    auto const& state = view(entry).steering();
    return state ? state->generation : generation_id();
}

bool roster_fleet::acts_by_plan(std::size_t entry)
{
    return view(entry).steering() && !is_refusing(entry);
}

} // namespace mulberryrudder::testing
