#include "commands.hpp"
#include "exit_codes.hpp"
#include "output.hpp"

#include <boost/json/array.hpp>

#include <fstream>
#include <iostream>
#include <iterator>

namespace mulberryrudder::ctl
{

namespace
{

/// Reads a file or, for `-`, standard input; nothing if it cannot be read.
std::optional<std::string> read_text(std::string const& file)
{
    if (file == "-")
        return std::string(std::istreambuf_iterator<char>(std::cin), {});
    std::ifstream in(file, std::ios::binary);
    if (!in)
        return std::nullopt;
    return std::string(std::istreambuf_iterator<char>(in), {});
}

std::optional<std::string> read_note(invocation const& with)
{
    auto out = read_text(with.arguments[0]);
    if (!out)
        std::cerr << "mulberryctl: cannot read " << with.arguments[0] << "\n";
    return out;
}

std::vector<table_row> difference_rows(boost::json::object const& body)
{
    std::vector<table_row> out;
    auto const* const all = body.if_contains("differences");
    if (all == nullptr || !all->is_array())
        return out;
    for (auto const& it : all->get_array())
        if (it.is_object())
            out.push_back({text_in(it.get_object(), "place"), text_in(it.get_object(), "before"),
                           text_in(it.get_object(), "after")});
    return out;
}

/// Asks what a note would do; shows the differences if there are any.
int preview(invocation const& with, bool show)
{
    auto const text = read_note(with);
    if (!text)
        return exit_bad_input;
    auto group = group_of(with);
    auto const answer = group.read({.method = "POST", .path = "/v1/notes/check", .body = *text});
    if (print_json(with, answer))
        return answer.exit_code;
    if (answer.exit_code != exit_ok)
        print_problem(answer, with.arguments[0]);
    else if (show)
        print_table({"PLACE", "BEFORE", "AFTER"}, difference_rows(answer.body));
    else
        std::cout << "note " << number_in(answer.body, "number")
                  << " fits; it would make generation " << number_in(answer.body, "generation")
                  << "\n";
    return answer.exit_code;
}

} // namespace

int send_note(invocation const& with, std::string const& text, std::string const& file)
{
    auto group = group_of(with);
    auto const answer = group.change({.method = "POST", .path = "/v1/notes", .body = text});
    if (print_json(with, answer))
        return answer.exit_code;
    if (answer.exit_code == exit_ok)
        std::cout << "note " << number_in(answer.body, "number") << " accepted as generation "
                  << number_in(answer.body, "generation") << "\n";
    else
        print_problem(answer, file);
    return answer.exit_code;
}

int apply_note(invocation const& with)
{
    auto const text = read_note(with);
    return text ? send_note(with, *text, with.arguments[0]) : exit_bad_input;
}

int check_note(invocation const& with)
{
    return preview(with, false);
}

int show_difference(invocation const& with)
{
    return preview(with, true);
}

} // namespace mulberryrudder::ctl
