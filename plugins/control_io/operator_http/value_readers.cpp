#include "value_readers.hpp"

#include "utc_text.hpp"

#include <cmath>

namespace mulberryrudder::operator_http
{

namespace
{

constexpr std::string_view key_scheme = "sha256:";
constexpr std::int64_t amount_most = 1'000'000'000;
constexpr std::int64_t thousand = 1000;

/// Reads a number above 0 with up to three decimals, in thousandths.
void read_thousandths(json_value const& from, reading const& at, std::int64_t& out)
{
    constexpr double rounding = 1e-6;
    double const amount = from.is_number() ? from.to_number<double>() : 0.0;
    double const scaled = amount * static_cast<double>(thousand);
    bool const whole = std::abs(scaled - std::round(scaled)) <= rounding * std::max(1.0, scaled);
    if (!(amount > 0.0) || amount > static_cast<double>(amount_most) || !whole ||
        std::round(scaled) < 1.0)
        return at.refuse("a number above 0, up to 1000000000, with up to three decimals");
    out = std::llround(scaled);
}

} // namespace

void read_flag(json_value const& from, reading const& at, bool& out)
{
    kernel::read_value(from, at, kernel::unbounded, out);
}

void read_text(json_value const& from, reading const& at, std::string& out)
{
    kernel::read_value(from, at, kernel::unbounded, out);
}

void read_number(json_value const& from, reading const& at, note_number& out)
{
    std::int64_t n = 0;
    kernel::read_value(from, at, {1, INT64_MAX}, n);
    out = note_number(static_cast<std::uint64_t>(n));
}

void read_base(json_value const& from, reading const& at, generation_id& out)
{
    std::int64_t n = 0;
    kernel::read_value(from, at, {0, INT64_MAX}, n);
    out = generation_id(static_cast<std::uint64_t>(n));
}

void read_rate(json_value const& from, reading const& at, millitokens_per_second& out)
{
    std::int64_t n = 0;
    read_thousandths(from, at, n);
    out = millitokens_per_second(n);
}

void read_burst(json_value const& from, reading const& at, millitokens& out)
{
    std::int64_t n = 0;
    read_thousandths(from, at, n);
    out = millitokens(n);
}

void read_cap(json_value const& from, reading const& at, per_mille& out)
{
    std::int64_t n = 0;
    kernel::read_value(from, at, {1, whole_share.count()}, n);
    out = per_mille(n);
}

void read_link_cap(json_value const& from, reading const& at, bytes_per_second& out)
{
    std::int64_t n = 0;
    kernel::read_value(from, at, {1, 1'000'000'000'000'000}, n);
    out = bytes_per_second(n);
}

void read_deadline(json_value const& from, reading const& at, control::utc_time& out)
{
    if (!from.is_string() || !parse_utc(std::string(from.get_string()), out))
        at.refuse("a time in UTC, such as \"2026-12-04T18:30:00Z\"");
}

void read_key(json_value const& from, reading const& at, digest& out)
{
    auto const* const text = from.if_string();
    if (text == nullptr || !text->starts_with(key_scheme) ||
        !from_hex(std::string_view(*text).substr(key_scheme.size()), out))
        at.refuse("the SHA-256 digest of a key, \"sha256:\" and 64 hexadecimal digits; "
                  "a key itself must not be sent");
}

void read_key_prefix(json_value const& from, reading const& at, control::key_prefix& out)
{
    constexpr std::size_t least = 8;
    constexpr std::size_t most = 64;
    std::string_view text = from.is_string() ? std::string_view(from.get_string()) : "";
    if (text.starts_with(key_scheme))
        text.remove_prefix(key_scheme.size());
    if (text.size() < least || text.size() > most ||
        text.find_first_not_of("0123456789abcdef") != std::string_view::npos)
        return at.refuse("a key's id: 8 to 64 of the first hexadecimal digits of its digest");
    out = control::key_prefix(std::string(text));
}

void read_link(json_value const& from, reading const& at, link_id& out)
{
    std::string_view const text = from.is_string() ? std::string_view(from.get_string()) : "";
    auto const colon = text.find(':');
    if (colon == std::string_view::npos || text.find(':', colon + 1) != std::string_view::npos)
        return at.refuse("two regions as FROM:TO");
    out = {region_id(std::string(text.substr(0, colon))),
           region_id(std::string(text.substr(colon + 1)))};
}

void read_instance(json_value const& from, reading const& at, instance_id& out)
{
    constexpr kernel::limits instance_numbers{1, 65535};
    kernel::read_value(from, at, instance_numbers, out);
}

} // namespace mulberryrudder::operator_http
