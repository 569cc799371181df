#ifndef MULBERRYRUDDER_CONTROL_STEERING_HPP
#define MULBERRYRUDDER_CONTROL_STEERING_HPP

#include <mulberryrudder/core/digest.hpp>
#include <mulberryrudder/core/endpoint.hpp>
#include <mulberryrudder/core/error.hpp>
#include <mulberryrudder/core/traffic_plan.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace mulberryrudder::control
{

// Commands of the replicated log. Each is checked again when it is applied, since
// the state may have changed after its proposal.

/// Puts a plan in the place of the one numbered `base`; 0 is before the first.
struct replace_plan
{
    plan_number base;
    std::shared_ptr<traffic_plan const> plan;
    digest content; ///< Of the plan's source.
};

/// Keeps requests off a failure domain's targets, or allows them again.
struct set_evacuation
{
    domain_id domain;
    bool evacuated = false;
};

/// Orders that a service's requests move to targets of a version.
struct start_rollout
{
    service_id service;
    version_id version;
    milliseconds duration{0}; ///< Within which the rollout is to end.
};

/// Changes the share of a running rollout's version, or ends the rollout.
struct step_rollout
{
    service_id service;
    version_id version;
    per_mille share;
    rollout_phase phase = rollout_phase::running;
};

/// Names the version that carries a service from its beginning on.
struct note_base_version
{
    service_id service;
    version_id version;
};

/// What a replica keeps of the steering state in a snapshot.
struct steering_snapshot
{
    steering_state state;
    std::map<plan_number, digest> accepted; ///< Plans that were in force, by content.
};

// Requests of operators.

/// Asks to put a plan in force. `failed` holds what the reader found wrong already.
struct plan_submission
{
    plan_number base;
    std::shared_ptr<traffic_plan const> plan; ///< Null if it cannot be read.
    failures failed;
};

/// Asks for the newest plan.
struct plan_question
{
};

/// Asks for an evacuation or its end.
struct evacuation_order
{
    domain_id domain;
    bool evacuated = false;
};

/// Asks for a rollout.
struct rollout_order
{
    service_id service;
    version_id version;
    milliseconds duration{0};
};

/// Asks how a service's rollout stands.
struct rollout_question
{
    service_id service;
};

// Answers.

/// What became of an order.
enum class order_result : std::uint8_t
{
    accepted, ///< In force, or it was before.
    conflict, ///< Another plan is the newest.
    refused   ///< It does not fit; nothing of it is in force.
};

/// Answers an order once it is decided, durable, and held by most control instances.
struct steering_answer
{
    order_result result = order_result::refused;
    failures failed;
    plan_number newest;
};

/// Answers a plan_question.
struct plan_told
{
    std::shared_ptr<traffic_plan const> plan; ///< Null before the first.
};

/// Answers a rollout_question.
struct rollout_told
{
    service_versions versions;
};

/// Answers a request that only another instance can decide now.
struct ask_elsewhere
{
    std::optional<endpoint> leader; ///< Where it takes operators' requests, if known.
};

/// Shows the steering state to the other components.
///
/// Thread safety: the decision core's thread.
class steering_view
{
public:
    virtual ~steering_view() = default;

    /// Returns the newest state this instance knows; never null.
    virtual shared_steering steering() const = 0;

    /// Takes over a state that another instance told, if it is newer. A replica that
    /// applies the log itself ignores it.
    virtual void learn(shared_steering const& it) = 0;
};

/// How many control instances hold a steering state or a newer one.
struct state_spread
{
    std::size_t holders = 0;          ///< The teller included.
    std::optional<std::size_t> total; ///< Of the control instances; nothing until all are known.

    /// Returns whether more than half of the control instances hold the state.
    bool is_majority() const { return total && holders * 2 > *total; }
};

/// Tells how far steering states have spread among the control instances.
///
/// Thread safety: the decision core's thread.
class spread_view
{
public:
    virtual ~spread_view() = default;

    /// Returns how many of the control instances hold a state or a newer one. Voters are only
    /// some of them, and entries listen to any.
    virtual state_spread spread_of(generation_id it) const = 0;
};

/// Tells which instance leads the group.
///
/// Thread safety: the decision core's thread.
class leader_directory
{
public:
    virtual ~leader_directory() = default;

    /// Returns the leader if it is another instance, or nothing if none is known.
    virtual std::optional<instance_id> leader(instant now) const = 0;

    /// Returns where the leader takes operators' requests, or nothing if none is known.
    virtual std::optional<endpoint> leader_address(instant now) const = 0;
};

/// Checks a plan for contradictions; all of them are returned.
failures check_plan(traffic_plan const& it);

} // namespace mulberryrudder::control

#endif
