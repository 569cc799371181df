#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_PLACEMENT_REGION_SPLIT_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_PLACEMENT_REGION_SPLIT_HPP

#include <mulberryrudder/core/ids.hpp>
#include <mulberryrudder/core/time.hpp>
#include <mulberryrudder/core/units.hpp>

#include <map>
#include <optional>

namespace mulberryrudder::entry
{

/// Slots of a service in one region and how many are in use.
struct region_room
{
    slots capacity;
    double busy = 0;
};

/// Divides a service's objects between the own region and the others. The part that
/// stays starts as the region's part of the slots allows and then follows the load, in
/// steps so small that two seconds move less of the traffic than regions bear.
///
/// Pattern: one region has far fewer slots than its callers need.
///
/// Thread safety: one owner.
class region_split
{
public:
    /// Takes the rooms of all regions that may serve in; call it every step_period.
    /// `kept_part` is the part of the objects that the own region's targets can keep warm.
    void update(region_id const& own, std::map<region_id, region_room> const& rooms,
                double kept_part, instant now);

    /// Returns the part of the objects that is served in the own region, 0 to 1.
    double own_part() const { return own_part_; }

    /// Time between two steps.
    static constexpr milliseconds step_period{500};

private:
    double own_part_ = 1;
    bool started_ = false;
    instant step_due_;
};

} // namespace mulberryrudder::entry

#endif
