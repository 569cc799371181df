#include "fake_group.hpp"

#include <mulberryrudder/control/command_size.hpp>
#include <mulberryrudder/core/invariant.hpp>
#include <mulberryrudder/messages/replica.hpp>

#include <algorithm>
#include <utility>

namespace mulberryrudder::control::testing
{

namespace
{

constexpr span tick_period = milliseconds(50);

std::uint64_t contents_of(log_entry const& entry)
{
    if (auto const* const command = entry.command.get<test_command>())
        return command->value;
    return entry.command.type().hash_code();
}

byte_count size_on_network(any_message const& message)
{
    byte_count out(64);
    if (auto const* const append = message.get<messages::append_request>())
        for (auto const& it : append->entries)
            out += memory_size(it.command);
    if (auto const* const piece = message.get<messages::snapshot_piece>())
        out += memory_size(piece->part);
    return out;
}

} // namespace

fake_group::fake_group(std::size_t size, std::uint64_t seed, replica_settings config)
    : random_(seed), config_(kernel::settings::defaults())
{
    config_.set(replica_section, config);
    for (std::size_t n = 0; n != size; ++n)
        initial_voters_.emplace_back(add_instance());
}

std::uint32_t fake_group::add_instance()
{
    auto const id = static_cast<std::uint32_t>(instances_.size() + 1);
    instances_.push_back(std::make_unique<fake_instance>());
    instances_.back()->id = instance_id(id);
    return id;
}

void fake_group::schedule(instant due, std::function<void()> run)
{
    events_.push({.due = due, .order = ++order_, .run = std::move(run)});
}

instant fake_group::local_time(fake_instance const& instance) const
{
    auto const elapsed = static_cast<double>(now_.time_since_epoch().count());
    return instant(instance.clock_offset +
                   span(static_cast<span::rep>(elapsed * instance.clock_rate)));
}

void fake_group::start(std::uint32_t id)
{
    auto& disk = at(id).disk;
    disk.fails = disk.failure_told = false;
    disk.was_read = true;
    start_with(id, disk.contents());
}

void fake_group::start_unreadable(std::uint32_t id)
{
    auto& disk = at(id).disk;
    disk.failure_told = disk.was_read = false;
    start_with(id, disk_recovered{.failed = true});
    fail_disk(id);
}

void fake_group::start_with(std::uint32_t id, disk_recovered const& recovery)
{
    auto& instance = at(id);
    ++instance.start;
    identity self{.boot = boot_id(instance.start), .initial_voters = initial_voters_};
    self.self.id = instance.id;
    self.operators = operator_address(id);
    self.may_found = may_found;
    if (seeds_by_address)
        for (auto const seed : initial_voters_)
            self.contacts[seed] = {"10.0.0." + std::to_string(seed.value()), 7000};
    instance.decision_core = std::make_unique<core>(core::options{.config = config_,
                                                                  .counters = instance.counters,
                                                                  .events = instance.events,
                                                                  .self = std::move(self),
                                                                  .seed = random_()});
    instance.frozen_until = now_;
    deliver(instance, recovery);
    tick(id, instance.start);
}

void fake_group::kill(std::uint32_t id)
{
    auto& instance = at(id);
    std::uniform_int_distribution<std::size_t> synced_count(0, instance.disk.unsynced());
    instance.disk.drop_unsynced(synced_count(random_));
    instance.decision_core.reset();
}

void fake_group::request_stop(std::uint32_t id)
{
    deliver_when_running(id, at(id).start, stop_requested{});
}

void fake_group::end_process(std::uint32_t id, std::uint64_t start)
{
    // The core is in use until the input that completed the stop was handled.
    schedule(now_,
             [=, this]
             {
                 if (is_up(id) && at(id).start == start)
                     kill(id);
             });
}

void fake_group::freeze(std::uint32_t id, span duration)
{
    at(id).frozen_until = now_ + duration;
}

void fake_group::fail_disk(std::uint32_t id)
{
    auto& disk = at(id).disk;
    disk.drop_unsynced(0);
    disk.fails = true;
    if (!std::exchange(disk.failure_told, true))
        deliver_when_running(id, at(id).start, disk_failed{"test"});
}

void fake_group::mend_disk(std::uint32_t id)
{
    at(id).disk.fails = false;
}

void fake_group::reopen_disk_when_mended(std::uint32_t id, std::uint64_t start)
{
    schedule(now_ + sync_delay,
             [=, this]
             {
                 if (!is_up(id) || at(id).start != start)
                     return;
                 auto& disk = at(id).disk;
                 if (disk.fails)
                     return reopen_disk_when_mended(id, start);
                 disk.failure_told = false;
                 if (std::exchange(disk.was_read, true))
                     deliver_when_running(id, start, disk_reopened{});
                 else
                     deliver_when_running(id, start, disk.contents());
             });
}

void fake_group::set_link_cut(std::uint32_t sender, std::uint32_t receiver, bool cut)
{
    if (cut)
        cut_links_.insert({sender, receiver});
    else
        cut_links_.erase({sender, receiver});
}

void fake_group::isolate(std::uint32_t id)
{
    for (std::uint32_t other = 1; other <= size(); ++other)
    {
        set_link_cut(id, other, true);
        set_link_cut(other, id, true);
    }
}

void fake_group::heal()
{
    cut_links_.clear();
    network = {};
}

operator_request_id fake_group::send_operator_request(std::uint32_t id, any_message request)
{
    operator_request_id const out(++next_request_);
    deliver_when_running(id, at(id).start, operator_asked{out, std::move(request)});
    return out;
}

any_message const* fake_group::answer_to(operator_request_id id) const
{
    auto const it = answer_by_request_.find(id);
    return it == answer_by_request_.end() ? nullptr : &it->second;
}

endpoint fake_group::operator_address(std::uint32_t id)
{
    return {"10.0.0." + std::to_string(id), 8000};
}

void fake_group::run_for(span duration)
{
    run_until([] { return false; }, duration);
}

bool fake_group::run_until(std::function<bool()> const& done, span timeout)
{
    auto const end = now_ + timeout;
    while (!done())
    {
        if (events_.empty() || events_.top().due > end)
        {
            now_ = end;
            return done();
        }
        auto const next = events_.top();
        events_.pop();
        now_ = next.due;
        next.run();
    }
    return true;
}

void fake_group::deliver_when_running(std::uint32_t id, std::uint64_t start,
                                      input const& core_input)
{
    auto& instance = at(id);
    if (!instance.decision_core || instance.start != start)
        return;
    if (instance.frozen_until > now_)
        return schedule(instance.frozen_until,
                        [=, this] { deliver_when_running(id, start, core_input); });
    deliver(instance, core_input);
}

void fake_group::deliver(fake_instance& instance, input const& core_input)
{
    effects out;
    instance.decision_core->handle(local_time(instance), core_input, out);
    perform(instance, out);
    check(instance);
}

void fake_group::tick(std::uint32_t id, std::uint64_t start)
{
    auto& instance = at(id);
    if (!instance.decision_core || instance.start != start)
        return;
    schedule(std::max(instance.frozen_until, now_ + tick_period), [=, this] { tick(id, start); });
    if (instance.frozen_until > now_)
        return;
    effects out;
    instance.decision_core->tick(local_time(instance), out);
    perform(instance, out);
    check(instance);
}

void fake_group::perform(fake_instance& instance, effects const& out)
{
    for (auto const& it : out)
    {
        if (auto const* const sent = std::get_if<send_message>(&it))
            transmit(sent->message);
        if (auto const* const answer = std::get_if<answer_operator>(&it))
        {
            answers.push_back(answer->body);
            answer_by_request_.emplace(answer->id, answer->body);
        }
        if (std::holds_alternative<stop_completed>(it))
            end_process(instance.id.value(), instance.start);
        if (std::holds_alternative<reopen_disk>(it))
            reopen_disk_when_mended(instance.id.value(), instance.start);
        if (auto const* const saved = std::get_if<persist_snapshot>(&it))
            write(instance, *saved);
        if (auto const* const saved = std::get_if<persist>(&it))
        {
            check_entries(*saved);
            write(instance, *saved);
        }
    }
}

void fake_group::transmit(envelope const& message)
{
    auto const receiver = message.to.value();
    if (receiver > size() || cut_links_.count({message.from.value(), receiver}) != 0)
        return;
    std::uniform_real_distribution<double> chance(0, 1);
    std::uniform_int_distribution<span::rep> delay(network.min_delay.count(),
                                                   network.max_delay.count());
    if (chance(random_) < network.loss_probability)
        return;
    auto const sent_at = end_of_sending(message);
    int const copies = chance(random_) < network.duplicate_probability ? 2 : 1;
    for (int n = 0; n != copies; ++n)
        schedule(sent_at + (network.bandwidth ? network.max_delay : span(delay(random_))),
                 [=, this]
                 {
                     if (cut_links_.count({message.from.value(), receiver}) == 0)
                         deliver_when_running(receiver, at(receiver).start,
                                              message_arrived{message});
                 });
}

instant fake_group::end_of_sending(envelope const& message)
{
    auto const size = size_on_network(message.body);
    bytes_sent += size;
    if (!network.bandwidth)
        return now_;
    auto& free_at = links_free_at_[{message.from.value(), message.to.value()}];
    span const duration = seconds(1) * size.count() / network.bandwidth->count();
    free_at = std::max(free_at, now_) + duration;
    return free_at;
}

void fake_group::write(fake_instance& instance, fake_disk::write data)
{
    if (instance.disk.fails)
        return;
    bool const is_idle = instance.disk.unsynced() == 0;
    instance.disk.add(std::move(data));
    if (is_idle)
        sync_batch(instance.id.value(), instance.start);
}

void fake_group::sync_batch(std::uint32_t id, std::uint64_t start)
{
    // Writes of the same input belong to the same batch.
    schedule(now_,
             [=, this]
             {
                 auto const size = at(id).disk.unsynced();
                 schedule(now_ + at(id).sync_delay.value_or(sync_delay),
                          [=, this]
                          {
                              auto& writer = at(id);
                              if (writer.start != start || !writer.decision_core)
                                  return;
                              std::optional<disk_ticket> newest;
                              for (std::size_t n = 0; n != size; ++n)
                                  if (auto const ticket = writer.disk.sync_one())
                                      newest = ticket;
                              if (writer.disk.unsynced() != 0)
                                  sync_batch(id, start);
                              if (newest)
                                  deliver_when_running(id, start, disk_synced{*newest});
                          });
             });
}

void fake_group::check_entries(persist const& written)
{
    for (auto const& entry : written.entries)
    {
        auto const contents = contents_of(entry);
        auto const known = entries_.emplace(std::pair(entry.term, entry.index), contents).first;
        check_invariant(known->second == contents, "equal entries at equal terms and indexes");
    }
}

void fake_group::check(fake_instance& instance)
{
    auto const& log = log_of(instance.id.value());
    if (log.leader() == instance.id)
    {
        auto const known = leaders_.emplace(log.term(), instance.id).first;
        check_invariant(known->second == instance.id, "one leader per term among all replicas");
    }
    auto& digests = recorder_of(instance.id.value()).digests;
    for (auto const& [index, digest] : digests)
    {
        auto const known = digests_.emplace(index, digest).first;
        check_invariant(known->second == digest, "equal states at equal indexes");
    }
    digests.clear();
    check_single_acting_leader();
}

void fake_group::check_single_acting_leader()
{
    int acting_count = 0;
    for (std::uint32_t id = 1; id <= size(); ++id)
    {
        if (!may_act(id))
            continue;
        ++acting_count;
        bool const is_current =
            digests_.empty() || log_of(id).applied_index() >= digests_.rbegin()->first;
        check_invariant(is_current, "the acting leader has applied every entry applied anywhere");
    }
    check_invariant(acting_count <= 1, "at most one replica may act");
}

replicated_log& fake_group::log_of(std::uint32_t id)
{
    return at(id).decision_core->services().require<replicated_log>();
}

recorder& fake_group::recorder_of(std::uint32_t id)
{
    return at(id).decision_core->services().require<recorder>();
}

bool fake_group::may_act(std::uint32_t id)
{
    return is_up(id) && log_of(id).may_act(local_time(at(id)));
}

std::uint32_t fake_group::acting_leader()
{
    for (std::uint32_t id = 1; id <= size(); ++id)
        if (may_act(id) && at(id).frozen_until <= now_)
            return id;
    return 0;
}

void fake_group::act_as_leader(std::function<void(std::uint32_t id, instant now)> const& act)
{
    auto const id = acting_leader();
    if (id == 0)
        return;
    // The tick updates the replica's time before the call.
    effects out;
    at(id).decision_core->tick(local_time(at(id)), out);
    act(id, local_time(at(id)));
    at(id).decision_core->tick(local_time(at(id)), out);
    perform(at(id), out);
    check(at(id));
}

bool fake_group::propose(std::uint64_t value, byte_count size)
{
    bool accepted = false;
    act_as_leader(
        [&](std::uint32_t id, instant) {
            accepted = log_of(id).propose(any_message::of(test_command{value, size})).has_value();
        });
    return accepted;
}

bool fake_group::has_value(std::uint32_t id, std::uint64_t value)
{
    if (!is_up(id))
        return false;
    auto const& values = recorder_of(id).state.values;
    return std::find(values.begin(), values.end(), value) != values.end();
}

} // namespace mulberryrudder::control::testing
