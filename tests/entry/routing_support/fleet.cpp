#include "fleet.hpp"

#include <mulberryrudder/entry/fleet_view.hpp>

namespace mulberryrudder::entry
{

namespace
{

constexpr span lease_span = seconds(4);
constexpr span leader_margin = milliseconds(500);
constexpr span tick_period = milliseconds(20);

} // namespace

fleet::fleet(options with) : with_(std::move(with)), random_(with_.seed) {}

std::unique_ptr<rig> fleet::make_core(instance_description const& where)
{
    auto out = std::make_unique<rig>(
        rig::options{.self = where, .seed = random_(), .config = with_.settings});
    out->advance_to(now_);
    return out;
}

void fleet::add_entry(instance_description const& where)
{
    auto& it = entries_[where.id];
    it.where = where;
    it.core = make_core(where);
    auto const id = where.id;
    at(now_ + milliseconds(random_() % 1000), [this, id] { renew(id); });
    at(now_ + microseconds(random_() % 20000), [this, id] { tick(id); });
}

fleet::target& fleet::add_target(announcement const& said,
                                 std::function<span(send_attempt const&)> service)
{
    auto& it = targets_[said.id];
    it.said = said;
    it.service = std::move(service);
    auto const id = said.id;
    at(now_ + milliseconds(random_() % 500), [this, id] { announce(id); });
    return it;
}

void fleet::at(instant when, std::function<void()> what)
{
    agenda_.emplace(std::max(when, now_), std::move(what));
}

void fleet::run_until(instant end, std::function<void()> const& watch)
{
    auto watch_at = now_;
    while (!agenda_.empty() && agenda_.begin()->first <= end)
    {
        auto const first = agenda_.begin();
        now_ = first->first;
        auto const what = std::move(first->second);
        agenda_.erase(first);
        what();
        if (now_ < watch_at)
            continue;
        watch();
        watch_at = now_ + milliseconds(50);
    }
    now_ = end;
}

void fleet::with_core(instance_id who, std::function<void(rig&)> const& what)
{
    auto& it = entries_.at(who);
    if (!it.core)
        return;
    if (it.frozen_until > now_)
        return at(it.frozen_until, [this, who, what] { with_core(who, what); });
    it.core->advance_to(now_);
    what(*it.core);
    carry_out(it);
}

void fleet::carry_out(node& from)
{
    auto const what = std::exchange(from.core->out(), {});
    for (auto const& it : what)
        std::visit([&](auto const& wanted) { carry_out(from, wanted); }, it);
}

void fleet::carry_out(node& from, send_attempt const& it)
{
    auto const who = from.where.id;
    auto const fail = [&](attempt_failure cause)
    {
        auto const id = it.id;
        at(now_ + milliseconds(1), [this, who, id, cause]
           { with_core(who, [=](rig& core) { core.fail(id, cause, verdict::not_run); }); });
    };
    auto& on = targets_.at(it.target);
    if (!on.up)
        return fail(attempt_failure::connect_refused);
    if (on.running >= on.said.capacity.count())
    {
        ++sheds;
        return fail(attempt_failure::shed);
    }
    on.peak = std::max(on.peak, ++on.running);
    running_[it.id] = {who, it.target};
    at(now_ + on.service(it), [this, id = it.id] { end_attempt(id, true); });
}

void fleet::carry_out(node&, cancel_attempt const& it)
{
    end_attempt(it.id, false);
}

void fleet::end_attempt(attempt_id id, bool replied)
{
    auto const found = running_.find(id);
    if (found == running_.end())
        return;
    auto const it = found->second;
    running_.erase(found);
    auto& on = targets_.at(it.on);
    --on.running;
    if (!replied)
        return;
    if (on.up)
        return with_core(it.from, [id](rig& core) { core.reply_to(id); });
    with_core(it.from,
              [id](rig& core) { core.fail(id, attempt_failure::closed, verdict::may_have_run); });
}

void fleet::carry_out(node& from, probe_target const& it)
{
    auto const who = from.where.id;
    probe_ended const end{.id = it.id, .healthy = targets_.at(it.id).up};
    at(now_ + milliseconds(6),
       [this, who, end] { with_core(who, [end](rig& core) { core.tell(end); }); });
}

span fleet::delay_between(node const& a, node const& b)
{
    auto const base = a.where.region == b.where.region ? milliseconds(1) : milliseconds(20);
    auto const more = with_.most_delay.count();
    return base + span(more == 0 ? 0 : static_cast<span::rep>(random_() % more));
}

void fleet::carry_out(node& from, send_message const& it)
{
    auto const found = entries_.find(it.message.to);
    if (found == entries_.end() || from.peers_cut || found->second.peers_cut)
        return;
    if (static_cast<int>(random_() % 1000) < with_.lost_per_mille)
        return;
    auto const message = it.message;
    at(now_ + delay_between(from, found->second),
       [this, message] {
           with_core(message.to,
                     [message](rig& core) { core.deliver(message.from, message.body); });
       });
}

void fleet::carry_out(node& from, answer_caller const& it)
{
    auto const found = from.asked.find(it.id);
    if (found == from.asked.end())
        return;
    auto const done = std::move(found->second);
    from.asked.erase(found);
    done(it.what);
}

void fleet::ask(instance_id who, span time_left, std::string const& customer, call_method method,
                std::function<void(outcome const&)> done, std::string path)
{
    auto& it = entries_.at(who);
    if (!it.core)
        return;
    request_id const id((std::uint64_t{who.value()} << 48U) | ++requests_);
    it.asked[id] = std::move(done);
    call content{.method = method, .path = std::move(path)};
    if (!customer.empty())
        content.fields.push_back({"customer", customer});
    request_arrived const what{.id = id,
                               .route = route_id("r"),
                               .content = std::make_shared<call const>(std::move(content)),
                               .deadline = now_ + time_left};
    with_core(who, [what](rig& core) { core.tell(what); });
}

void fleet::crash(instance_id who)
{
    entries_.at(who).core.reset();
    entries_.at(who).asked.clear();
    std::vector<attempt_id> cut;
    for (auto const& [id, it] : running_)
        if (it.from == who)
            cut.push_back(id);
    for (auto const id : cut)
        end_attempt(id, false);
}

void fleet::restart(instance_id who)
{
    auto& it = entries_.at(who);
    if (!it.core)
        it.core = make_core(it.where);
    it.believed_until = now_;
}

void fleet::freeze(instance_id who, span how_long)
{
    entries_.at(who).frozen_until = now_ + how_long;
}

void fleet::cut_control(instance_id who, bool cut)
{
    entries_.at(who).control_cut = cut;
}

void fleet::cut_peers(instance_id who, bool cut)
{
    entries_.at(who).peers_cut = cut;
}

void fleet::renew(instance_id who)
{
    at(now_ + seconds(1), [this, who] { renew(who); });
    auto& it = entries_.at(who);
    bool const lost = static_cast<int>(random_() % 1000) < with_.lost_per_mille;
    if (!it.core || it.control_cut || lost || it.frozen_until > now_)
        return;
    it.leased_until = now_ + lease_span + leader_margin;
    messages::lease_grant out{.config = with_.config};
    for (auto const& [id, other] : entries_)
        out.members.push_back(
            {.where = other.where, .live = other.leased_until > now_, .free = slots(10)});
    if (headroom)
        out.headroom = headroom(it.where);
    auto const delay = delay_between(it, it);
    auto const end = now_ + lease_span;
    at(now_ + delay,
       [this, who, out, end]() mutable
       {
           auto& to = entries_.at(who);
           // A grant that comes after its own end, such as to a frozen process, is void.
           auto const deliver = [this, who, out, end](rig& core) mutable
           {
               if (end <= now_)
                   return;
               entries_.at(who).believed_until = end;
               out.valid_for = end - now_;
               core.deliver(instance_id(900), any_message::of(out));
           };
           if (to.core)
               with_core(who, deliver);
       });
}

void fleet::tick(instance_id who)
{
    at(now_ + tick_period, [this, who] { tick(who); });
    if (entries_.at(who).frozen_until <= now_)
        with_core(who, [](rig& core) { core.pass(span(0)); });
}

void fleet::announce(target_id const& id)
{
    at(now_ + milliseconds(500), [this, id] { announce(id); });
    auto const& it = targets_.at(id);
    if (!it.up)
        return;
    std::vector<instance_id> heard;
    for (auto const& [who, entry] : entries_)
        if (entry.core && entry.where.domain == it.said.domain)
            heard.push_back(who);
    if (heard.empty())
        return;
    auto const said = it.said;
    with_core(heard[random_() % heard.size()], [said](rig& core) { core.tell(said); });
}

std::int64_t fleet::granted_slots(target_id const& id)
{
    std::int64_t sum = 0;
    for (auto& [who, it] : entries_)
    {
        if (!it.core || now_ >= it.believed_until)
            continue;
        auto const* const view = it.core->target(id.value());
        sum += view == nullptr ? 0 : view->limit.count();
    }
    return sum;
}

} // namespace mulberryrudder::entry
