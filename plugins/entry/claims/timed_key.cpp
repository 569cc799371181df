#include "timed_key.hpp"

#include <boost/uuid/string_generator.hpp>

#include <stdexcept>

namespace mulberryrudder::entry
{

namespace
{

constexpr std::size_t uuid_text_length = 36;
constexpr std::size_t timestamp_bytes = 6;
constexpr int time_ordered_version = 7;

} // namespace

std::optional<milliseconds> time_of_key(std::string_view key)
{
    if (key.size() != uuid_text_length)
        return std::nullopt;
    try
    {
        auto const id = boost::uuids::string_generator()(key.begin(), key.end());
        if ((id.data[timestamp_bytes] >> 4) != time_ordered_version)
            return std::nullopt;
        std::int64_t n = 0;
        for (std::size_t i = 0; i != timestamp_bytes; ++i)
            n = n << 8 | id.data[i];
        return milliseconds(n);
    }
    catch (std::runtime_error const&)
    {
        return std::nullopt;
    }
}

} // namespace mulberryrudder::entry
