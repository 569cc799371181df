#ifndef MULBERRYRUDDER_MESSAGES_ROSTER_NOTICES_HPP
#define MULBERRYRUDDER_MESSAGES_ROSTER_NOTICES_HPP

#include <mulberryrudder/core/fleet_config.hpp>
#include <mulberryrudder/core/time.hpp>
#include <mulberryrudder/core/traffic_plan.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>

namespace mulberryrudder::messages
{

/// Whether a target takes requests.
enum class target_standing : std::uint8_t
{
    serving,
    leaving, ///< It said that it stops soon.
    gone     ///< It ended, or nothing was heard of it for too long.
};

/// Returns the standing's name as it stands in logs.
constexpr std::string_view to_string(target_standing it)
{
    constexpr std::array<std::string_view, 3> names{"serving", "leaving", "gone"};
    return names.at(static_cast<std::size_t>(it));
}

/// What is known of a target. Of two notices of a target the one with the greater
/// start, then the greater sequence holds.
struct target_notice
{
    target_id id;
    start_id start;
    sequence_id sequence;
    service_id service;
    endpoint where;
    domain_id domain;
    version_id version;
    slots capacity;
    target_standing standing = target_standing::serving;
    milliseconds cold_for{0}; ///< Time that is left until it is warm.
    milliseconds age{0};      ///< Time since the target said so.

    friend bool operator==(target_notice const&, target_notice const&) = default;
};

/// Outcomes of one version at an entry instance since a rollout of its service began there.
/// Totals rather than changes, so that lost, late and repeated messages do no harm.
struct version_outcomes
{
    service_id service;
    version_id rollout; ///< The new version of that rollout.
    version_id version;
    std::uint64_t answered = 0;
    std::uint64_t failed = 0; ///< Failures that the target itself reported.
    std::uint64_t broken = 0; ///< Connections that ended without a complete reply.
    std::uint64_t late = 0;   ///< Without a reply within the request's time.

    friend bool operator==(version_outcomes const&, version_outcomes const&) = default;
};

/// What is known of an entry instance.
struct entry_notice
{
    instance_description who;
    boot_id boot;
    sequence_id sequence; ///< Grows with each report of one start.
    bool ready = false;   ///< It takes callers.
    milliseconds age{0};  ///< Time since it said so.
    /// Part of the rates from which it admitted requests alone in the last second.
    per_mille part_in_use = {};
    std::vector<version_outcomes> outcomes; ///< Of the rollouts that run; the totals of `boot`.

    friend bool operator==(entry_notice const&, entry_notice const&) = default;
};

} // namespace mulberryrudder::messages

#endif
