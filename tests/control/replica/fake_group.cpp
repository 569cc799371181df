#include "fake_group.hpp"

#include <mulberryrudder/core/invariant.hpp>
#include <mulberryrudder/messages/replica.hpp>

#include <algorithm>

namespace mulberryrudder::control::testing
{

namespace
{

constexpr span tick_period = milliseconds(50);

std::uint64_t contents_of(log_entry const& it)
{
    if (auto const* const command = it.command.get<test_command>())
        return command->value;
    return it.command.type().hash_code();
}

} // namespace

fake_group::fake_group(std::size_t size, std::uint64_t seed, replica_settings config)
    : random_(seed), config_(kernel::settings::defaults())
{
    config_.set(replica_section, config);
    for (std::size_t n = 0; n != size; ++n)
        initial_.emplace_back(add_instance());
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

instant fake_group::local(fake_instance const& it) const
{
    auto const elapsed = static_cast<double>(now_.time_since_epoch().count());
    return instant(it.clock_offset + span(static_cast<span::rep>(elapsed * it.clock_rate)));
}

void fake_group::start(std::uint32_t id)
{
    auto& it = at(id);
    ++it.start;
    identity self{.boot = boot_id(it.start), .initial_voters = initial_};
    self.self.id = it.id;
    self.may_found = founding;
    if (by_address)
        for (auto const seed : initial_)
            self.contacts[seed] = {"10.0.0." + std::to_string(seed.value()), 7000};
    it.decisions = std::make_unique<core>(core::options{.config = config_,
                                                        .counters = it.counters,
                                                        .events = it.events,
                                                        .self = std::move(self),
                                                        .seed = random_()});
    it.frozen_until = now_;
    give(it, it.disk.contents());
    tick(id, it.start);
}

void fake_group::kill(std::uint32_t id)
{
    auto& it = at(id);
    std::uniform_int_distribution<std::size_t> survivors(0, it.disk.unsynced());
    it.disk.lose_unsynced(survivors(random_));
    it.decisions.reset();
}

void fake_group::freeze(std::uint32_t id, span how_long)
{
    at(id).frozen_until = now_ + how_long;
}

void fake_group::fail_disk(std::uint32_t id)
{
    at(id).disk.lose_unsynced(0);
    if (is_up(id))
        give(at(id), disk_failed{"test"});
}

void fake_group::set_cut(std::uint32_t from, std::uint32_t to, bool cut)
{
    if (cut)
        cuts_.insert({from, to});
    else
        cuts_.erase({from, to});
}

void fake_group::isolate(std::uint32_t id)
{
    for (std::uint32_t other = 1; other <= size(); ++other)
    {
        set_cut(id, other, true);
        set_cut(other, id, true);
    }
}

void fake_group::heal()
{
    cuts_.clear();
    network = {};
}

void fake_group::ask(std::uint32_t id, any_message question)
{
    give(at(id), operator_asked{operator_request_id(++next_request_), std::move(question)});
}

void fake_group::run_for(span how_long)
{
    run_until([] { return false; }, how_long);
}

bool fake_group::run_until(std::function<bool()> const& done, span most)
{
    auto const end = now_ + most;
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

void fake_group::input_to(std::uint32_t id, std::uint64_t start, input const& what)
{
    auto& it = at(id);
    if (!it.decisions || it.start != start)
        return;
    if (it.frozen_until > now_)
        return schedule(it.frozen_until, [=, this] { input_to(id, start, what); });
    give(it, what);
}

void fake_group::give(fake_instance& to, input const& what)
{
    effects out;
    to.decisions->handle(local(to), what, out);
    perform(to, out);
    check(to);
}

void fake_group::tick(std::uint32_t id, std::uint64_t start)
{
    auto& it = at(id);
    if (!it.decisions || it.start != start)
        return;
    schedule(std::max(it.frozen_until, now_ + tick_period), [=, this] { tick(id, start); });
    if (it.frozen_until > now_)
        return;
    effects out;
    it.decisions->tick(local(it), out);
    perform(it, out);
    check(it);
}

void fake_group::perform(fake_instance& by, effects const& out)
{
    for (auto const& it : out)
    {
        if (auto const* const sent = std::get_if<send_message>(&it))
            transmit(sent->message);
        if (auto const* const answer = std::get_if<answer_operator>(&it))
            answers.push_back(answer->body);
        if (auto const* const saved = std::get_if<persist_snapshot>(&it))
            write(by, *saved);
        if (auto const* const saved = std::get_if<persist>(&it))
        {
            check_entries(*saved);
            write(by, *saved);
        }
    }
}

void fake_group::transmit(envelope const& it)
{
    auto const to = it.to.value();
    if (to > size() || cuts_.count({it.from.value(), to}) != 0)
        return;
    std::uniform_real_distribution<double> chance(0, 1);
    std::uniform_int_distribution<span::rep> delay(network.least_delay.count(),
                                                   network.most_delay.count());
    if (chance(random_) < network.lost)
        return;
    int const copies = chance(random_) < network.duplicated ? 2 : 1;
    for (int n = 0; n != copies; ++n)
        schedule(now_ + span(delay(random_)),
                 [=, this]
                 {
                     if (cuts_.count({it.from.value(), to}) == 0)
                         input_to(to, at(to).start, message_arrived{it});
                 });
}

void fake_group::write(fake_instance& by, fake_disk::write it)
{
    by.disk.add(std::move(it));
    auto const id = by.id.value();
    schedule(now_ + sync_delay,
             [this, id, start = by.start]
             {
                 auto& owner = at(id);
                 if (owner.start != start || !owner.decisions)
                     return;
                 if (auto const ticket = owner.disk.sync_one())
                     input_to(id, start, disk_synced{*ticket});
             });
}

void fake_group::check_entries(persist const& it)
{
    for (auto const& entry : it.entries)
    {
        auto const contents = contents_of(entry);
        auto const known = entries_.emplace(std::pair(entry.term, entry.index), contents).first;
        check_invariant(known->second == contents, "equal entries at equal places of the logs");
    }
}

void fake_group::check(fake_instance& it)
{
    auto const& log = log_of(it.id.value());
    if (log.leader() == it.id)
    {
        auto const known = leaders_.emplace(log.term(), it.id).first;
        check_invariant(known->second == it.id, "one leader in a term, over all replicas");
    }
    auto& digests = recorder_of(it.id.value()).digests;
    for (auto const& [index, digest] : digests)
    {
        auto const known = digests_.emplace(index, digest).first;
        check_invariant(known->second == digest, "equal states at equal indexes");
    }
    digests.clear();
    check_one_acts();
}

void fake_group::check_one_acts()
{
    int n = 0;
    for (std::uint32_t id = 1; id <= size(); ++id)
    {
        if (!may_act(id))
            continue;
        ++n;
        bool const knows_all =
            digests_.empty() || log_of(id).applied_index() >= digests_.rbegin()->first;
        check_invariant(knows_all, "who acts has applied all that anybody applied");
    }
    check_invariant(n <= 1, "no two replicas may act at one time");
}

replicated_log& fake_group::log_of(std::uint32_t id)
{
    return at(id).decisions->services().require<replicated_log>();
}

recorder& fake_group::recorder_of(std::uint32_t id)
{
    return at(id).decisions->services().require<recorder>();
}

bool fake_group::may_act(std::uint32_t id)
{
    return is_up(id) && log_of(id).may_act(local(at(id)));
}

std::uint32_t fake_group::acting()
{
    for (std::uint32_t id = 1; id <= size(); ++id)
        if (may_act(id) && at(id).frozen_until <= now_)
            return id;
    return 0;
}

bool fake_group::propose(std::uint64_t value)
{
    auto const id = acting();
    if (id == 0)
        return false;
    // A tick first gives the replica the time at which it is asked.
    effects out;
    at(id).decisions->tick(local(at(id)), out);
    bool const taken = log_of(id).propose(any_message::of(test_command{value})).has_value();
    at(id).decisions->tick(local(at(id)), out);
    perform(at(id), out);
    check(at(id));
    return taken;
}

bool fake_group::has_value(std::uint32_t id, std::uint64_t value)
{
    if (!is_up(id))
        return false;
    auto const& values = recorder_of(id).state.values;
    return std::find(values.begin(), values.end(), value) != values.end();
}

} // namespace mulberryrudder::control::testing
