#ifndef MULBERRYRUDDER_CONTROL_REPLICATED_LOG_HPP
#define MULBERRYRUDDER_CONTROL_REPLICATED_LOG_HPP

#include <mulberryrudder/control/log_types.hpp>
#include <mulberryrudder/core/time.hpp>

#include <optional>
#include <set>
#include <vector>

namespace mulberryrudder::control
{

/// Shows the replicated log to the other components.
///
/// Thread safety: the decision core's thread.
class replicated_log
{
public:
    virtual ~replicated_log() = default;

    /// Returns whether this replica leads, has committed an entry of its own term,
    /// and a majority confirmed it recently enough for it to act at `now`.
    virtual bool may_act(instant now) const = 0;

    /// Returns until when no other replica can lead; the epoch if this one does not.
    virtual instant confirmed_until() const = 0;

    virtual term_id term() const = 0;

    /// Returns who leads, as far as this replica knows.
    virtual std::optional<instance_id> leader() const = 0;

    /// Appends a command. Returns its index; nothing if this replica may not act.
    /// The command took effect once applied() tells of it with that index and
    /// term(); another command at that index means that it was lost.
    virtual std::optional<log_index> propose(any_message command) = 0;

    /// Returns the index of the last entry that was applied.
    virtual log_index applied_index() const = 0;
};

/// Shows who has a vote in the control group, and changes it.
///
/// Thread safety: the decision core's thread.
class voter_group
{
public:
    virtual ~voter_group() = default;

    /// Returns the newest membership that this replica knows.
    virtual group_membership const& membership() const = 0;

    /// Returns whether an instance that is or becomes a voter answered this leader recently.
    /// One whose disk failed does not, although its other messages arrive.
    virtual bool answers(instance_id id) const = 0;

    /// Begins to put an instance in the place of a voter; one that replaces itself joins the
    /// voters that there are. Returns false, and changes nothing, if this replica may not act
    /// or another change is under way. Additions that did not come about yet and the pending
    /// changes in `abandoned` are given up.
    virtual bool begin_replacement(replacement const& wanted,
                                   std::vector<replacement> const& abandoned, instant now) = 0;

    /// Returns whether the newest membership is committed.
    virtual bool is_membership_committed() const = 0;

    /// Hands the lead over to a voter that works and is not one of `excluded`, as soon as it holds
    /// all entries and these are committed; until then this replica accepts no command. Call it
    /// again with each tick until this replica may not act. Returns false if there is no voter but
    /// this replica and those in `excluded`.
    virtual bool hand_over_lead(std::set<instance_id> const& excluded, instant now) = 0;
};

} // namespace mulberryrudder::control

#endif
