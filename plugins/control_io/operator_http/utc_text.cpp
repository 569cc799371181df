#include "utc_text.hpp"

#include <chrono>
#include <cstdio>

namespace mulberryrudder::operator_http
{

namespace
{

constexpr std::string_view shape = "0000-00-00T00:00:00Z";
constexpr std::int64_t microseconds_a_second = 1'000'000;

bool has_shape(std::string const& text)
{
    if (text.size() != shape.size())
        return false;
    for (std::size_t n = 0; n != shape.size(); ++n)
    {
        bool const digit = text[n] >= '0' && text[n] <= '9';
        if (shape[n] == '0' ? !digit : text[n] != shape[n])
            return false;
    }
    return true;
}

int number_at(std::string const& text, std::size_t at, std::size_t n)
{
    return std::stoi(text.substr(at, n));
}

} // namespace

bool parse_utc(std::string const& text, control::utc_time& out)
{
    namespace chrono = std::chrono;
    if (!has_shape(text))
        return false;
    chrono::year_month_day const day(chrono::year(number_at(text, 0, 4)),
                                     chrono::month(static_cast<unsigned>(number_at(text, 5, 2))),
                                     chrono::day(static_cast<unsigned>(number_at(text, 8, 2))));
    int const hour = number_at(text, 11, 2);
    int const minute = number_at(text, 14, 2);
    int const second = number_at(text, 17, 2);
    if (!day.ok() || hour > 23 || minute > 59 || second > 59)
        return false;
    auto const at = chrono::sys_days(day) + chrono::hours(hour) + chrono::minutes(minute) +
                    chrono::seconds(second);
    out = control::utc_time(
        chrono::duration_cast<chrono::microseconds>(at.time_since_epoch()).count());
    return true;
}

std::string to_text(control::utc_time value)
{
    namespace chrono = std::chrono;
    chrono::sys_seconds const at(chrono::seconds(value.value() / microseconds_a_second));
    auto const midnight = chrono::floor<chrono::days>(at);
    chrono::year_month_day const day(midnight);
    chrono::hh_mm_ss const time(at - midnight);
    char buf[64];
    std::snprintf(buf, sizeof buf, "%04d-%02u-%02uT%02d:%02d:%02dZ", static_cast<int>(day.year()),
                  static_cast<unsigned>(day.month()), static_cast<unsigned>(day.day()),
                  static_cast<int>(time.hours().count()), static_cast<int>(time.minutes().count()),
                  static_cast<int>(time.seconds().count()));
    return buf;
}

} // namespace mulberryrudder::operator_http
