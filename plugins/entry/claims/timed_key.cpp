#include "timed_key.hpp"

#include <boost/uuid/string_generator.hpp>

#include <stdexcept>

namespace mulberryrudder::entry
{

namespace
{

constexpr std::size_t text_length = 36;
constexpr std::size_t time_bytes = 6;
constexpr int time_ordered_version = 7;

} // namespace

std::optional<milliseconds> time_of_key(std::string_view key)
{
    if (key.size() != text_length)
        return std::nullopt;
    try
    {
        auto const id = boost::uuids::string_generator()(key.begin(), key.end());
        if ((id.data[time_bytes] >> 4) != time_ordered_version)
            return std::nullopt;
        std::int64_t n = 0;
        for (std::size_t at = 0; at != time_bytes; ++at)
            n = n << 8 | id.data[at];
        return milliseconds(n);
    }
    catch (std::runtime_error const&)
    {
        return std::nullopt;
    }
}

} // namespace mulberryrudder::entry
