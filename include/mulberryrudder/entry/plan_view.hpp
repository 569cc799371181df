#ifndef MULBERRYRUDDER_ENTRY_PLAN_VIEW_HPP
#define MULBERRYRUDDER_ENTRY_PLAN_VIEW_HPP

#include <mulberryrudder/core/traffic_plan.hpp>
#include <mulberryrudder/messages/roster.hpp>

#include <cstdint>
#include <map>
#include <optional>

namespace mulberryrudder::entry
{

/// A target as this instance knows it from the roster.
struct listed_target
{
    messages::target_notice what;
    instant cold_until; ///< The epoch if it is warm.
    instant learned;    ///< When this instance heard of the newest change.
};

/// Shows what control told this instance of the fleet.
///
/// Thread safety: the decision core's thread.
class plan_view
{
public:
    virtual ~plan_view() = default;

    /// Returns the newest steering state; null before the first.
    virtual shared_steering const& steering() const = 0;

    /// Returns the time since the steering state was known to be the newest; nothing if it never
    /// was.
    virtual std::optional<span> plan_age(instant now) const = 0;

    /// Returns whether requests must not be sent by the steering state: it is too old, and
    /// control is heard, but late.
    virtual bool is_plan_outdated(instant now) const = 0;

    /// Returns the targets that are not gone.
    virtual std::map<target_id, listed_target> const& targets() const = 0;

    /// Returns the control instance that answers this instance's reports; nothing while none does.
    virtual std::optional<instance_id> control() const = 0;

    /// Returns how many entry instances are ready, here included; at least 1.
    virtual std::int64_t entries() const = 0;
    virtual std::int64_t entries_in_domain() const = 0;

    /// Returns whether entries() counts all entries. Control instances that started at the same
    /// time as this instance do not know all of them at first.
    virtual bool knows_entries() const = 0;
};

/// Shows how this instance holds customers to their rates.
///
/// Thread safety: the decision core's thread.
class quota_view
{
public:
    virtual ~quota_view() = default;

    /// Returns the part of the rates from which this instance admitted requests alone in the last
    /// second; 0 if it admitted none.
    virtual per_mille part_in_use(instant now) const = 0;
};

} // namespace mulberryrudder::entry

#endif
