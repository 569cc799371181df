#ifndef MULBERRYRUDDER_CORE_UNITS_HPP
#define MULBERRYRUDDER_CORE_UNITS_HPP

#include <mulberryrudder/core/strong.hpp>

#include <cstdint>

namespace mulberryrudder
{

/// Places for requests that run at the same time on a target.
using slots = quantity<struct slots_tag, std::int64_t>;
/// Connections to one target.
using connections = quantity<struct connections_tag, std::int64_t>;
/// Whole requests.
using requests = quantity<struct requests_tag, std::int64_t>;
/// Thousandths of a request: the unit of token buckets, so that slices divide exactly.
using millitokens = quantity<struct millitokens_tag, std::int64_t>;
/// Thousandths of a request per second.
using millitokens_per_second = quantity<struct millitokens_per_second_tag, std::int64_t>;
/// Bytes of a message or buffer.
using byte_count = quantity<struct byte_count_tag, std::int64_t>;
/// Bytes per second over a link between regions.
using bytes_per_second = quantity<struct bytes_per_second_tag, std::int64_t>;
/// A share in thousandths; 0 to 1000.
using per_mille = quantity<struct per_mille_tag, std::int64_t>;

/// A part of a split, relative to the other parts.
using weight = quantity<struct weight_tag, std::int64_t>;
/// A place in an order of urgency; 0 is the most urgent.
using urgency = quantity<struct urgency_tag, std::int64_t>;
/// Objects that requests are about.
using object_count = quantity<struct object_count_tag, std::int64_t>;
/// Targets that a request may be sent to.
using target_count = quantity<struct target_count_tag, std::int64_t>;

/// The whole, as a share.
inline constexpr per_mille whole_share{1000};
/// Millitokens that one request costs.
inline constexpr millitokens request_cost{1000};

} // namespace mulberryrudder

#endif
