#include "moves_simulation.hpp"

#include "instant_log.hpp"

#include <mulberryrudder/control/replicated_log.hpp>
#include <mulberryrudder/core/invariant.hpp>

#include <array>
#include <deque>

namespace mulberryrudder::bench
{

namespace
{

using namespace control;

constexpr std::size_t entries = 11;
constexpr span tick_period = milliseconds(100);
constexpr span report_period = seconds(1);
constexpr span push_delay = milliseconds(200);
constexpr span failover = seconds(3);
route_id const route("sheet");
version_id const old_version("v1");
version_id const new_version("v2");

/// One entry instance's part of the route.
struct simulated_entry
{
    std::unique_ptr<entry::route_versions> state; ///< Null while the route has no move.
    std::uint64_t asked = 0;
};

/// A control decision core with a leader's moves, and the entries' version rules.
class simulation
{
public:
    simulation(move_case const& what, std::uint64_t seed)
        : what_(what), versions_(what), random_(seed),
          core_({.config = config_,
                 .counters = counters_,
                 .events = events_,
                 .self = {.self = {.id = instance_id(1)}},
                 .seed = seed})
    {
    }

    move_result run();

private:
    fleet_state_view& state() { return *core_.services().find<fleet_state_view>(); }
    void order_move();
    void advance();
    void serve(simulated_entry& it, double rate);
    void serve_one(simulated_entry& it);
    void report(std::size_t which);
    void follow_config();
    bool is_without_leader() const;

