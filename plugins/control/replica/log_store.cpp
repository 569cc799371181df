#include "log_store.hpp"

#include <mulberryrudder/core/invariant.hpp>

#include <algorithm>

namespace mulberryrudder::control
{

log_index behind(log_index it, std::uint64_t n)
{
    return log_index(it.value() + n);
}

log_index before(log_index it)
{
    return log_index(it.value() - 1);
}

void log_store::reset(log_position base)
{
    base_ = base;
    entries_.clear();
}

void log_store::append(log_entry it)
{
    check_invariant(it.index == behind(last().index), "log entries follow each other");
    check_invariant(it.term >= last().term, "terms in the log do not fall");
    entries_.push_back(std::move(it));
}

void log_store::cut_from(log_index first)
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

std::optional<term_id> log_store::term_at(log_index it) const
{
    if (it == base_.index)
        return base_.term;
    if (it < base_.index || it > last().index)
        return std::nullopt;
    return at(it).term;
}

log_entry const& log_store::at(log_index it) const
{
    return entries_.at(offset(it));
}

std::vector<log_entry> log_store::slice(log_index first, std::size_t most) const
{
    auto const from = std::min(offset(first), entries_.size());
    auto const n = std::min(most, entries_.size() - from);
    auto const begin = entries_.begin() + static_cast<std::ptrdiff_t>(from);
    return {begin, begin + static_cast<std::ptrdiff_t>(n)};
}

std::size_t log_store::offset(log_index it) const
{
    return it.value() - base_.index.value() - 1;
}

} // namespace mulberryrudder::control
