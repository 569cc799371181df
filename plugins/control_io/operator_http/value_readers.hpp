#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_IO_OPERATOR_HTTP_VALUE_READERS_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_IO_OPERATOR_HTTP_VALUE_READERS_HPP

#include <mulberryrudder/control/release_note.hpp>
#include <mulberryrudder/kernel/settings.hpp>

#include <boost/json/array.hpp>

namespace mulberryrudder::operator_http
{

using kernel::reading;
using json_value = boost::json::value;

/// Readers of one JSON value each; they report to `at` and leave `out` alone on
/// error. None repeats the value, which may be a key in the wrong place.
void read_flag(json_value const& from, reading const& at, bool& out);
void read_text(json_value const& from, reading const& at, std::string& out);
void read_number(json_value const& from, reading const& at, note_number& out);
void read_base(json_value const& from, reading const& at, generation_id& out);
/// Requests per second and requests have up to three decimals.
void read_rate(json_value const& from, reading const& at, millitokens_per_second& out);
void read_burst(json_value const& from, reading const& at, millitokens& out);
void read_cap(json_value const& from, reading const& at, per_mille& out);
void read_link_cap(json_value const& from, reading const& at, bytes_per_second& out);
void read_deadline(json_value const& from, reading const& at, control::utc_time& out);
/// `sha256:` and 64 hexadecimal digits.
void read_key(json_value const& from, reading const& at, digest& out);
/// 8 to 64 hexadecimal digits, with or without `sha256:`.
void read_key_prefix(json_value const& from, reading const& at, control::key_prefix& out);
/// `FROM:TO`.
void read_link(json_value const& from, reading const& at, link_id& out);
void read_instance(json_value const& from, reading const& at, instance_id& out);

template <class Id>
void read_id(json_value const& from, reading const& at, Id& out)
{
    std::string text;
    read_text(from, at, text);
    out = Id(std::move(text));
}

/// Reads an array without repeated elements.
template <class T, void (*Read)(json_value const&, reading const&, T&)>
void read_set(json_value const& from, reading const& at, std::set<T>& out)
{
    if (!from.is_array())
        return at.refuse("an array");
    std::size_t n = 0;
    for (auto const& it : from.get_array())
    {
        auto const place = at.at(std::to_string(n++));
        auto const failures_before = at.failed.size();
        T value;
        Read(it, place, value);
        if (at.failed.size() == failures_before && !out.insert(std::move(value)).second)
            place.refuse("an element that is not in the list twice");
    }
}

/// Reads an object whose members are named things.
template <class Id, class T, void (*ReadId)(json_value const&, reading const&, Id&),
          void (*Read)(json_value const&, reading const&, T&)>
void read_map(json_value const& from, reading const& at, std::map<Id, T>& out)
{
    if (!from.is_object())
        return at.refuse("an object");
    for (auto const& it : from.get_object())
    {
        auto const place = at.at(it.key());
        auto const failures_before = at.failed.size();
        Id id;
        ReadId(json_value(it.key()), place, id);
        T value;
        Read(it.value(), place, value);
        if (at.failed.size() == failures_before)
            out.emplace(std::move(id), std::move(value));
    }
}

/// Makes a row of a table of members from a reader of this folder.
template <class T, class Member>
kernel::field_spec<T> row(std::string_view name, Member T::*member,
                          void (*read)(json_value const&, reading const&, Member&),
                          bool required = false)
{
    auto call = [member, read](json_value const& from, reading const& at, T& out)
    { read(from, at, out.*member); };
    return {name, call, kernel::unbounded, "", required};
}

template <class T, class Member>
kernel::field_spec<T> row(std::string_view name, std::optional<Member> T::*member,
                          void (*read)(json_value const&, reading const&, Member&))
{
    auto call = [member, read](json_value const& from, reading const& at, T& out)
    {
        (out.*member).emplace();
        read(from, at, *(out.*member));
    };
    return {name, call, kernel::unbounded, "", false};
}

} // namespace mulberryrudder::operator_http

#endif
