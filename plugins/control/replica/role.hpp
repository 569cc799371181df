#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_REPLICA_ROLE_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_REPLICA_ROLE_HPP

#include <memory>

namespace mulberryrudder::control
{

/// What a replica does in its term.
enum class role
{
    follower,
    pre_candidate, ///< Asks whether it would get votes.
    candidate,     ///< Asks for votes.
    leader,
    stopped ///< Its disk failed; it takes no part until the process starts anew.
};

/// The life cycle of a replica's role (a Boost.MSM state machine). A transition
/// that is not in its table is an invariant violation.
///
/// Thread safety: one owner.
class role_machine
{
public:
    role_machine();
    ~role_machine();

    role current() const;

    void election_due(); ///< No leader was heard for the election timeout.
    void trial_won();    ///< A majority would vote for this replica.
    void vote_won();     ///< A majority voted for this replica.
    void stand_down();   ///< Another leader or a higher term was heard.
    void disk_lost();    ///< The disk failed.

private:
    class machine;
    std::unique_ptr<machine> machine_;
};

} // namespace mulberryrudder::control

#endif
