#include <mulberryrudder/kernel/settings.hpp>

#include <mulberryrudder/kernel/catalogue.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/stream_parser.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>

namespace mulberryrudder::kernel
{

namespace
{

std::string range_text(limits within)
{
    return std::to_string(within.least) + " to " + std::to_string(within.most);
}

std::string line_and_column(std::string_view text, std::size_t offset)
{
    auto const before = text.substr(0, offset);
    auto const line = 1 + std::count(before.begin(), before.end(), '\n');
    auto const start = before.rfind('\n');
    auto const column = start == std::string_view::npos ? offset + 1 : offset - start;
    return std::to_string(line) + ":" + std::to_string(column);
}

void refuse_unknown_sections(boost::json::object const& given, reading const& at)
{
    auto const& known = catalogue<section_base>::instance().kinds();
    for (auto const& it : given)
    {
        auto const same = [&](auto const* section) { return section->name() == it.key(); };
        if (std::none_of(known.begin(), known.end(), same))
            at.at(it.key()).refuse("no such section: this program does not know it");
    }
}

} // namespace

section_base::section_base(std::string_view name) : name_(name)
{
    catalogue<section_base>::instance().add(*this);
}

void reading::refuse(std::string expected) const
{
    failed.push_back({.place = pointer, .expected = std::move(expected)});
}

void read_value(boost::json::value const& from, reading const& at, limits, bool& out)
{
    if (!from.is_bool())
        return at.refuse("true or false");
    out = from.get_bool();
}

void read_value(boost::json::value const& from, reading const& at, limits within, std::int64_t& out)
{
    auto const* const n = from.if_int64();
    if (n == nullptr || *n < within.least || *n > within.most)
        return at.refuse("a whole number, " + range_text(within));
    out = *n;
}

void read_value(boost::json::value const& from, reading const& at, limits within,
                std::uint32_t& out)
{
    std::int64_t n = out;
    within.least = std::max<std::int64_t>(within.least, 0);
    within.most = std::min<std::int64_t>(within.most, UINT32_MAX);
    read_value(from, at, within, n);
    out = static_cast<std::uint32_t>(n);
}

void read_value(boost::json::value const& from, reading const& at, limits, std::string& out)
{
    if (!from.is_string() || from.get_string().empty())
        return at.refuse("text that is not empty");
    out = std::string(from.get_string());
}

void read_value(boost::json::value const& from, reading const& at, limits within, milliseconds& out)
{
    std::int64_t n = out.count();
    auto const* const given = from.if_int64();
    if (given == nullptr || *given < within.least || *given > within.most)
        return at.refuse("a whole number of milliseconds, " + range_text(within));
    n = *given;
    out = milliseconds(n);
}

void read_value(boost::json::value const& from, reading const& at, limits, endpoint& out)
{
    endpoint read;
    if (!from.is_string() || !parse_endpoint(std::string(from.get_string()), read))
        return at.refuse("an IP number and a port, such as \"127.0.0.1:7000\"");
    out = read;
}

settings settings::defaults()
{
    settings out;
    failures ignored;
    for (auto const* const it : catalogue<section_base>::instance().kinds())
        out.sections_[it] = it->read(boost::json::object(), {"", ignored});
    return out;
}

result<std::string> read_file(std::string const& file)
{
    std::ifstream in(file, std::ios::binary);
    if (!in)
        return boost::leaf::new_error(failures{{.place = file, .expected = "a readable file"}});
    return std::string(std::istreambuf_iterator<char>(in), {});
}

result<boost::json::value> parse_json(std::string_view text, std::string const& file)
{
    boost::json::parse_options const allowed{.allow_comments = true, .allow_trailing_commas = true};
    boost::json::stream_parser parser({}, allowed);
    boost::system::error_code ec;
    auto const n = parser.write_some(text.data(), text.size(), ec);
    bool const trailing = !ec && n != text.size();
    if (!ec && !trailing)
        parser.finish(ec);
    if (!ec && !trailing)
        return parser.release();
    auto const place = file + ":" + line_and_column(text, n);
    auto const expected = "JSON with comments: " + (ec ? ec.message() : "text after the value");
    return boost::leaf::new_error(failures{{.place = place, .expected = expected}});
}

result<settings> parse_settings(std::string_view text, std::string const& file)
{
    BOOST_LEAF_AUTO(root, parse_json(text, file));
    failures failed;
    reading const at{file + "#", failed};
    settings out;
    if (!root.is_object())
        at.refuse("an object of sections");
    else
    {
        refuse_unknown_sections(root.get_object(), at);
        boost::json::value const absent = boost::json::object();
        for (auto const* const it : catalogue<section_base>::instance().kinds())
        {
            auto const* const given = root.get_object().if_contains(it->name());
            out.sections_[it] = it->read(given != nullptr ? *given : absent, at.at(it->name()));
        }
    }
    if (!failed.empty())
        return boost::leaf::new_error(std::move(failed));
    return out;
}

} // namespace mulberryrudder::kernel
