#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_ROSTER_PLAN_CURRENCY_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_ROSTER_PLAN_CURRENCY_HPP

#include <mulberryrudder/core/time.hpp>

#include <optional>

namespace mulberryrudder::entry
{

/// Determines as of when the steering state that this instance holds was the newest, from the
/// answers of control instances, which may arrive late.
///
/// An answer says that the state was confirmed some time before it was sent. The clocks of two
/// instances cannot be compared, so that time counts from when this instance sent the report,
/// plus the time for which the control instance held it. How long the answer was on its way adds
/// to its age.
///
/// A late answer, a pause of this process, and control instances that have restarted cast doubt on
/// the state: a newer one may be in force. Only an answer that confirms it ends a doubt.
///
/// Thread safety: one owner.
class plan_currency
{
public:
    struct options
    {
        milliseconds max_age{0};        ///< Age from which on a state is outdated.
        milliseconds max_round_trip{0}; ///< Of a report and its answer, without the time held.
    };

    explicit plan_currency(options const& limits) : limits_(limits) {}

    /// What is known of an answer.
    struct answer
    {
        instant sent;         ///< When the report was sent that it answers.
        milliseconds held{0}; ///< For which the control instance held the report.
        /// Time before the answer at which the state was confirmed; nothing if it never was.
        std::optional<milliseconds> confirmed_age;
        /// The control instance hears most others, and none that it hears has been confirmed since
        /// its start: what they hold may lack the newest acknowledged orders.
        bool control_restarted = false;
        /// The control instance hears too few of the others, so that it can confirm nothing.
        bool control_apart = false;

        /// Returns the time for which the report and the answer were on their way.
        span round_trip(instant now) const;
        /// Returns as of when the state is confirmed, if it is.
        std::optional<instant> confirmed_at() const;
    };

    /// Records that an answer arrived, after its contents were applied.
    void record(answer const& arrived, instant now);

    /// Records a message of a control instance that hears most others: this instance is not cut
    /// off.
    void record_heard(instant now);

    /// Takes note that this process runs. Precondition: called at least every few hundred
    /// milliseconds while it does, so that a longer time in between is a pause.
    void tick(instant now);

    /// Returns the time since the state was the newest; nothing if that was never confirmed.
    std::optional<span> age(instant now) const;

    /// Returns whether answers of control lately took long, or may have waited for this process
    /// while it did not run.
    bool is_slow(instant now) const;

    /// Returns whether control instances answered that they have restarted, and the state was not
    /// confirmed as of a later time.
    bool doubts_restart() const { return restart_heard_at_.has_value(); }

    /// As doubts_restart(), unless this instance is cut off.
    bool awaits_leader(instant now) const;

    /// Returns whether requests must not be sent by the state: it is too old or was never
    /// confirmed, it is in doubt, and control is heard. Without a word from a control instance that
    /// hears most others, this instance is cut off after a while, and goes on with the state that
    /// it holds.
    bool is_outdated(instant now) const;

private:
    bool was_paused(instant now) const;
    bool is_cut_off(instant now) const { return now >= heard_until_; }

    options limits_;
    std::optional<instant> confirmed_at_;
    bool is_delayed_ = false;                 ///< In doubt by a late answer or a pause.
    std::optional<instant> restart_heard_at_; ///< In doubt by a restart of control since then.
    instant heard_until_; ///< Cut off from control then, without a further answer.
    std::optional<instant> last_tick_;
};

} // namespace mulberryrudder::entry

#endif
