#ifndef MULBERRYRUDDER_PROGRAMS_CTL_COMMANDS_HPP
#define MULBERRYRUDDER_PROGRAMS_CTL_COMMANDS_HPP

#include "command_line.hpp"
#include "control_group.hpp"

#include <string>
#include <string_view>

namespace mulberryrudder::ctl
{

/// One command of mulberryctl; `run` returns the exit code.
struct command
{
    std::string_view name;
    std::string_view arguments;
    std::string_view summary;
    std::size_t least_arguments;
    std::size_t most_arguments;
    int (*run)(invocation const& with);
};

/// Commands about release notes.
int apply_note(invocation const& with);
int check_note(invocation const& with);
int show_difference(invocation const& with);

/// Commands that show the state.
int show_status(invocation const& with);
int watch_status(invocation const& with);
int show_counters(invocation const& with);
int explain(invocation const& with);

/// Commands with an order of their own.
int handle_keys(invocation const& with);
int handle_members(invocation const& with);
int handle_drain(invocation const& with);
int handle_quarantine(invocation const& with);

/// Returns the control instances that the user named, with the user's deadline.
control_group group_of(invocation const& with);

/// Sends a note's text and shows what became of it.
int send_note(invocation const& with, std::string const& text, std::string const& file);

/// Returns the arguments and the exit codes for --help.
std::string help_text();

} // namespace mulberryrudder::ctl

#endif
