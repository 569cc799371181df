#include "object_homes.hpp"

#include <boost/container_hash/hash.hpp>

#include <algorithm>
#include <cmath>

namespace mulberryrudder::entry
{

namespace
{

/// Returns a fraction from 0 up to 1 of two texts, alike in all processes of a build.
double fraction_of(std::string_view a, std::string_view b)
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
    auto const fraction = fraction_of(object.value(), target.value());
    auto const part = static_cast<double>(std::max<std::int64_t>(capacity.count(), 1));
    return part / -std::log(std::max(fraction, 0x1.0p-53));
}

double object_fraction(object_id const& object, std::string_view purpose)
{
    return fraction_of(object.value(), purpose);
}

} // namespace mulberryrudder::entry
