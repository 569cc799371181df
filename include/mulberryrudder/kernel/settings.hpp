#ifndef MULBERRYRUDDER_KERNEL_SETTINGS_HPP
#define MULBERRYRUDDER_KERNEL_SETTINGS_HPP

#include <mulberryrudder/core/endpoint.hpp>
#include <mulberryrudder/core/error.hpp>
#include <mulberryrudder/core/strong.hpp>
#include <mulberryrudder/core/time.hpp>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <any>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mulberryrudder::kernel
{

/// Bounds a whole-number setting, both ends included, in the field's unit.
struct limits
{
    std::int64_t least;
    std::int64_t most;
};

/// Where a value stands, and where its failures are collected.
struct reading
{
    std::string pointer; ///< JSON pointer of the value, such as `/rate/borrow_timeout`.
    failures& failed;

    /// Reports that the value at `pointer` is not what was expected.
    void refuse(std::string expected) const;

    /// Returns the place of a member or an element of this value.
    reading at(std::string_view name) const { return {pointer + "/" + std::string(name), failed}; }
};

/// Readers of one value each; they report to `at` and leave `out` alone on error.
/// A plug-in may add overloads for its own types beside those types.
void read_value(boost::json::value const& from, reading const& at, limits within, bool& out);
void read_value(boost::json::value const& from, reading const& at, limits within,
                std::int64_t& out);
void read_value(boost::json::value const& from, reading const& at, limits within,
                std::uint32_t& out);
void read_value(boost::json::value const& from, reading const& at, limits within, std::string& out);
/// A time is a whole number of milliseconds.
void read_value(boost::json::value const& from, reading const& at, limits within,
                milliseconds& out);
void read_value(boost::json::value const& from, reading const& at, limits within, endpoint& out);

template <class Tag, class Rep>
void read_value(boost::json::value const& from, reading const& at, limits within,
                quantity<Tag, Rep>& out)
{
    std::int64_t n = out.count();
    read_value(from, at, within, n);
    out = quantity<Tag, Rep>(n);
}

template <class Tag, class Rep>
void read_value(boost::json::value const& from, reading const& at, limits within,
                strong_id<Tag, Rep>& out)
{
    Rep value = out.value();
    read_value(from, at, within, value);
    out = strong_id<Tag, Rep>(std::move(value));
}

template <class T>
void read_value(boost::json::value const& from, reading const& at, limits within,
                std::vector<T>& out)
{
    if (!from.is_array())
        return at.refuse("an array");
    std::vector<T> read(from.get_array().size());
    for (std::size_t n = 0; n != read.size(); ++n)
        read_value(from.get_array()[n], at.at(std::to_string(n)), within, read[n]);
    out = std::move(read);
}

/// One member of a settings struct: its name in the file, how it is read, what
/// it means. Make it with `field(...)`.
template <class T>
struct field_spec
{
    std::string_view name;
    std::function<void(boost::json::value const&, reading const&, T&)> read;
    limits within;
    std::string_view meaning; ///< With its unit.
    bool required;
};

/// Describes an optional member; its default is the struct's initialiser.
template <class T, class Member>
field_spec<T> field(std::string_view name, Member T::*member, limits within,
                    std::string_view meaning, bool required = false)
{
    auto read = [member, within](boost::json::value const& from, reading const& at, T& out)
    { read_value(from, at, within, out.*member); };
    return {name, read, within, meaning, required};
}

/// Describes a member that must be given.
template <class T, class Member>
field_spec<T> required_field(std::string_view name, Member T::*member, limits within,
                             std::string_view meaning)
{
    return field(name, member, within, meaning, true);
}

/// Text and lists have no numeric bounds.
inline constexpr limits unbounded{INT64_MIN, INT64_MAX};

/// Reads an object's members by a table; refuses unknown and missing ones.
template <class T>
void read_members(boost::json::value const& from, reading const& at,
                  std::vector<field_spec<T>> const& fields, T& out)
{
    if (!from.is_object())
        return at.refuse("an object");
    auto const& members = from.get_object();
    for (auto const& it : members)
    {
        auto const known = [&](auto const& field) { return field.name == it.key(); };
        if (std::none_of(fields.begin(), fields.end(), known))
            at.at(it.key()).refuse("no such key: it is unknown here");
    }
    for (auto const& it : fields)
    {
        if (auto const* const value = members.if_contains(it.name))
            it.read(*value, at.at(it.name), out);
        else if (it.required)
            at.at(it.name).refuse("a value: this key is required");
    }
}

/// The untyped side of a settings section, as the kernel sees it.
class section_base
{
public:
    struct description
    {
        std::string_view name;
        limits within;
        std::string_view meaning;
        bool required;
    };

    explicit section_base(std::string_view name);
    virtual ~section_base() = default;
    section_base(section_base const&) = delete;
    section_base& operator=(section_base const&) = delete;

    std::string_view name() const noexcept { return name_; }

    /// Reads and checks the section; a section that is absent is read as empty.
    virtual std::any read(boost::json::value const& from, reading const& at) const = 0;
    virtual std::vector<description> describe() const = 0;

private:
    std::string_view name_;
};

/// Declares a plug-in's settings: a struct whose initialisers are the defaults,
/// and a table of its members. Define it as a static object in the plug-in.
template <class T>
class section final : public section_base
{
public:
    /// Finds contradictions between members; returns what was expected, or nothing.
    using checker = std::optional<std::string> (*)(T const&);

    section(std::string_view name, std::vector<field_spec<T>> fields, checker check = nullptr)
        : section_base(name), fields_(std::move(fields)), check_(check)
    {
    }

    std::any read(boost::json::value const& from, reading const& at) const override
    {
        T out{};
        read_members(from, at, fields_, out);
        if (check_ == nullptr)
            return out;
        if (auto const wrong = check_(out))
            at.refuse(*wrong);
        return out;
    }

    std::vector<description> describe() const override
    {
        std::vector<description> out;
        for (auto const& it : fields_)
            out.push_back({it.name, it.within, it.meaning, it.required});
        return out;
    }

private:
    std::vector<field_spec<T>> fields_;
    checker check_;
};

/// Holds the checked settings of a process.
///
/// Thread safety: immutable once read; reading from any thread.
class settings
{
public:
    /// Returns a plug-in's settings.
    /// Precondition: the section's plug-in is linked into this program.
    template <class T>
    T const& get(section<T> const& which) const
    {
        return *std::any_cast<T>(&sections_.at(&which));
    }

    /// Returns settings in which all sections have their defaults, for tests.
    static settings defaults();

    /// Replaces one section, for tests.
    template <class T>
    void set(section<T> const& which, T value)
    {
        sections_[&which] = std::move(value);
    }

private:
    friend result<settings> parse_settings(std::string_view text, std::string const& file);

    std::map<section_base const*, std::any> sections_;
};

/// Reads settings from JSON with comments. On error the LEAF error carries
/// `failures`, each with `file:line:column` or `file#/json/pointer` and what was
/// expected; all of the file's failures are reported at once.
result<settings> parse_settings(std::string_view text, std::string const& file);

/// Parses JSON with comments and trailing commas; failures name line and column.
result<boost::json::value> parse_json(std::string_view text, std::string const& file);

/// Reads a whole file; the failure names it.
result<std::string> read_file(std::string const& file);

} // namespace mulberryrudder::kernel

#endif
