#include "fake_disk.hpp"

#include <algorithm>

namespace mulberryrudder::control::testing
{

std::optional<disk_ticket> fake_disk::sync_one()
{
    if (unsynced_.empty())
        return std::nullopt;
    auto const oldest = std::move(unsynced_.front());
    unsynced_.pop_front();
    return std::visit(
        [this](auto const& data)
        {
            apply(data);
            return data.ticket;
        },
        oldest);
}

void fake_disk::drop_unsynced(std::size_t synced_count)
{
    for (std::size_t n = 0; n != synced_count; ++n)
        sync_one();
    unsynced_.clear();
}

void fake_disk::replace_contents(disk_recovered contents)
{
    contents_ = std::move(contents);
    unsynced_.clear();
}

void fake_disk::apply(persist const& data)
{
    contents_.blank = false;
    contents_.copied = contents_.copied && !data.state;
    if (data.state)
        contents_.state = *data.state;
    auto& log = contents_.entries;
    if (data.cut_from)
        std::erase_if(log, [&](log_entry const& each) { return each.index >= *data.cut_from; });
    log.insert(log.end(), data.entries.begin(), data.entries.end());
}

void fake_disk::apply(persist_snapshot const& data)
{
    contents_.base = data.base;
    std::erase_if(contents_.entries,
                  [&](log_entry const& each) { return each.index <= data.base.index; });
}

} // namespace mulberryrudder::control::testing
