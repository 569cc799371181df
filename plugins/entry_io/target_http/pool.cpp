#include "pool.hpp"

#include <algorithm>

namespace mulberryrudder::target_http
{

std::shared_ptr<connection> pool::acquire(target_id const& id, endpoint const& where,
                                          connections most)
{
    if (auto const it = targets_.find(id); it != targets_.end() && it->second.where != where)
        forget(id);
    auto& target = targets_[id];
    target.where = where;
    if (!target.idle.empty())
    {
        auto it = std::move(target.idle.back().it);
        target.idle.pop_back();
        return it;
    }
    if (target.open >= most)
        return nullptr;
    target.open += connections(1);
    return std::make_shared<connection>(loop_, where, config_, unread_);
}

void pool::release(target_id const& id, std::shared_ptr<connection> const& it)
{
    auto const target = targets_.find(id);
    if (target == targets_.end())
        return it->close();
    if (!it->reusable())
    {
        target->second.open -= connections(1);
        return it->close();
    }
    target->second.idle.push_back({it, monotonic_now() + config_.idle_limit});
    it->watch_idle(
        [this, id, weak = std::weak_ptr(it)]
        {
            if (auto const closed = weak.lock())
                drop(id, closed);
        });
}

void pool::drop(target_id const& id, std::shared_ptr<connection> const& it)
{
    auto const target = targets_.find(id);
    if (target == targets_.end())
        return;
    auto const same = [&](idle_connection const& idle) { return idle.it == it; };
    if (std::erase_if(target->second.idle, same) != 0)
        target->second.open -= connections(1);
}

void pool::forget(target_id const& id)
{
    auto const target = targets_.find(id);
    if (target == targets_.end())
        return;
    auto const idle = std::move(target->second.idle);
    targets_.erase(target);
    for (auto const& it : idle)
        it.it->close();
}

void pool::expire(instant now)
{
    for (auto& [id, target] : targets_)
    {
        for (auto& it : target.idle)
        {
            if (it.until > now)
                continue;
            it.it->close();
            target.open -= connections(1);
        }
        std::erase_if(target.idle, [now](auto const& it) { return it.until <= now; });
    }
}

} // namespace mulberryrudder::target_http
