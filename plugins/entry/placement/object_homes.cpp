#include "object_homes.hpp"

#include <boost/container_hash/hash.hpp>

#include <algorithm>
#include <cmath>

namespace mulberryrudder::entry
{

namespace
{

/// Returns a hash of two strings in [0, 1). All processes of one build compute the same.
double hash_to_unit_interval(std::string_view a, std::string_view b)
{
    std::size_t seed = 0;
    boost::hash_range(seed, a.begin(), a.end());
    boost::hash_combine(seed, a.size());
    boost::hash_range(seed, b.begin(), b.end());
    // The high 53 bits fill a double's mantissa.
    return static_cast<double>(seed >> 11U) * 0x1.0p-53;
}

} // namespace

double home_score(object_id const& object, target_id const& target, slots capacity)
{
    auto const fraction = hash_to_unit_interval(object.value(), target.value());
    auto const weight = static_cast<double>(std::max<std::int64_t>(capacity.count(), 1));
    return weight / -std::log(std::max(fraction, 0x1.0p-53));
}

double object_fraction(object_id const& object, std::string_view purpose)
{
    return hash_to_unit_interval(object.value(), purpose);
}

} // namespace mulberryrudder::entry
