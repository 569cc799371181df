#include "duplicate_names.hpp"

#include <boost/json/basic_parser_impl.hpp>

#include <set>
#include <string>
#include <vector>

namespace mulberryrudder::operator_http
{

namespace
{

/// Follows the objects of a text; the members are what Boost.JSON's parser calls.
struct name_handler
{
    using error_code = boost::system::error_code;
    using string_view = boost::json::string_view;

    static constexpr std::size_t max_object_size = SIZE_MAX;
    static constexpr std::size_t max_array_size = SIZE_MAX;
    static constexpr std::size_t max_key_size = SIZE_MAX;
    static constexpr std::size_t max_string_size = SIZE_MAX;

    /// An object or array that is open.
    struct level
    {
        std::set<std::string> names;
        std::string current; ///< The name that was read last.
    };

    failures& failed;
    std::vector<level> levels;
    std::string name_so_far;

    void open() { levels.emplace_back(); }
    void close() { levels.pop_back(); }

    void take_name(string_view rest)
    {
        name_so_far += rest;
        auto& it = levels.back();
        it.current = std::exchange(name_so_far, {});
        if (!it.names.insert(it.current).second)
            failed.push_back({.place = pointer(), .expected = "a name that stands here once"});
    }

    std::string pointer() const
    {
        std::string out;
        for (auto const& it : levels)
            out += "/" + it.current;
        return out;
    }

    bool on_document_begin(error_code&) { return true; }
    bool on_document_end(error_code&) { return true; }
    bool on_object_begin(error_code&)
    {
        open();
        return true;
    }
    bool on_object_end(std::size_t, error_code&)
    {
        close();
        return true;
    }
    bool on_array_begin(error_code&)
    {
        open();
        return true;
    }
    bool on_array_end(std::size_t, error_code&)
    {
        close();
        return true;
    }
    bool on_key_part(string_view part, std::size_t, error_code&)
    {
        name_so_far += part;
        return true;
    }
    bool on_key(string_view part, std::size_t, error_code&)
    {
        take_name(part);
        return true;
    }
    bool on_string_part(string_view, std::size_t, error_code&) { return true; }
    bool on_string(string_view, std::size_t, error_code&) { return true; }
    bool on_number_part(string_view, error_code&) { return true; }
    bool on_int64(std::int64_t, string_view, error_code&) { return true; }
    bool on_uint64(std::uint64_t, string_view, error_code&) { return true; }
    bool on_double(double, string_view, error_code&) { return true; }
    bool on_bool(bool, error_code&) { return true; }
    bool on_null(error_code&) { return true; }
    bool on_comment_part(string_view, error_code&) { return true; }
    bool on_comment(string_view, error_code&) { return true; }
};

} // namespace

void find_duplicate_names(std::string_view text, failures& failed)
{
    boost::json::parse_options const allowed{.allow_comments = true, .allow_trailing_commas = true};
    boost::json::basic_parser<name_handler> parser(
        allowed, name_handler{.failed = failed, .levels = {}, .name_so_far = {}});
    boost::system::error_code ec;
    parser.write_some(false, text.data(), text.size(), ec);
}

} // namespace mulberryrudder::operator_http
