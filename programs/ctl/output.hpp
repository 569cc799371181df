#ifndef MULBERRYRUDDER_PROGRAMS_CTL_OUTPUT_HPP
#define MULBERRYRUDDER_PROGRAMS_CTL_OUTPUT_HPP

#include "command_line.hpp"
#include "control_group.hpp"

#include <string>
#include <vector>

namespace mulberryrudder::ctl
{

/// One row of a table; all rows of a table have equally many cells.
using table_row = std::vector<std::string>;

/// Prints a table with its heading, columns aligned.
void print_table(table_row const& heading, std::vector<table_row> const& rows);

/// Prints an answer as JSON if the user asked for that; returns whether it did.
bool print_json(invocation const& with, group_answer const& answer);

/// Prints why there is no good answer, on standard error: errors with their places
/// (`file` stands for the note), the winner of a conflict, or that nobody answered.
void print_problem(group_answer const& answer, std::string const& file);

/// Returns a JSON value as a cell of a table.
std::string cell_of(boost::json::value const& from);

/// Reports a wrong use of the command; returns the exit code.
int refuse_use(std::string const& text);

} // namespace mulberryrudder::ctl

#endif
