#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_ROSTER_CONTROL_SEARCH_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_ROSTER_CONTROL_SEARCH_HPP

#include <mulberryrudder/core/ids.hpp>
#include <mulberryrudder/core/time.hpp>

#include <optional>

namespace mulberryrudder::entry
{

/// Schedules the search for a control instance whose state is confirmed. A search asks all
/// instances at the same time, in rounds, so that its duration does not depend on how many of
/// them are down.
///
/// Thread safety: one owner.
class control_search
{
public:
    /// Begins a search whose first round is due at `first_round`, unless one is active. Returns
    /// whether the search began with this call.
    bool begin(instant first_round);

    /// Ends the search; returns whether it was active.
    bool end();

    bool is_active() const { return next_round_.has_value(); }
    bool is_round_due(instant now) const { return next_round_ && *next_round_ <= now; }

    /// Starts a round; its probes have the given number, which is higher than those before.
    /// Precondition: a search is active.
    void start_round(sequence_id number, instant now);

    /// Returns whether a reply to the probe with this number may be the choice: the probe
    /// belongs to this search, also to an earlier round, and was sent after the last choice.
    bool awaits(sequence_id number) const;

    /// Ignores the other replies to the probes so far, and gives the chosen instance time to
    /// answer before the next round.
    void choose(instant now);

private:
    std::optional<instant> next_round_; ///< Nothing if no search is active.
    std::optional<sequence_id> first_awaited_;
    sequence_id newest_;
};

} // namespace mulberryrudder::entry

#endif
