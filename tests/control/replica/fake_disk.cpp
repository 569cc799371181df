#include "fake_disk.hpp"

#include <algorithm>

namespace mulberryrudder::control::testing
{

std::optional<disk_ticket> fake_disk::sync_one()
{
    if (unsynced_.empty())
        return std::nullopt;
    auto const it = std::move(unsynced_.front());
    unsynced_.pop_front();
    return std::visit(
        [this](auto const& each)
        {
            apply(each);
            return each.ticket;
        },
        it);
}

void fake_disk::lose_unsynced(std::size_t survivors)
{
    for (std::size_t n = 0; n != survivors; ++n)
        sync_one();
    unsynced_.clear();
}

void fake_disk::replace_contents(disk_recovered it)
{
    contents_ = std::move(it);
    unsynced_.clear();
}

void fake_disk::apply(persist const& it)
{
    contents_.blank = false;
    contents_.copied = contents_.copied && !it.state;
    if (it.state)
        contents_.state = *it.state;
    auto& log = contents_.entries;
    if (it.cut_from)
        std::erase_if(log, [&](log_entry const& each) { return each.index >= *it.cut_from; });
    log.insert(log.end(), it.entries.begin(), it.entries.end());
}

void fake_disk::apply(persist_snapshot const& it)
{
    contents_.base = it.base;
    std::erase_if(contents_.entries,
                  [&](log_entry const& each) { return each.index <= it.base.index; });
}

} // namespace mulberryrudder::control::testing
