#include "commands.hpp"
#include "exit_codes.hpp"
#include "output.hpp"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>
#include <iostream>

namespace mulberryrudder::ctl
{

namespace
{

/// Reads a whole instance number; nothing if the text is anything else.
std::optional<std::uint32_t> instance_number(std::string const& text)
{
    std::uint32_t n = 0;
    auto const* const end = text.data() + text.size();
    auto const read = std::from_chars(text.data(), end, n);
    if (read.ec != std::errc() || read.ptr != end || n == 0)
        return std::nullopt;
    return n;
}

int send_order(invocation const& with, std::string path, boost::json::object const& body)
{
    auto const answer = group_of(with).change(
        {.method = "POST", .path = std::move(path), .body = boost::json::serialize(body)});
    if (print_json(with, answer))
        return answer.exit_code;
    if (answer.exit_code != exit_ok)
        print_problem(answer, "order");
    else
        std::cout << text_in(answer.body, "result") << ", generation "
                  << number_in(answer.body, "generation") << "\n";
    return answer.exit_code;
}

/// Prints a list of the configuration, one element a line.
int print_list(invocation const& with, std::string path, std::string const& name,
               std::string const& heading)
{
    auto const answer = group_of(with).read({.path = std::move(path)});
    if (answer.exit_code != exit_ok)
    {
        print_problem(answer, name);
        return answer.exit_code;
    }
    auto const* const all = answer.body.if_contains(name);
    auto const list = all != nullptr && all->is_array() ? all->get_array() : boost::json::array();
    if (with.json)
    {
        std::cout << boost::json::serialize(list) << "\n";
        return exit_ok;
    }
    std::vector<table_row> rows;
    for (auto const& it : list)
        rows.push_back({cell_of(it)});
    print_table({heading}, rows);
    return exit_ok;
}

} // namespace

int handle_drain(invocation const& with)
{
    if (with.arguments[0] == "list" && with.arguments.size() == 1)
        return print_list(with, "/v1/config", "draining", "INSTANCE");
    auto const instance = instance_number(with.arguments[0]);
    auto const wish = with.arguments.size() == 2 ? with.arguments[1] : "";
    if (!instance || (wish != "on" && wish != "off"))
        return refuse_use("drain takes list, or an instance's number and on or off");
    return send_order(with, "/v1/drain", {{"instance", *instance}, {"draining", wish == "on"}});
}

int handle_quarantine(invocation const& with)
{
    if (with.arguments[0] == "list" && with.arguments.size() == 1)
        return print_list(with, "/v1/config", "quarantined", "FINGERPRINT");
    if (with.arguments.size() != 2 || with.arguments[0] != "lift")
        return refuse_use("quarantine takes list, or lift and a fingerprint");
    return send_order(with, "/v1/quarantine",
                      {{"fingerprint", with.arguments[1]}, {"quarantined", false}});
}

int handle_members(invocation const& with)
{
    if (with.arguments[0] == "list" && with.arguments.size() == 1)
        return print_list(with, "/v1/members", "members", "MEMBER");
    auto const old_member =
        with.arguments.size() == 3 ? instance_number(with.arguments[1]) : std::nullopt;
    auto const new_member =
        with.arguments.size() == 3 ? instance_number(with.arguments[2]) : std::nullopt;
    if (with.arguments[0] != "replace" || !old_member || !new_member)
        return refuse_use("members takes list, or replace and the numbers of the old and the new "
                          "instance");
    return send_order(with, "/v1/members/replace", {{"old", *old_member}, {"new", *new_member}});
}

} // namespace mulberryrudder::ctl
