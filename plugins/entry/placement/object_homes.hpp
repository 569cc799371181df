#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_PLACEMENT_OBJECT_HOMES_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_PLACEMENT_OBJECT_HOMES_HPP

#include <mulberryrudder/core/ids.hpp>
#include <mulberryrudder/core/units.hpp>

#include <cstdint>
#include <string_view>

namespace mulberryrudder::entry
{

/// Returns the score of a target for an object: the targets with the highest scores are
/// the object's homes. All instances compute the same scores. Adding or removing a target
/// moves only the objects that it gains or had, and targets get objects in proportion to
/// their slots. Source: weighted rendezvous hashing (Thaler and Ravishankar 1998;
/// weights after Schindelhauer and Schomaker 2005).
///
/// Thread safety: any thread.
double home_score(object_id const& object, target_id const& target, slots capacity);

/// Returns a hash of the object in [0, 1). Different values of `purpose` give independent
/// hashes, one for each kind of decision.
double object_fraction(object_id const& object, std::string_view purpose);

} // namespace mulberryrudder::entry

#endif
