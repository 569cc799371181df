#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_REPLICA_ROLE_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_REPLICA_ROLE_HPP

#include <memory>

namespace mulberryrudder::control
{

/// A replica's role in its term.
enum class role
{
    follower,
    pre_candidate, ///< Requests pre-votes.
    candidate,     ///< Requests votes.
    leader,
    stopped ///< Its disk failed; it neither votes nor leads until the disk holds its state again.
};

/// State machine of a replica's role (Boost.MSM). A transition that is not in its table is
/// an invariant violation.
///
/// Thread safety: one owner.
class role_machine
{
public:
    role_machine();
    ~role_machine();

    role current() const;

    void election_timed_out(); ///< The election timer expired.
    void pre_vote_won();       ///< A majority granted the pre-vote.
    void election_won();       ///< A majority voted for this replica.
    void step_down();          ///< Another leader or a higher term was seen, or leadership ended.
    void disk_failed();        ///< The disk failed.
    void disk_restored();      ///< The disk holds the replica's state again.

private:
    class machine;
    std::unique_ptr<machine> machine_;
};

} // namespace mulberryrudder::control

#endif