    move_case const& what_;
    simulated_versions versions_;
    random_source random_;
    kernel::settings config_ = kernel::settings::defaults();
    kernel::counter_set counters_;
    kernel::null_event_sink events_;
    core core_;
    instant const start_{seconds(1000)};
    instant now_ = start_;
    std::array<simulated_entry, entries> entries_;
    std::deque<std::pair<instant, std::shared_ptr<fleet_config const>>> pushed_;
    std::shared_ptr<fleet_config const> in_force_ = std::make_shared<fleet_config const>();
    std::uint64_t sequence_ = 0;
    move_result out_;
};

void simulation::order_move()
{
    effects todo;
    core_.handle(now_, disk_recovered{}, todo);
    core_.tick(now_, todo);
    release_note first{.number = note_number(1)};
    first.add.routes[route] = {.open = true, .version = old_version};
    release_note second{.number = note_number(2)};
    auto const deadline = (start_ + what_.time).time_since_epoch().count();
    second.add.moves[route] = {new_version, what_.cap, utc_time(deadline)};
    auto& log = *core_.services().find<replicated_log>();
    for (auto const& it : {first, second})
        log.propose(any_message::of(commit_note{it, content_digest(it)}));
    core_.tick(now_, todo);
    check_invariant(state().moves().size() == 1, "the simulated move was accepted");
}

void simulation::follow_config()
{
    auto const newest = state().config();
    if (pushed_.empty() || pushed_.back().second != newest)
        pushed_.emplace_back(now_ + push_delay, newest);
    while (!pushed_.empty() && pushed_.front().first <= now_)
    {
        in_force_ = pushed_.front().second;
        if (pushed_.size() == 1)
            break;
        pushed_.pop_front();
    }
    auto const it = in_force_->routes.find(route);
    if (it == in_force_->routes.end())
        return;
    for (auto& entry : entries_)
    {
        if (it->second.next == version_id{})
            entry.state.reset();
        else if (!entry.state)
            entry.state = std::make_unique<entry::route_versions>(
                entry::version_judge::options{1'000'000, requests(30)}, it->second);
        if (entry.state)
            entry.state->follow(it->second);
    }
}

void simulation::serve(simulated_entry& it, double rate)
{
    std::poisson_distribution<int> arrivals(rate);
    for (int n = arrivals(random_); n != 0; --n)
        serve_one(it);
}

void simulation::serve_one(simulated_entry& it)
{
    ++out_.requests_all;
    if (!it.state)
        return;
    request_id const id(++it.asked);
    bool const to_new = !it.state->is_tripped() && it.state->shares().take_place(id);
    it.state->shares().sent(id, to_new);
    auto const share = static_cast<double>(in_force_->routes.at(route).next_share.count()) / 1000.0;
    bool const faulty = to_new && versions_.shows_fault(now_ - start_, share);
    out_.requests_to_new += to_new ? 1 : 0;
    out_.requests_to_faulty += faulty ? 1 : 0;
    it.state->observe(to_new ? new_version : old_version, versions_.draw(faulty, random_));
}

void simulation::report(std::size_t which)
{
    auto& it = entries_[which];
    messages::renew_request renewal{.sequence = sequence_id(++sequence_)};
    if (it.state)
        it.state->report(route, renewal.observations);
    // Measurements get lost now and then.
    if (std::bernoulli_distribution(0.05)(random_))
        return;
    effects todo;
    instance_id const from(static_cast<std::uint32_t>(which + 1));
    core_.handle(now_, message_arrived{{from, instance_id(1), any_message::of(renewal)}}, todo);
}

void simulation::advance()
{
    now_ += tick_period;
    follow_config();
    double const rate = what_.requests_per_second / entries *
                        static_cast<double>(tick_period.count()) / 1'000'000.0;
    auto const ticks = (now_ - start_) / tick_period;
    auto const ticks_per_report = static_cast<std::size_t>(report_period / tick_period);
    for (std::size_t n = 0; n != entries; ++n)
    {
        serve(entries_[n], rate);
        if (static_cast<std::size_t>(ticks) % ticks_per_report == n % ticks_per_report)
            report(n);
    }
    core_.services().find<instant_log>()->wants_to_lead = !is_without_leader();
    effects todo;
    core_.tick(now_, todo);
}

bool simulation::is_without_leader() const
{
    auto const since = now_ - start_;
    return what_.leader_lost_after <= since && since - failover < what_.leader_lost_after;
}

move_result simulation::run()
{
    order_move();
    auto const deadline = start_ + what_.time;
    while (!state().moves().empty() && now_ < deadline + what_.time + seconds(700))
    {
        advance();
        auto const& it = state().config()->routes.at(route);
        if (now_ < deadline && it.next_share == what_.cap)
            out_.reached = true;
    }
    for (auto const& it : state().ended_moves())
    {
        out_.done = it.outcome == move_outcome::done;
        out_.taken_back = it.outcome == move_outcome::taken_back;
        out_.evidence = it.evidence;
    }
    // Below the whole, the rest of the route follows at the end of the move.
    if (what_.cap < whole_share)
        out_.reached = out_.done && now_ < deadline;
    return out_;
}

} // namespace

std::string_view to_string(fault_kind kind)
{
    static constexpr std::array<std::string_view, 6> names{
        "good", "good but noisy", "fails at once", "fails later", "fails under load", "slows down"};
    return names.at(static_cast<std::size_t>(kind));
}

bool simulated_versions::shows_fault(span since_start, double share) const
{
    switch (what_.kind)
    {
    case fault_kind::none:
    case fault_kind::none_noisy:
        return false;
    case fault_kind::at_once:
        return true;
    case fault_kind::later:
    case fault_kind::slow:
        return since_start >= what_.fault_after;
    case fault_kind::under_load:
        return share >= what_.fault_share;
    }
    return false;
}

entry::version_outcome simulated_versions::draw(bool faulty, random_source& random) const
{
    double const failing = faulty ? std::max(what_.fault_rate, what_.noise) : what_.noise;
    double const mean = what_.mean_ms * (faulty ? what_.slow_factor : 1.0);
    std::exponential_distribution<double> took(1.0 / mean);
    return {.failed = std::bernoulli_distribution(failing)(random),
            .took = span(static_cast<span::rep>(1000.0 * took(random)) + 500)};
}

move_case draw_case(std::uint64_t seed)
{
    random_source random(seed * 7919);
    auto const between = [&](double least, double most)
    { return std::uniform_real_distribution<double>(least, most)(random); };
    move_case out;
    // A third of the cases are good ones; each kind of fault has an equal part of the rest.
    out.kind = seed % 3 == 0 ? (seed % 2 == 0 ? fault_kind::none : fault_kind::none_noisy)
                             : static_cast<fault_kind>(2 + random() % 4);
    out.requests_per_second = between(100, 1000);
    out.noise = out.kind == fault_kind::none_noisy ? between(0.01, 0.05) : 0.001;
    out.mean_ms = between(2, 50);
    out.time = milliseconds(static_cast<int>(between(120'000, 300'000)));
    out.cap = random() % 4 == 0 ? per_mille(500) : whole_share;
    out.fault_after =
        span(static_cast<span::rep>(between(0, 1.2) * static_cast<double>(out.time.count())));
    out.fault_share = between(0.05, 0.45);
    out.fault_rate = out.kind == fault_kind::slow ? 0 : between(0.2, 1.0);
    out.slow_factor = out.kind == fault_kind::slow ? between(3, 10) : 1.0;
    if (out.kind == fault_kind::slow && random() % 2 == 0)
        out.fault_after = {};
    if (random() % 3 == 0)
        out.leader_lost_after =
            span(static_cast<span::rep>(between(0, 1) * static_cast<double>(out.time.count())));
    return out;
}

move_result run_move(move_case const& what, std::uint64_t seed)
{
    return simulation(what, seed).run();
}

} // namespace mulberryrudder::bench
