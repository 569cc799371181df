#include "commands.hpp"
#include "exit_codes.hpp"
#include "log_explanation.hpp"
#include "output.hpp"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace mulberryrudder::ctl
{

namespace
{

/// How all control instances stand: one object each, with its address.
struct fleet_status
{
    boost::json::array instances;
    bool led = false; ///< One of them may act.
};

boost::json::object status_of(endpoint const& where, instant deadline)
{
    boost::json::object out{{"address", to_string(where)}, {"result", "no answer"}};
    auto const reply = ask(where, {.path = "/v1/status"}, deadline);
    if (!reply)
        return out;
    boost::system::error_code ec;
    auto const body = boost::json::parse(reply->body, ec);
    if (ec || !body.is_object())
        return out;
    out = body.get_object();
    out["address"] = to_string(where);
    return out;
}

bool is_leader(boost::json::object const& it)
{
    auto const* const may_act = it.if_contains("may_act");
    return may_act != nullptr && may_act->is_bool() && may_act->get_bool();
}

fleet_status status_of_all(invocation const& with)
{
    constexpr milliseconds most_for_one{2000};
    fleet_status out;
    for (auto const& where : with.control)
    {
        out.instances.push_back(status_of(where, monotonic_now() + most_for_one));
        out.led = out.led || is_leader(out.instances.back().get_object());
    }
    return out;
}

std::string last_note_of(boost::json::object const& it)
{
    auto const* const last = it.if_contains("last_note");
    if (last == nullptr || !last->is_object())
        return "-";
    return std::to_string(number_in(last->get_object(), "number"));
}

table_row row_of(boost::json::object const& it)
{
    if (text_in(it, "result") != "ok")
        return {text_in(it, "address"), "-", "no answer", "-", "-", "-", "-"};
    return {text_in(it, "address"),
            std::to_string(number_in(it, "instance")),
            is_leader(it) ? "leader" : "follower",
            std::to_string(number_in(it, "term")),
            std::to_string(number_in(it, "applied")),
            std::to_string(number_in(it, "generation")),
            last_note_of(it)};
}

void print_status(invocation const& with, fleet_status const& status)
{
    if (with.json)
    {
        std::cout << boost::json::serialize(
                         boost::json::object{{"led", status.led}, {"control", status.instances}})
                  << std::endl;
        return;
    }
    std::vector<table_row> rows;
    for (auto const& it : status.instances)
        rows.push_back(row_of(it.get_object()));
    print_table({"ADDRESS", "INSTANCE", "ROLE", "TERM", "APPLIED", "GENERATION", "LAST NOTE"},
                rows);
    std::cout << std::flush;
}

int explain_move(invocation const& with)
{
    auto const answer = group_of(with).read({.path = "/v1/moves/" + with.arguments[1]});
    if (print_json(with, answer))
        return answer.exit_code;
    if (answer.exit_code != exit_ok)
    {
        print_problem(answer, "move");
        return answer.exit_code;
    }
    std::vector<table_row> rows;
    for (auto const& it : answer.body)
        if (!it.value().is_array())
            rows.push_back({std::string(it.key()), cell_of(it.value())});
    print_table({"WHAT", "VALUE"}, rows);
    for (auto const* const list : {"steps", "evidence"})
        if (auto const* const all = answer.body.if_contains(list);
            all != nullptr && all->is_array())
            for (auto const& it : all->get_array())
                std::cout << list << ": " << cell_of(it) << "\n";
    return exit_ok;
}

int explain_from(std::istream& in, std::string const& request)
{
    log_explanation out(request);
    for (std::string line; std::getline(in, line);)
        out.take(line);
    auto const lines = out.lines();
    if (lines.empty())
    {
        std::cerr << "mulberryctl: no line tells of request " << request << "\n";
        return exit_failed;
    }
    std::vector<table_row> rows;
    rows.reserve(lines.size());
    for (auto const& it : lines)
        rows.push_back(
            {it.time, it.instance, it.belief ? "believed" : "decided", it.name, it.text});
    print_table({"TIME", "INSTANCE", "KIND", "EVENT", "FIELDS"}, rows);
    return exit_ok;
}

int explain_from_logs(invocation const& with)
{
    if (with.logs == "-")
        return explain_from(std::cin, with.arguments[0]);
    std::ifstream in(with.logs);
    if (!in)
        return refuse_use("--logs takes a readable file, not " + with.logs);
    return explain_from(in, with.arguments[0]);
}

int explain_request(invocation const& with)
{
    if (!with.logs.empty())
        return explain_from_logs(with);
    if (!with.entry)
        return refuse_use("explain REQUEST-ID needs --entry ADDRESS or --logs FILE");
    auto const reply = ask(*with.entry, {.path = "/v1/explain/" + with.arguments[0]},
                           monotonic_now() + with.timeout);
    if (!reply)
    {
        print_problem({.exit_code = exit_unknown, .body = {}}, "");
        return exit_unknown;
    }
    std::cout << reply->body << (reply->body.ends_with('\n') ? "" : "\n");
    return exit_code_of(reply->status);
}

bool is_path_segment(std::string const& text)
{
    return text.find_first_of("/?# \t\r\n%") == std::string::npos;
}

} // namespace

int show_status(invocation const& with)
{
    auto const status = status_of_all(with);
    print_status(with, status);
    return status.led ? exit_ok : exit_unknown;
}

int watch_status(invocation const& with)
{
    std::string shown;
    for (std::uint64_t n = 0; !with.count || n != *with.count; ++n)
    {
        if (n != 0)
            std::this_thread::sleep_for(with.every);
        auto const status = status_of_all(with);
        auto const text = boost::json::serialize(status.instances);
        if (text != shown)
            print_status(with, status);
        shown = text;
    }
    return exit_ok;
}

int show_counters(invocation const& with)
{
    auto const where = with.entry ? *with.entry : with.control.front();
    auto const reply = ask(where, {.path = "/v1/counters"}, monotonic_now() + with.timeout);
    if (!reply)
    {
        print_problem({.exit_code = exit_unknown, .body = {}}, "");
        return exit_unknown;
    }
    std::vector<table_row> rows;
    boost::json::object object;
    std::istringstream in(reply->body);
    for (std::string name, value; in >> name >> value;)
    {
        rows.push_back({name, value});
        object[name] = std::strtoull(value.c_str(), nullptr, 10);
    }
    if (with.json)
        std::cout << boost::json::serialize(object) << "\n";
    else
        print_table({"COUNTER", "VALUE"}, rows);
    return exit_code_of(reply->status);
}

int explain(invocation const& with)
{
    for (auto const& it : with.arguments)
        if (!is_path_segment(it))
            return refuse_use("explain takes a request's id, or `move` and a route");
    if (with.arguments.size() == 2 && with.arguments[0] == "move")
        return explain_move(with);
    if (with.arguments.size() == 1)
        return explain_request(with);
    return refuse_use("explain takes a request's id, or `move` and a route");
}

} // namespace mulberryrudder::ctl
