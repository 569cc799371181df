#ifndef MULBERRYRUDDER_ENTRY_TARGET_DIRECTORY_HPP
#define MULBERRYRUDDER_ENTRY_TARGET_DIRECTORY_HPP

#include <mulberryrudder/entry/inputs.hpp>
#include <mulberryrudder/entry/request.hpp>
#include <mulberryrudder/messages/lease.hpp>

#include <optional>
#include <vector>

namespace mulberryrudder::entry
{

/// Where a target is in its life; only serving targets get new work.
enum class target_phase
{
    starting,
    serving,
    suspected, ///< Silent or failing; it is probed.
    leaving,   ///< Running work ends, none is added.
    gone
};

/// A target as this instance may use it now.
struct target_view
{
    target_id id;
    endpoint where;
    version_id version;
    target_phase phase = target_phase::starting;
    slots limit;                         ///< Most requests that this instance may run on it now.
    slots running;                       ///< Requests that this instance runs on it.
    connections most_connections;        ///< This instance's part.
    std::optional<microseconds> latency; ///< Own peak-sensitive average.
    std::optional<load_report> reported; ///< What it says; may lag or be wrong.

    bool has_free_slot() const { return running < limit; }
};

/// Lists the targets that this instance may use; the target registry provides it.
///
/// Thread safety: the decision core's thread.
class target_directory
{
public:
    virtual ~target_directory() = default;

    /// Returns the serving targets of a route and version in which this instance has
    /// slots, busy or free. An empty version stands for any. The pointers hold until
    /// the next call into the core.
    virtual std::vector<target_view const*> usable(route_id const& route,
                                                   version_id const& version) const = 0;

    /// Returns whether a target of the route and version is known, whatever its phase
    /// short of leaving.
    virtual bool is_known(route_id const& route, version_id const& version) const = 0;

    /// Returns whether a request of the route and version can start now.
    virtual bool has_free_slot(route_id const& route, version_id const& version) const = 0;

    /// Returns all targets, for the operator's view and for tests.
    virtual std::vector<target_view const*> all() const = 0;
};

} // namespace mulberryrudder::entry

#endif
