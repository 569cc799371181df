#ifndef MULBERRYRUDDER_CONTROL_ROSTER_HPP
#define MULBERRYRUDDER_CONTROL_ROSTER_HPP

#include <mulberryrudder/core/endpoint.hpp>
#include <mulberryrudder/core/error.hpp>
#include <mulberryrudder/messages/roster.hpp>

#include <optional>
#include <vector>

namespace mulberryrudder::control
{

/// A target announced itself.
struct target_announced
{
    messages::target_notice what;
};

/// A target announced itself in words that name no target to use.
struct announcement_unreadable
{
    target_id id; ///< As the target names itself; any text.
    failures failed;
};

/// Answers an announcement_unreadable.
struct announcement_refused
{
    failures failed;
};

/// A target said that it stops. It names itself only, and its start if it knows it.
struct target_leaves
{
    target_id id;
    std::optional<start_id> start;
};

/// Answers an announcement once the control group holds it. A target that leaves is
/// told so only after the instances that could send it requests will hear of it.
struct announcement_taken
{
    bool held = true; ///< False if this instance cannot pass it on; ask another one.
};

/// A caller asks which entry instances to use.
struct entry_question
{
    std::string host;
    region_id region;
    domain_id domain;
};

/// Answers an entry_question, best first. Empty if there is none.
struct entries_told
{
    std::vector<endpoint> entries;
    milliseconds time_to_live{0}; ///< How long the caller may use the answer.
};

/// Shows the targets that announced themselves to the other components.
///
/// Thread safety: the decision core's thread.
class roster_view
{
public:
    virtual ~roster_view() = default;

    /// Returns the versions of a service's targets that serve, the oldest start first.
    virtual std::vector<version_id> versions_of(service_id const& service) const = 0;

    /// Returns the slots of a service's targets of one version that serve.
    virtual slots capacity_of(service_id const& service, version_id const& version) const = 0;

    /// Returns the other control instances that were heard since a time.
    virtual std::vector<instance_description> control_since(instant since) const = 0;

    /// Returns when the last message of another control instance arrived; nothing if none did
    /// lately.
    virtual std::optional<instant> control_last_heard(instance_id id) const = 0;

    /// Returns the newest notices of the entries, which contain the outcomes of rollouts.
    virtual std::vector<messages::entry_notice> entry_notices() const = 0;
};

/// Divides the customers' rates between the control instances, by the entries that report to each.
///
/// Thread safety: the decision core's thread.
class rate_division
{
public:
    virtual ~rate_division() = default;

    /// Returns the part of each rate that belongs to the entries which report to this instance;
    /// nothing while it may not know all entries, or hears too few control instances. The parts of
    /// all instances make up the rate, but for the time that an entry takes to change its control
    /// instance.
    virtual std::optional<per_mille> part(instant now) const = 0;
};

} // namespace mulberryrudder::control

#endif
