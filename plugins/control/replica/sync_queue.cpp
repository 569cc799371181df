#include "sync_queue.hpp"

#include <algorithm>

namespace mulberryrudder::control
{

disk_ticket sync_queue::issue(log_index last)
{
    issued_ = disk_ticket(issued_.value() + 1);
    pending_writes_.push_back({.ticket = issued_, .last = last});
    return issued_;
}

void sync_queue::truncate_from(log_index first)
{
    log_index const kept(first.value() - 1);
    durable_ = std::min(durable_, kept);
    for (auto& it : pending_writes_)
        it.last = std::min(it.last, kept);
}

void sync_queue::reset(log_index last)
{
    durable_ = last;
    pending_writes_.clear();
    held_messages_.clear();
}

bool sync_queue::pass_or_hold(envelope const& message)
{
    if (is_idle())
        return true;
    held_messages_.push_back({.required_ticket = issued_, .message = message});
    return false;
}

std::vector<envelope> sync_queue::synced(disk_ticket ticket)
{
    synced_ = std::max(synced_, ticket);
    while (!pending_writes_.empty() && pending_writes_.front().ticket <= synced_)
    {
        durable_ = pending_writes_.front().last;
        pending_writes_.pop_front();
    }
    std::vector<envelope> out;
    while (!held_messages_.empty() && held_messages_.front().required_ticket <= synced_)
    {
        out.push_back(std::move(held_messages_.front().message));
        held_messages_.pop_front();
    }
    return out;
}

} // namespace mulberryrudder::control
