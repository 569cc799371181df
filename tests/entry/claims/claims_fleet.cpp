#include "claims_fleet.hpp"

#include "plugins/entry/claims/claims_settings.hpp"
#include "plugins/entry/claims/keeper_sets.hpp"

#include <cstdio>

namespace mulberryrudder::entry
{

namespace
{

stage_registrar<fake_wall_clock> const registrar{"fake_wall_clock", 10};

constexpr span lease_time = milliseconds(900);
constexpr span renewal_interval = milliseconds(300);
constexpr span tick_interval = milliseconds(100);

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

instance_description claims_fleet::describe(std::size_t index)
{
    return {.id = instance_id(static_cast<std::uint32_t>(index + 1)),
            .region = region_id("r" + std::to_string(index / 2)),
            .domain = domain_id("d" + std::to_string(index))};
}

std::vector<messages::member> claims_fleet::members() const
{
    std::vector<messages::member> out;
    for (std::size_t n = 0; n != instances_.size(); ++n)
        if (instances_[n].is_member)
            out.push_back({.where = describe(n), .live = true});
    return out;
}

void claims_fleet::start(std::size_t index)
{
    auto& it = instances_[index];
    ++it.boots;
    it.bench =
        std::make_unique<entry_bench>(claims_test_settings(), describe(index), boot_id(it.boots));
    it.bench->lease().held = claims_test_config();
    it.bench->lease().deadline = instant{};
}

void claims_fleet::renew(std::size_t index)
{
    auto& it = instances_[index];
    if (!it.bench || is_isolated(index) || !it.is_member)
        return;
    it.bench->lease().known = members();
    it.bench->lease().deadline = now_ + lease_time;
}

void claims_fleet::schedule(instant time, std::function<void()> action)
{
    events_.emplace(time, std::move(action));
}

void claims_fleet::run_for(span elapsed)
{
    auto const end = now_ + elapsed;
    auto next_tick = now_;
    auto next_renewal = now_;
    while (now_ < end)
    {
        bool const due = !events_.empty() && events_.begin()->first <= next_tick;
        if (due)
        {
            now_ = std::max(now_, events_.begin()->first);
            auto const action = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            action();
            continue;
        }
        now_ = next_tick;
        next_tick += tick_interval;
        for (std::size_t n = 0; n != instances_.size(); ++n)
        {
            if (next_renewal <= now_)
                renew(n);
            if (auto& bench = instances_[n].bench)
            {
                bench->now = now_;
                apply_effects(n, bench->tick());
            }
        }
        if (next_renewal <= now_)
            next_renewal += renewal_interval;
    }
}

void claims_fleet::process(std::size_t index, input const& event)
{
    auto& it = instances_[index];
    if (!it.bench)
        return;
    it.bench->now = now_;
    auto& clock = *it.bench->decisions().services().find<fake_wall_clock>();
    clock.now = now_;
    clock.offset = it.clock_offset;
    apply_effects(index, it.bench->handle(event));
}

void claims_fleet::apply_effects(std::size_t index, effects const& produced)
{
    for (auto const& it : produced)
    {
        if (auto const* const message = std::get_if<send_message>(&it))
            deliver(message->message, index);
        if (auto const* const sent = std::get_if<send_attempt>(&it))
            attempt_at_target(index, *sent);
        if (auto const* const answer = std::get_if<answer_caller>(&it))
            record_answer(*answer);
    }
}

void claims_fleet::deliver(envelope const& message, std::size_t sender)
{
    auto const receiver = static_cast<std::size_t>(message.to.value() - 1);
    if (is_isolated(sender) || is_isolated(receiver) || draw(faults_.message_loss))
        return;
    for (int n = draw(faults_.message_duplication) ? 2 : 1; n != 0; --n)
        schedule(now_ + random_span(faults_.max_delay),
                 [this, message, receiver] { process(receiver, message_arrived{message}); });
}

void claims_fleet::attempt_at_target(std::size_t index, send_attempt const& sent)
{
    auto const boot = instances_[index].boots;
    auto const report = [=, this](input const& event)
    {
        if (instances_[index].boots == boot)
            process(index, event);
    };
    bool const fails = draw(faults_.attempt_failure);
    if (fails && draw(0.3))
    {
        schedule(
            now_ + random_span(faults_.max_run_time),
            [=] {
                report(attempt_failed{sent.id, attempt_failure::connect_refused, verdict::not_run});
            });
        return;
    }
    bool const runs = !fails || draw(0.5);
    auto const key = requests_.at(sent.request).key;
    schedule(now_ + random_span(faults_.max_run_time),
             [=, this]
             {
                 if (runs)
                 {
                     requests_.at(sent.request).ran = true;
                     if (++runs_[key] > 1)
                         violations_ += "key " + key + " ran twice; ";
                 }
                 if (fails)
                     return report(
                         attempt_failed{sent.id, attempt_failure::closed, verdict::may_have_run});
                 auto content = std::make_shared<reply const>(reply{.status = 200, .body = key});
                 report(attempt_replied{.id = sent.id, .content = content});
             });
}

void claims_fleet::record_answer(answer_caller const& answer)
{
    auto& request = requests_.at(answer.id);
    if (auto const* const refusal = std::get_if<refused>(&answer.what))
    {
        request.answer =
            std::string(refusal->why->what().name) + " " + std::string(to_string(refusal->run));
        return;
    }
    ++replies_;
    request.answer = "answered";
    if (std::get<answered>(answer.what).content->body != request.key)
        violations_ += "a reply of another key for " + request.key + "; ";
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

request_id claims_fleet::send(std::size_t index, std::string const& key, std::string const& body,
                              span timeout)
{
    request_id const id(requests_.size() + 1);
    requests_[id].key = key;
    auto content = std::make_shared<call const>(
        call{.method = call_method::post, .path = "/" + key, .body = body});
    process(index, request_arrived{.id = id,
                                   .key = sha256("bib-key"),
                                   .route = route_id("pay"),
                                   .content = std::move(content),
                                   .idempotency_key = key,
                                   .deadline = now_ + timeout});
    return id;
}

void claims_fleet::restart(std::size_t index, span pause)
{
    if (!instances_[index].bench)
        return;
    instances_[index].bench.reset();
    ++instances_[index].boots;
    schedule(now_ + pause, [this, index] { start(index); });
}

void claims_fleet::isolate(std::size_t index, span duration)
{
    instances_[index].isolated_until = std::max(instances_[index].isolated_until, now_ + duration);
}

void claims_fleet::set_member(std::size_t index, bool is_member)
{
    instances_[index].is_member = is_member;
}

std::string claims_fleet::answer_to(request_id id) const
{
    return requests_.at(id).answer;
}

int claims_fleet::runs(std::string const& key) const
{
    auto const it = runs_.find(key);
    return it == runs_.end() ? 0 : it->second;
}

std::vector<std::size_t> claims_fleet::keepers_of_key(std::string const& key) const
{
    std::string const id_input = "3:bib" + std::to_string(key.size()) + ":" + key;
    known_members known{span{}};
    known.update(members(), now_);
    auto const view = known.make_view(claims_test_config());
    std::vector<std::size_t> out;
    for (auto const& it :
         keepers_of(messages::claim_id(sha256(id_input)), customer_id("bib"), view))
        out.push_back(it.value() - 1);
    return out;
}

std::string claims_fleet::violations() const
{
    auto out = violations_;
    for (auto const& [id, it] : requests_)
        if (it.ran && it.answer.ends_with(" not_run"))
            out += "request " + std::to_string(id.value()) + " of key " + it.key +
                   " ran and was refused with " + it.answer + "; ";
    return out;
}

bool claims_fleet::draw(double probability)
{
    return std::bernoulli_distribution(probability)(random);
}

span claims_fleet::random_span(span max)
{
    return span(std::uniform_int_distribution<span::rep>(0, max.count())(random));
}

} // namespace mulberryrudder::entry
