#include "log_store.hpp"

#include <mulberryrudder/core/invariant.hpp>

#include <algorithm>

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
}

void log_store::append(log_entry entry)
{
    check_invariant(entry.index == index_after(last().index), "log indexes are consecutive");
    check_invariant(entry.term >= last().term, "terms in the log do not decrease");
    entries_.push_back(std::move(entry));
}

void log_store::truncate_from(log_index first)
{
    entries_.resize(offset(first));
}

void log_store::compact(log_index base)
{
    auto const term = *term_at(base);
    auto const dropped = static_cast<std::ptrdiff_t>(base.value() - base_.index.value());
    entries_.erase(entries_.begin(), entries_.begin() + dropped);
    base_ = {.term = term, .index = base};
}

log_position log_store::last() const
{
    if (entries_.empty())
        return base_;
    return {.term = entries_.back().term, .index = entries_.back().index};
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
    return entries_.at(offset(index));
}

std::vector<log_entry> log_store::slice(log_index first, std::size_t max_count) const
{
    auto const start = std::min(offset(first), entries_.size());
    auto const n = std::min(max_count, entries_.size() - start);
    auto const begin = entries_.begin() + static_cast<std::ptrdiff_t>(start);
    return {begin, begin + static_cast<std::ptrdiff_t>(n)};
}

std::size_t log_store::offset(log_index index) const
{
    return index.value() - base_.index.value() - 1;
}

} // namespace mulberryrudder::control
