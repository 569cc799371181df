#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_PLACEMENT_REGION_SPLIT_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_PLACEMENT_REGION_SPLIT_HPP

#include <mulberryrudder/core/ids.hpp>
#include <mulberryrudder/core/time.hpp>
#include <mulberryrudder/core/units.hpp>

#include <map>
#include <optional>

namespace mulberryrudder::entry
{

/// Slots of a service's targets in one region and how many of them are in use.
struct region_usage
{
    slots capacity;
    double busy = 0;
};

/// Divides a service's objects between this instance's region and the others. The fraction
/// served in this region starts at the region's share of the slots and then follows the
/// load, in steps so small that the traffic moved within two seconds stays below the limit
/// for a change of region.
///
/// Handles a region that has far fewer slots than its callers need.
///
/// Thread safety: one owner.
class region_split
{
public:
    /// Updates the fraction from the usage of all regions that may serve the service. Call it
    /// every step_interval. `warm_fraction` is the fraction of the objects that the targets of
    /// this instance's region can keep warm; it may exceed 1.
    void update(region_id const& own_region, std::map<region_id, region_usage> const& usage,
                double warm_fraction, instant now);

    /// Returns the fraction of the objects that this region serves, from 0 to 1.
    double own_fraction() const { return own_fraction_; }

    static constexpr milliseconds step_interval{500};

private:
    double own_fraction_ = 1;
    bool started_ = false;
    instant step_due_;
};

} // namespace mulberryrudder::entry

#endif
