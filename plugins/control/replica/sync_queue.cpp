#include "sync_queue.hpp"

#include <algorithm>

namespace mulberryrudder::control
{

disk_ticket sync_queue::issue(log_index last)
{
    issued_ = disk_ticket(issued_.value() + 1);
    writes_.push_back({.ticket = issued_, .last = last});
    return issued_;
}

void sync_queue::cut_from(log_index first)
{
    log_index const kept(first.value() - 1);
    durable_ = std::min(durable_, kept);
    for (auto& it : writes_)
        it.last = std::min(it.last, kept);
}

void sync_queue::reset(log_index last)
{
    durable_ = last;
    writes_.clear();
    held_.clear();
}

bool sync_queue::ready(envelope const& it)
{
    if (issued_ == synced_)
        return true;
    held_.push_back({.after = issued_, .body = it});
    return false;
}

std::vector<envelope> sync_queue::synced(disk_ticket ticket)
{
    synced_ = std::max(synced_, ticket);
    while (!writes_.empty() && writes_.front().ticket <= synced_)
    {
        durable_ = writes_.front().last;
        writes_.pop_front();
    }
    std::vector<envelope> out;
    while (!held_.empty() && held_.front().after <= synced_)
    {
        out.push_back(std::move(held_.front().body));
        held_.pop_front();
    }
    return out;
}

} // namespace mulberryrudder::control
