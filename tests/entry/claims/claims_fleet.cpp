#include "claims_fleet.hpp"

#include "plugins/entry/claims/claims_settings.hpp"
#include "plugins/entry/claims/keeper_sets.hpp"

#include <cstdio>

namespace mulberryrudder::entry
{

namespace
{

stage_registrar<fake_wall_clock> const entered{"fake_wall_clock", 10};

constexpr span lease_time = milliseconds(900);
constexpr span renewal_period = milliseconds(300);
constexpr span tick_period = milliseconds(100);

kernel::settings claims_test_settings()
{
    auto out = kernel::settings::defaults();
    out.set(claims_section, {.window = seconds(30),
                             .clock_skew = milliseconds(200),
                             .view_bound = seconds(1),
                             .member_hold = milliseconds(500),
                             .timeout = milliseconds(300),
                             .end_retry = seconds(2)});
    return out;
}

fleet_config claims_test_config()
{
    fleet_config out;
    out.generation = generation_id(1);
    out.customers[customer_id("bib")] = {.home = region_id("r0"), .keys = {sha256("bib-key")}};
    out.routes[route_id("pay")] = {.version = version_id("v1")};
    return out;
}

} // namespace

claims_fleet::claims_fleet(std::uint64_t seed, std::size_t count, fleet_faults faults)
    : random(seed), faults_(faults), instances_(count)
{
    for (std::size_t n = 0; n != count; ++n)
    {
        instances_[n].clock_offset = milliseconds(static_cast<int>(random() % 200) - 100);
        start(n);
    }
    run_for(seconds(4));
}

instance_description claims_fleet::describe(std::size_t which)
{
    return {.id = instance_id(static_cast<std::uint32_t>(which + 1)),
            .region = region_id("r" + std::to_string(which / 2)),
            .domain = domain_id("d" + std::to_string(which))};
}

std::vector<messages::member> claims_fleet::members() const
{
    std::vector<messages::member> out;
    for (std::size_t n = 0; n != instances_.size(); ++n)
        if (instances_[n].is_member)
            out.push_back({.where = describe(n), .live = true});
    return out;
}

void claims_fleet::start(std::size_t which)
{
    auto& it = instances_[which];
    ++it.boots;
    it.bench =
        std::make_unique<entry_bench>(claims_test_settings(), describe(which), boot_id(it.boots));
    it.bench->lease().held = claims_test_config();
    it.bench->lease().deadline = instant{};
}

void claims_fleet::renew(std::size_t which)
{
    auto& it = instances_[which];
    if (!it.bench || is_cut(which) || !it.is_member)
        return;
    it.bench->lease().known = members();
    it.bench->lease().deadline = now_ + lease_time;
}

void claims_fleet::at(instant when, std::function<void()> what)
{
    agenda_.emplace(when, std::move(what));
}

void claims_fleet::run_for(span time)
{
    auto const end = now_ + time;
    auto next_tick = now_;
    auto next_renewal = now_;
    while (now_ < end)
    {
        bool const due = !agenda_.empty() && agenda_.begin()->first <= next_tick;
        if (due)
        {
            now_ = std::max(now_, agenda_.begin()->first);
            auto const what = std::move(agenda_.begin()->second);
            agenda_.erase(agenda_.begin());
            what();
            continue;
        }
        now_ = next_tick;
        next_tick += tick_period;
        for (std::size_t n = 0; n != instances_.size(); ++n)
        {
            if (next_renewal <= now_)
                renew(n);
            if (auto& bench = instances_[n].bench)
            {
                bench->now = now_;
                perform(n, bench->tick());
            }
        }
        if (next_renewal <= now_)
            next_renewal += renewal_period;
    }
}

void claims_fleet::give(std::size_t which, input const& what)
{
    auto& it = instances_[which];
    if (!it.bench)
        return;
    it.bench->now = now_;
    auto& clock = *it.bench->decisions().services().find<fake_wall_clock>();
    clock.now = now_;
    clock.offset = it.clock_offset;
    perform(which, it.bench->handle(what));
}

void claims_fleet::perform(std::size_t which, effects const& todo)
{
    for (auto const& it : todo)
    {
        if (auto const* const message = std::get_if<send_message>(&it))
            deliver(message->message, which);
        if (auto const* const sent = std::get_if<send_attempt>(&it))
            attempt_at_target(which, *sent);
        if (auto const* const told = std::get_if<answer_caller>(&it))
            note_answer(*told);
    }
}

void claims_fleet::deliver(envelope const& it, std::size_t from)
{
    auto const to = static_cast<std::size_t>(it.to.value() - 1);
    if (is_cut(from) || is_cut(to) || happens(faults_.lost))
        return;
    for (int n = happens(faults_.duplicated) ? 2 : 1; n != 0; --n)
        at(now_ + delay(faults_.most_delay), [this, it, to] { give(to, message_arrived{it}); });
}

void claims_fleet::attempt_at_target(std::size_t which, send_attempt const& it)
{
    auto const boot = instances_[which].boots;
    auto const tell = [=, this](input const& what)
    {
        if (instances_[which].boots == boot)
            give(which, what);
    };
    bool const fails = happens(faults_.attempt_fails);
    if (fails && happens(0.3))
    {
        at(now_ + delay(faults_.most_run),
           [=] {
               tell(attempt_failed{it.id, attempt_failure::connect_refused, verdict::not_run});
           });
        return;
    }
    bool const runs = !fails || happens(0.5);
    auto const key = requests_.at(it.request).key;
    at(now_ + delay(faults_.most_run),
       [=, this]
       {
           if (runs)
           {
               requests_.at(it.request).ran = true;
               if (++runs_[key] > 1)
                   wrong_ += "key " + key + " ran twice; ";
           }
           if (fails)
               return tell(attempt_failed{it.id, attempt_failure::closed, verdict::may_have_run});
           auto content = std::make_shared<reply const>(reply{.status = 200, .body = key});
           tell(attempt_replied{.id = it.id, .content = content});
       });
}

void claims_fleet::note_answer(answer_caller const& it)
{
    auto& request = requests_.at(it.id);
    if (auto const* const no = std::get_if<refused>(&it.what))
    {
        request.told = std::string(no->why->what().name) + " " + std::string(to_string(no->run));
        return;
    }
    ++replies_;
    request.told = "answered";
    if (std::get<answered>(it.what).content->body != request.key)
        wrong_ += "a reply of another key for " + request.key + "; ";
}

std::string claims_fleet::make_key(milliseconds offset)
{
    auto const ms =
        std::chrono::duration_cast<milliseconds>(now_.time_since_epoch() + offset).count();
    char buf[40];
    std::snprintf(buf, sizeof buf, "%08llx-%04llx-7%03x-8%03x-%012llx",
                  static_cast<unsigned long long>(ms >> 16),
                  static_cast<unsigned long long>(ms & 0xFFFF),
                  static_cast<unsigned>(random() & 0xFFF), static_cast<unsigned>(random() & 0xFFF),
                  static_cast<unsigned long long>(random() & 0xFFFFFFFFFFFF));
    return buf;
}

request_id claims_fleet::send(std::size_t to, std::string const& key, std::string const& body,
                              span patience)
{
    request_id const id(requests_.size() + 1);
    requests_[id].key = key;
    auto content = std::make_shared<call const>(
        call{.method = call_method::post, .path = "/" + key, .body = body});
    give(to, request_arrived{.id = id,
                             .key = sha256("bib-key"),
                             .route = route_id("pay"),
                             .content = std::move(content),
                             .idempotency_key = key,
                             .deadline = now_ + patience});
    return id;
}

void claims_fleet::restart(std::size_t which, span pause)
{
    if (!instances_[which].bench)
        return;
    instances_[which].bench.reset();
    ++instances_[which].boots;
    at(now_ + pause, [this, which] { start(which); });
}

void claims_fleet::cut(std::size_t which, span time)
{
    instances_[which].cut_until = std::max(instances_[which].cut_until, now_ + time);
}

void claims_fleet::set_member(std::size_t which, bool is_member)
{
    instances_[which].is_member = is_member;
}

std::string claims_fleet::answer_to(request_id id) const
{
    return requests_.at(id).told;
}

int claims_fleet::runs(std::string const& key) const
{
    auto const it = runs_.find(key);
    return it == runs_.end() ? 0 : it->second;
}

std::vector<std::size_t> claims_fleet::keepers_of_key(std::string const& key) const
{
    std::string const text = "3:bib" + std::to_string(key.size()) + ":" + key;
    seen_members all{span{}};
    all.see(members(), now_);
    auto const view = all.view(claims_test_config());
    std::vector<std::size_t> out;
    for (auto const& it : keepers_of(messages::claim_id(sha256(text)), customer_id("bib"), view))
        out.push_back(it.value() - 1);
    return out;
}

std::string claims_fleet::faults_found() const
{
    auto out = wrong_;
    for (auto const& [id, it] : requests_)
        if (it.ran && it.told.ends_with(" not_run"))
            out += "request " + std::to_string(id.value()) + " of key " + it.key +
                   " ran and was refused with " + it.told + "; ";
    return out;
}

bool claims_fleet::happens(double chance)
{
    return std::bernoulli_distribution(chance)(random);
}

span claims_fleet::delay(span most)
{
    return span(std::uniform_int_distribution<span::rep>(0, most.count())(random));
}

} // namespace mulberryrudder::entry
