#include "output.hpp"

#include "exit_codes.hpp"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <iomanip>
#include <iostream>

namespace mulberryrudder::ctl
{

namespace
{

void print_row(table_row const& row, std::vector<std::size_t> const& widths)
{
    for (std::size_t n = 0; n != row.size(); ++n)
    {
        bool const last = n + 1 == row.size();
        std::cout << std::left << std::setw(last ? 0 : static_cast<int>(widths[n])) << row[n]
                  << (last ? "\n" : "  ");
    }
}

void print_errors(boost::json::object const& body, std::string const& file)
{
    auto const* const errors = body.if_contains("errors");
    if (errors == nullptr || !errors->is_array())
        return;
    for (auto const& it : errors->get_array())
    {
        if (!it.is_object())
            continue;
        auto const place = text_in(it.get_object(), "place");
        bool const in_text = place.starts_with("note:");
        std::cerr << file << (in_text ? "" : "#") << (in_text ? place.substr(4) : place);
        std::cerr << ": expected " << text_in(it.get_object(), "expected") << "\n";
    }
}

void print_winner(boost::json::object const& body)
{
    auto const* const winner = body.if_contains("winner");
    if (winner == nullptr || !winner->is_object())
        return;
    auto const& it = winner->get_object();
    std::cerr << "what won: note " << number_in(it, "number") << ", generation "
              << number_in(it, "generation") << ", content " << text_in(it, "content");
    if (auto const comment = text_in(it, "comment"); !comment.empty())
        std::cerr << ", \"" << comment << "\"";
    std::cerr << "\n";
}

} // namespace

void print_table(table_row const& heading, std::vector<table_row> const& rows)
{
    std::vector<std::size_t> widths;
    for (auto const& cell : heading)
        widths.push_back(cell.size());
    for (auto const& row : rows)
        for (std::size_t n = 0; n != row.size(); ++n)
            widths[n] = std::max(widths[n], row[n].size());
    print_row(heading, widths);
    for (auto const& row : rows)
        print_row(row, widths);
}

bool print_json(invocation const& with, group_answer const& answer)
{
    if (!with.json)
        return false;
    std::cout << boost::json::serialize(answer.body) << "\n";
    return true;
}

void print_problem(group_answer const& answer, std::string const& file)
{
    if (answer.body.empty())
    {
        std::cerr << "mulberryctl: no answer within the time; the request may have been carried "
                     "out, and sending the same one again is safe\n";
        return;
    }
    std::cerr << "mulberryctl: " << text_in(answer.body, "result");
    if (auto const advice = text_in(answer.body, "advice"); !advice.empty())
        std::cerr << ": " << advice;
    std::cerr << "\n";
    print_errors(answer.body, file);
    print_winner(answer.body);
}

std::string cell_of(boost::json::value const& from)
{
    return from.is_string() ? std::string(from.get_string()) : boost::json::serialize(from);
}

int refuse_use(std::string const& text)
{
    std::cerr << "mulberryctl: " << text << "; see --help\n";
    return exit_bad_input;
}

} // namespace mulberryrudder::ctl
