#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_PLACEMENT_OBJECT_HOMES_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_PLACEMENT_OBJECT_HOMES_HPP

#include <mulberryrudder/core/ids.hpp>
#include <mulberryrudder/core/units.hpp>

#include <cstdint>
#include <string_view>

namespace mulberryrudder::entry
{

/// Returns how well a target suits an object: the targets with the highest scores are
/// the object's homes. All instances compute the same, a target that comes or goes
/// moves only the objects that it gets or had, and a target gets objects in proportion
/// to its slots. Source: weighted rendezvous hashing (Thaler and Ravishankar 1998;
/// weights after Schindelhauer and Schomaker 2005).
///
/// Thread safety: any thread.
double home_score(object_id const& object, target_id const& target, slots capacity);

/// Returns a number from 0 up to 1 that depends on the object alone; `purpose` makes
/// numbers for different decisions independent.
double object_fraction(object_id const& object, std::string_view purpose);

} // namespace mulberryrudder::entry

#endif
