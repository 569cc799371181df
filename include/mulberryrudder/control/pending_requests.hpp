#ifndef MULBERRYRUDDER_CONTROL_PENDING_REQUESTS_HPP
#define MULBERRYRUDDER_CONTROL_PENDING_REQUESTS_HPP

#include <mulberryrudder/control/component.hpp>
#include <mulberryrudder/control/operator_answers.hpp>

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace mulberryrudder::control
{

/// Keeps operators' requests whose commands were proposed but not committed yet,
/// so that each is answered once: after its commit, or with outcome_unknown.
/// `About` is what the owner needs for the answer.
///
/// Thread safety: one owner.
template <class About>
class pending_requests
{
public:
    struct entry
    {
        log_index index;
        term_id term;
        instant deadline; ///< When the operator is told that the outcome is unknown.
        About about;
        std::vector<operator_request_id> askers;
    };

    void add(entry added) { entries_.push_back(std::move(added)); }

    /// Returns the entry that fits, or null. It is valid until the next call.
    template <class Fits>
    entry* find(Fits const& fits)
    {
        auto const it = std::find_if(entries_.begin(), entries_.end(), fits);
        return it == entries_.end() ? nullptr : &*it;
    }

    /// Takes out what waits for a committed entry. Calls `answer(id, about)` for
    /// each asker if the committed command is the one that was proposed; otherwise
    /// the command was lost and the askers get outcome_unknown.
    template <class Answer>
    void settle(log_entry const& committed, Answer const& answer, context& with)
    {
        auto const done = take([&](entry const& it) { return it.index == committed.index; });
        for (auto const& it : done)
            for (auto const asker : it.askers)
                if (it.term == committed.term)
                    answer(asker, it.about);
                else
                    with.answer(asker, outcome_unknown{});
    }

    /// Answers outcome_unknown to all whose deadline has passed.
    void expire(context& with)
    {
        give_up([&](entry const& it) { return it.deadline <= with.now; }, with);
    }

    /// Answers outcome_unknown to all.
    void abandon(context& with)
    {
        give_up([](entry const&) { return true; }, with);
    }

    bool empty() const noexcept { return entries_.empty(); }

private:
    template <class Fits>
    void give_up(Fits const& fits, context& with)
    {
        for (auto const& it : take(fits))
            for (auto const asker : it.askers)
                with.answer(asker, outcome_unknown{});
    }

    template <class Fits>
    std::vector<entry> take(Fits const& fits)
    {
        auto const rest = std::stable_partition(entries_.begin(), entries_.end(),
                                                [&](entry const& it) { return !fits(it); });
        std::vector<entry> out(std::make_move_iterator(rest),
                               std::make_move_iterator(entries_.end()));
        entries_.erase(rest, entries_.end());
        return out;
    }

    std::vector<entry> entries_;
};

} // namespace mulberryrudder::control

#endif
