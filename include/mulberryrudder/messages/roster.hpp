#ifndef MULBERRYRUDDER_MESSAGES_ROSTER_HPP
#define MULBERRYRUDDER_MESSAGES_ROSTER_HPP

#include <mulberryrudder/core/fleet_config.hpp>
#include <mulberryrudder/core/time.hpp>
#include <mulberryrudder/core/traffic_plan.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

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

/// Outcomes of one version of a service since an entry instance's last report.
struct version_outcomes
{
    service_id service;
    version_id version;
    std::uint64_t answered = 0;
    std::uint64_t bad = 0;  ///< Failures by the target's own word, and broken replies.
    std::uint64_t late = 0; ///< Without a reply within the request's time.

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
    /// Requests a second of customers that ask much here, in millitokens.
    std::map<customer_id, millitokens_per_second> demand;

    friend bool operator==(entry_notice const&, entry_notice const&) = default;
};

/// What a control instance tells the others every so often.
struct roster_exchange
{
    instance_description who;    ///< The sender.
    endpoint operators;          ///< Where the sender takes operators' requests.
    bool leads = false;          ///< The sender may decide orders.
    generation_id generation;    ///< Of its steering state.
    bool wants_steering = false; ///< It asks for a newer steering state.
    shared_steering steering;    ///< Only if the receiver is known to need it.
    sequence_id number;          ///< Of this message, for the acknowledgement.
    sequence_id acknowledged;    ///< Newest number of the receiver that was taken in.
    std::vector<target_notice> targets;
    std::vector<entry_notice> entries;      ///< Those that reported since the last message.
    std::vector<version_outcomes> outcomes; ///< For the leader.
    /// Other control instances that are known; not in every message.
    std::vector<instance_description> control;
};

/// An entry instance reports and asks for news; the answer may be held back until
/// there are some.
struct roster_poll
{
    entry_notice self;
    generation_id generation; ///< Of the steering state that it holds.
    boot_id known_boot;       ///< Start of the control instance that `known` is of.
    sequence_id known;        ///< Newest change of the roster that it holds.
    std::vector<version_outcomes> outcomes;
};

/// The answer to a poll.
struct roster_update
{
    sequence_id poll; ///< Number of the report that is answered.
    boot_id boot;     ///< Start of the control instance that answers.
    sequence_id newest;
    /// Whether the control instance hears most of the others. One that does not may
    /// miss what they decide, so the entry is to ask another one.
    bool connected = true;
    shared_steering steering; ///< Only if newer than what the poll named.
    std::vector<target_notice> targets;
    std::vector<instance_description> control;
    std::uint32_t entries_in_domain = 1; ///< Ready ones in the asker's failure domain.
    std::uint32_t entries = 1;           ///< Ready ones in the fleet.
    /// The asker's part of each customer's rate, where it is not an even one.
    std::map<customer_id, per_mille> shares;
    /// What all entries together are asked for by those customers.
    std::map<customer_id, millitokens_per_second> demand;
};

} // namespace mulberryrudder::messages

#endif
