#include "start_time_queue.hpp"

#include <algorithm>

namespace mulberryrudder::entry
{

namespace
{

/// Steps of the virtual clock for a microsecond at weight one.
constexpr std::uint64_t steps_a_microsecond = 1000;

} // namespace

virtual_time start_time_queue::reserve(charge const& for_what)
{
    auto& account = accounts_[for_what.customer];
    if (account.waiting == 0)
        account.weight = for_what.weight;
    auto const start = std::max(now_, account.finish);
    auto const cost = static_cast<std::uint64_t>(std::max<span::rep>(for_what.service.count(), 1)) *
                      steps_a_microsecond / static_cast<std::uint64_t>(account.weight);
    account.finish = virtual_time(start.value() + std::max<std::uint64_t>(cost, 1));
    return start;
}

void start_time_queue::start_now(charge const& for_what)
{
    now_ = std::max(now_, reserve(for_what));
}

void start_time_queue::push(charge const& for_what, queued_request what)
{
    what.start = reserve(for_what);
    auto& account = accounts_[for_what.customer];
    if (account.waiting++ == 0)
        waiting_weight_ += account.weight;
    flow_key const key{for_what.customer, what.route};
    auto& flow = flows_[key];
    places_.emplace(what.id, key);
    deadlines_.emplace(what.deadline, what.id);
    flow.push_back(std::move(what));
    if (flow.size() == 1)
        enter_head(key, flow);
}

bool start_time_queue::remove(request_id id)
{
    auto const place = places_.find(id);
    if (place == places_.end())
        return false;
    auto const key = place->second;
    auto& flow = flows_.at(key);
    auto const same = [id](queued_request const& it) { return it.id == id; };
    auto const it = std::find_if(flow.begin(), flow.end(), same);
    auto const removed = *it;
    leave_head(key, flow);
    flow.erase(it);
    enter_head(key, flow);
    note_removed(removed, key.customer);
    return true;
}

std::optional<queued_request>
start_time_queue::pop(std::function<bool(route_id const&)> const& may_start)
{
    auto const ready = [&](auto const& it) { return may_start(it.second.route); };
    auto const head = std::find_if(heads_.begin(), heads_.end(), ready);
    if (head == heads_.end())
        return std::nullopt;
    auto const key = head->second;
    auto& flow = flows_.at(key);
    auto const out = flow.front();
    leave_head(key, flow);
    flow.pop_front();
    enter_head(key, flow);
    now_ = std::max(now_, out.start);
    note_removed(out, key.customer);
    return out;
}

std::vector<request_id> start_time_queue::due_before(instant limit) const
{
    std::vector<request_id> out;
    for (auto it = deadlines_.begin(); it != deadlines_.end() && it->first < limit; ++it)
        out.push_back(it->second);
    return out;
}

std::size_t start_time_queue::waiting_of(customer_id const& customer) const
{
    auto const it = accounts_.find(customer);
    return it == accounts_.end() ? 0 : it->second.waiting;
}

void start_time_queue::enter_head(flow_key const& key, backlog const& of)
{
    if (!of.empty())
        heads_.emplace(of.front().start, key);
}

void start_time_queue::leave_head(flow_key const& key, backlog const& of)
{
    if (!of.empty())
        heads_.erase({of.front().start, key});
}

void start_time_queue::note_removed(queued_request const& what, customer_id const& customer)
{
    places_.erase(what.id);
    auto const [first, last] = deadlines_.equal_range(what.deadline);
    auto const same = [&](auto const& it) { return it.second == what.id; };
    deadlines_.erase(std::find_if(first, last, same));
    auto& account = accounts_.at(customer);
    if (--account.waiting == 0)
        waiting_weight_ -= account.weight;
    if (flows_.at({customer, what.route}).empty())
        flows_.erase({customer, what.route});
}

} // namespace mulberryrudder::entry
