#include "log_store.hpp"

#include <mulberryrudder/control/command_size.hpp>
#include <mulberryrudder/core/invariant.hpp>

#include <algorithm>
#include <limits>

namespace mulberryrudder::control
{

log_index index_after(log_index index, std::uint64_t n)
{
    return log_index(index.value() + n);
}

log_index index_before(log_index index)
{
    return log_index(index.value() - 1);
}

void log_store::reset(log_position base)
{
    base_ = base;
    entries_.clear();
    bytes_ = {};
}

void log_store::append(log_entry entry)
{
    check_invariant(entry.index == index_after(last().index), "log indexes are consecutive");
    check_invariant(entry.term >= last().term, "terms in the log do not decrease");
    auto const bytes = memory_size(entry.command);
    bytes_ += bytes;
    entries_.push_back({.entry = std::move(entry), .bytes = bytes});
}

void log_store::truncate_from(log_index first)
{
    erase(offset(first), entries_.size());
}

void log_store::compact(log_index base)
{
    auto const term = *term_at(base);
    erase(0, base.value() - base_.index.value());
    base_ = {.term = term, .index = base};
}

log_position log_store::last() const
{
    if (entries_.empty())
        return base_;
    auto const& newest = entries_.back().entry;
    return {.term = newest.term, .index = newest.index};
}

std::optional<term_id> log_store::term_at(log_index index) const
{
    if (index == base_.index)
        return base_.term;
    if (index < base_.index || index > last().index)
        return std::nullopt;
    return at(index).term;
}

log_entry const& log_store::at(log_index index) const
{
    return entries_.at(offset(index)).entry;
}

byte_count log_store::bytes_after(log_index index) const
{
    byte_count out;
    for (auto it = entries_.rbegin(); it != entries_.rend() && it->entry.index > index; ++it)
        out += it->bytes;
    return out;
}

std::vector<log_entry> log_store::slice(log_index first, std::size_t max_count,
                                        byte_count max_bytes) const
{
    std::vector<log_entry> out;
    byte_count bytes;
    for (auto n = offset(first); n < entries_.size() && out.size() != max_count; ++n)
    {
        bytes += entries_[n].bytes;
        if (!out.empty() && bytes > max_bytes)
            break;
        out.push_back(entries_[n].entry);
    }
    return out;
}

std::vector<log_entry> log_store::tail(log_index first) const
{
    return slice(first, entries_.size(), byte_count(std::numeric_limits<std::int64_t>::max()));
}

void log_store::erase(std::size_t first, std::size_t last)
{
    auto const begin = entries_.begin() + static_cast<std::ptrdiff_t>(first);
    auto const end = entries_.begin() + static_cast<std::ptrdiff_t>(last);
    std::for_each(begin, end, [this](stored_entry const& it) { bytes_ -= it.bytes; });
    entries_.erase(begin, end);
}

std::size_t log_store::offset(log_index index) const
{
    return index.value() - base_.index.value() - 1;
}

} // namespace mulberryrudder::control
