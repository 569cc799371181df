#ifndef MULBERRYRUDDER_CONTROL_OPERATOR_MEMBERS_HPP
#define MULBERRYRUDDER_CONTROL_OPERATOR_MEMBERS_HPP

#include <mulberryrudder/control/membership.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace mulberryrudder::control
{

/// Asks who forms the control group. Any replica answers, with what it knows.
struct list_members
{
};

/// What the answering replica knows of one control instance.
struct member_status
{
    instance_id id;
    disk_id disk;
    bool votes = false;     ///< False while it catches up with the log.
    bool reachable = false; ///< It answered the leader within the lease; false on followers.
    log_index synced;       ///< Last entry the leader knows on its disk; 0 on followers.
};

/// Answers list_members.
struct members_listed
{
    std::optional<instance_id> leader;
    term_id term;
    log_index committed;
    std::vector<replacement> pending;
    bool settled = false; ///< The membership is committed and nothing is pending.
    std::vector<member_status> members;
};

/// Asks that a running instance takes a voter's place: it catches up first, then
/// leaves and joins follow by themselves, also under a later leader. Asking again
/// for the same replacement gives the same answer.
struct replace_member
{
    instance_id leaving;
    instance_id joining;
    endpoint peer; ///< Where the joining instance is reached.
};

/// Why a replacement was not started.
enum class replace_refusal : std::uint8_t
{
    none,
    not_leader,     ///< Ask the instance that `leader` names.
    unknown_member, ///< The leaving instance has no vote.
    already_member, ///< The joining instance has a vote already.
    not_confirmed   ///< The leader has no majority now; ask again.
};

/// Answers replace_member once the request was committed, or at once if refused.
struct member_replaced
{
    replace_refusal refusal = replace_refusal::none;
    std::optional<instance_id> leader;
};

} // namespace mulberryrudder::control

#endif
