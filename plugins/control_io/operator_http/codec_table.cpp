#include <mulberryrudder/control/core.hpp>
#include <mulberryrudder/control/operator_answers.hpp>
#include <mulberryrudder/control_io/operator_codec.hpp>
#include <mulberryrudder/kernel/catalogue.hpp>

#include <boost/json/array.hpp>

#include <algorithm>

namespace mulberryrudder::operator_http
{

namespace
{

constexpr std::size_t shown_name_most = 24;
constexpr std::size_t shown_name_part = 12;

auto const& requests()
{
    return kernel::catalogue<request_codec>::instance().kinds();
}

/// Shortens the names in a place: a longer one may be a key.
std::string shown_place(std::string const& place)
{
    std::string out;
    std::size_t start = 0;
    while (start <= place.size())
    {
        auto const end = std::min(place.find('/', start), place.size());
        auto const name = place.substr(start, end - start);
        out += name.size() <= shown_name_most ? name : name.substr(0, shown_name_part) + "...";
        if (end != place.size())
            out += "/";
        start = end + 1;
    }
    return out;
}

json_answer encode_unknown(control::outcome_unknown const&)
{
    return {.status = 503,
            .body = {{"result", "unknown"},
                     {"advice", "ask again: sending the same request twice is safe"}}};
}

json_answer encode_not_leading(control::not_leading const& it)
{
    json_answer out{.status = 421, .body = {{"result", "not_leader"}}};
    if (it.leader)
        out.body["leader"] = it.leader->value();
    return out;
}

json_answer encode_not_served(control::unknown_request const&)
{
    return {.status = 501,
            .body = {{"result", "not_served"},
                     {"advice", "this control program has no part that answers it"}}};
}

answer_registrar<control::outcome_unknown, &encode_unknown> const unknown_entered;
answer_registrar<control::not_leading, &encode_not_leading> const not_leading_entered;
answer_registrar<control::unknown_request, &encode_not_served> const not_served_entered;

/// Returns the name behind the codec's path, or nothing if the path does not fit.
std::optional<std::string_view> name_in(std::string_view path, request_codec::options const& what)
{
    if (!what.named)
        return path == what.path ? std::optional(std::string_view()) : std::nullopt;
    if (!path.starts_with(what.path) || path.size() < what.path.size() + 2 ||
        path[what.path.size()] != '/')
        return std::nullopt;
    auto name = path.substr(what.path.size() + 1);
    if (!name.ends_with(what.tail) || name.size() == what.tail.size())
        return std::nullopt;
    name.remove_suffix(what.tail.size());
    return name.find('/') == std::string_view::npos ? std::optional(name) : std::nullopt;
}

} // namespace

request_codec::request_codec(options what) : what_(what)
{
    kernel::catalogue<request_codec>::instance().add(*this);
}

answer_codec::answer_codec(std::type_index type, encoder how) : type_(type), encode_(how)
{
    kernel::catalogue<answer_codec>::instance().add(*this);
}

decoded decode_request(std::string_view method, std::string_view target, request_text const& with)
{
    auto const path = target.substr(0, target.find('?'));
    bool known = false;
    for (auto const* const it : requests())
    {
        auto const name = name_in(path, it->what());
        if (!name)
            continue;
        known = true;
        if (it->what().method == method)
        {
            auto asked = with;
            asked.name = *name;
            asked.query = target.substr(std::min(path.size() + 1, target.size()));
            return it->what().decode(asked);
        }
    }
    if (known)
        return json_answer{.status = 405, .body = {{"result", "method_not_allowed"}}};
    return json_answer{.status = 404, .body = {{"result", "no_such_path"}}};
}

json_answer encode_answer(any_message const& from)
{
    for (auto const* const it : kernel::catalogue<answer_codec>::instance().kinds())
        if (it->type() == from.type())
            return it->encode(from);
    return encode_not_served({});
}

decoded show_counters(request_text const& from)
{
    return text_answer{.content_type = std::string(kernel::counters_text_type),
                       .body = kernel::counters_text(from.counters)};
}

boost::json::array to_json(failures const& failed)
{
    boost::json::array out;
    for (auto const& it : failed)
        out.push_back(
            boost::json::object{{"place", shown_place(it.place)}, {"expected", it.expected}});
    return out;
}

json_answer refuse(failures const& failed)
{
    return {.status = 422, .body = {{"result", "refused"}, {"errors", to_json(failed)}}};
}

} // namespace mulberryrudder::operator_http
