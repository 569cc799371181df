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

void print_result(boost::json::object const& body)
{
    std::cout << text_in(body, "result");
    if (body.if_contains("generation") != nullptr)
        std::cout << ", generation " << number_in(body, "generation");
    std::cout << "\n";
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
        print_result(answer.body);
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

std::string yes_or_no(boost::json::object const& from, std::string_view name)
{
    auto const* const it = from.if_contains(name);
    return it != nullptr && it->is_bool() && it->get_bool() ? "yes" : "no";
}

int list_members(invocation const& with)
{
    auto const answer = group_of(with).read({.path = "/v1/members"});
    if (print_json(with, answer))
        return answer.exit_code;
    if (answer.exit_code != exit_ok)
    {
        print_problem(answer, "members");
        return answer.exit_code;
    }
    std::vector<table_row> rows;
    auto const* const all = answer.body.if_contains("members");
    if (all != nullptr && all->is_array())
        for (auto const& it : all->get_array())
            if (it.is_object())
                rows.push_back({std::to_string(number_in(it.get_object(), "id")),
                                yes_or_no(it.get_object(), "votes"),
                                yes_or_no(it.get_object(), "reachable"),
                                std::to_string(number_in(it.get_object(), "synced"))});
    print_table({"INSTANCE", "VOTES", "REACHABLE", "SYNCED"}, rows);
    std::cout << "settled: " << yes_or_no(answer.body, "settled") << "\n";
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
    auto const& given = with.arguments;
    if (given[0] == "list" && given.size() == 1)
        return list_members(with);
    bool const whole = given.size() == 4 && given[0] == "replace";
    auto const leaving = whole ? instance_number(given[1]) : std::nullopt;
    auto const joining = whole ? instance_number(given[2]) : std::nullopt;
    endpoint peer;
    if (!leaving || !joining || !parse_endpoint(given[3], peer))
        return refuse_use("members takes list, or replace, the numbers of the old and the new "
                          "instance, and the new one's peer address");
    return send_order(with, "/v1/members/replace",
                      {{"leaving", *leaving}, {"joining", *joining}, {"peer", to_string(peer)}});
}

} // namespace mulberryrudder::ctl
