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
version_id const old_version("v1");
version_id const new_version("v2");

/// One entry instance's part of a route.
struct simulated_entry
{
    std::unique_ptr<entry::route_versions> state; ///< Null while the route has no move.
    std::uint64_t asked = 0;
};

/// A route with a move, at all entries.
class simulated_route
{
public:
    simulated_route(route_id id, move_case const& what, instant start)
        : id_(std::move(id)), what_(what), versions_(what_), start_(start)
    {
    }

    route_id const& id() const { return id_; }
    move_case const& what() const { return what_; }
    instant deadline() const { return start_ + what_.time; }

    void follow(fleet_config const& config);
    void serve(std::size_t which, instant now, random_source& random);
    void report(std::size_t which, messages::renew_request& out);
    void watch(fleet_state_view const& state, instant now);
    move_result result(fleet_state_view const& state, instant ended) const;

private:
    void serve_one(simulated_entry& it, instant now, random_source& random);

    route_id id_;
    move_case what_;
    simulated_versions versions_;
    instant start_;
    double share_ = 0; ///< That the entries hold.
    std::array<simulated_entry, entries> entries_;
    move_result out_;
};

void simulated_route::follow(fleet_config const& config)
{
    auto const found = config.routes.find(id_);
    if (found == config.routes.end())
        return;
    auto const& route = found->second;
    share_ = static_cast<double>(route.next_share.count()) / 1000.0;
    entry::version_judge::options const judging{1'000'000, requests(30)};
    for (auto& it : entries_)
    {
        if (route.next == version_id{})
            it.state.reset();
        else if (!it.state)
            it.state = std::make_unique<entry::route_versions>(judging, route);
        if (it.state)
            it.state->follow(route);
    }
}

void simulated_route::serve(std::size_t which, instant now, random_source& random)
{
    double const rate = what_.requests_per_second / entries *
                        static_cast<double>(tick_period.count()) / 1'000'000.0;
    std::poisson_distribution<int> arrivals(rate);
    for (int n = arrivals(random); n != 0; --n)
        serve_one(entries_[which], now, random);
}

void simulated_route::serve_one(simulated_entry& it, instant now, random_source& random)
{
    ++out_.requests_all;
    if (!it.state)
        return;
    request_id const id(++it.asked);
    bool const to_new = !it.state->is_tripped() && it.state->shares().take_place(id);
    it.state->shares().sent(id, to_new);
    bool const faulty = to_new && versions_.shows_fault(now - start_, share_);
    out_.requests_to_new += to_new ? 1 : 0;
    out_.requests_to_faulty += faulty ? 1 : 0;
    it.state->observe(to_new ? new_version : old_version, versions_.draw(faulty, random));
}

void simulated_route::report(std::size_t which, messages::renew_request& out)
{
    if (auto const& it = entries_[which].state)
        it->report(id_, out.observations);
}

void simulated_route::watch(fleet_state_view const& state, instant now)
{
    if (now < deadline() && state.config()->routes.at(id_).next_share == what_.cap)
        out_.reached = true;
}

move_result simulated_route::result(fleet_state_view const& state, instant ended) const
{
    auto out = out_;
    for (auto const& it : state.ended_moves())
    {
        if (it.move.route != id_)
            continue;
        out.done = it.outcome == move_outcome::done;
        out.taken_back = it.outcome == move_outcome::taken_back;
        out.evidence = it.evidence;
    }
    // Below the whole, the rest of the route follows at the end of the move.
    if (what_.cap < whole_share)
        out.reached = out.done && ended < deadline();
    return out;
}

/// A control decision core with a leader's moves, and the entries' version rules.
class simulation
{
public:
    simulation(std::vector<move_case> const& cases, std::uint64_t seed)
        : random_(seed), core_({.config = config_,
                                .counters = counters_,
                                .events = events_,
                                .self = {.self = {.id = instance_id(1)}},
                                .seed = seed})
    {
        for (auto const& it : cases)
            routes_.emplace_back(route_id("r" + std::to_string(routes_.size())), it, start_);
    }

    std::vector<move_result> run();

private:
    fleet_state_view& state() { return *core_.services().find<fleet_state_view>(); }
    void order_moves();
    void advance();
    void report(std::size_t which);
    void follow_config();
    bool is_without_leader() const;

    random_source random_;
    kernel::settings config_ = kernel::settings::defaults();
    kernel::counter_set counters_;
    kernel::null_event_sink events_;
    core core_;
    instant const start_{seconds(1000)};
    instant now_ = start_;
    std::vector<simulated_route> routes_;
    std::deque<std::pair<instant, std::shared_ptr<fleet_config const>>> pushed_;
    std::shared_ptr<fleet_config const> in_force_ = std::make_shared<fleet_config const>();
    std::uint64_t sequence_ = 0;
};

void simulation::order_moves()
{
    effects todo;
    core_.handle(now_, disk_recovered{}, todo);
    core_.tick(now_, todo);
    release_note first{.number = note_number(1)};
    release_note second{.number = note_number(2)};
    for (auto const& it : routes_)
    {
        first.add.routes[it.id()] = {.open = true, .version = old_version};
        utc_time const deadline(it.deadline().time_since_epoch().count());
        second.add.moves[it.id()] = {new_version, it.what().cap, deadline};
    }
    auto& log = *core_.services().find<replicated_log>();
    for (auto const& it : {first, second})
        log.propose(any_message::of(commit_note{it, content_digest(it)}));
    core_.tick(now_, todo);
    check_invariant(state().moves().size() == routes_.size(), "the simulated moves were accepted");
}

void simulation::follow_config()
{
    auto const newest = state().config();
    if (pushed_.empty() || pushed_.back().second != newest)
        pushed_.emplace_back(now_ + push_delay, newest);
    for (; pushed_.front().first <= now_; pushed_.pop_front())
    {
        in_force_ = pushed_.front().second;
        if (pushed_.size() == 1)
            break;
    }
    for (auto& it : routes_)
        it.follow(*in_force_);
}

void simulation::report(std::size_t which)
{
    messages::renew_request renewal{.sequence = sequence_id(++sequence_)};
    for (auto& it : routes_)
        it.report(which, renewal);
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
    auto const tick = static_cast<std::size_t>((now_ - start_) / tick_period);
    auto const ticks_per_report = static_cast<std::size_t>(report_period / tick_period);
    for (std::size_t n = 0; n != entries; ++n)
    {
        for (auto& it : routes_)
            it.serve(n, now_, random_);
        if (tick % ticks_per_report == n % ticks_per_report)
            report(n);
    }
    core_.services().find<instant_log>()->wants_to_lead = !is_without_leader();
    effects todo;
    core_.tick(now_, todo);
}

bool simulation::is_without_leader() const
{
    auto const lost = routes_.front().what().leader_lost_after;
    auto const since = now_ - start_;
    return lost <= since && since - failover < lost;
}

std::vector<move_result> simulation::run()
{
    order_moves();
    auto const longest = routes_.front().what().time;
    while (!state().moves().empty() && now_ < start_ + 2 * longest + seconds(700))
    {
        advance();
        for (auto& it : routes_)
            it.watch(state(), now_);
    }
    std::vector<move_result> out;
    for (auto const& it : routes_)
        out.push_back(it.result(state(), now_));
    return out;
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
    return simulation({what}, seed).run().front();
}

std::vector<move_result> run_moves(std::vector<move_case> const& cases, std::uint64_t seed)
{
    return simulation(cases, seed).run();
}

} // namespace mulberryrudder::bench
