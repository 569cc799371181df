#include "leave_keeper.hpp"

#include <algorithm>

namespace mulberryrudder::control
{

void leave_keeper::enable()
{
    enabled_ = true;
    disk_reopened();
}

void leave_keeper::disk_lost()
{
    writable_ = false;
    writing_.reset();
    mark_changed();
}

void leave_keeper::disk_reopened()
{
    writable_ = true;
    mark_changed();
}

std::optional<record_version> leave_keeper::begin_write()
{
    if (!enabled_ || !writable_ || writing_ || written_ == current_)
        return std::nullopt;
    writing_ = current_;
    return writing_;
}

void leave_keeper::written(record_version version)
{
    // A write that was under way when the disk failed counts for nothing.
    if (writing_ != version)
        return;
    writing_.reset();
    written_ = version;
    for (auto& [id, sender] : senders_)
        count_kept(sender);
}

void leave_keeper::record_message(instance_id sender, boot_id boot, sequence_id number)
{
    auto& known = senders_[sender];
    if (known.boot != boot)
        known = {.boot = boot, .kept = {}, .unkept = {}};
    if (!known.unkept.empty() && known.unkept.back().version == current_)
        known.unkept.back().number = std::max(known.unkept.back().number, number);
    else
        known.unkept.push_back({.version = current_, .number = number});
    count_kept(known);
}

sequence_id leave_keeper::kept_of(instance_id sender, boot_id boot) const
{
    auto const it = senders_.find(sender);
    return it == senders_.end() || it->second.boot != boot ? sequence_id() : it->second.kept;
}

void leave_keeper::count_kept(sender_state& sender) const
{
    while (!sender.unkept.empty() && sender.unkept.front().version <= written_)
    {
        sender.kept = std::max(sender.kept, sender.unkept.front().number);
        sender.unkept.pop_front();
    }
}

} // namespace mulberryrudder::control
