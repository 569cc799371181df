#ifndef MULBERRYRUDDER_KERNEL_INTERNAL_COMMAND_LINE_HPP
#define MULBERRYRUDDER_KERNEL_INTERNAL_COMMAND_LINE_HPP

#include <mulberryrudder/kernel/program.hpp>

#include <optional>
#include <string>

namespace mulberryrudder::kernel::internal
{

/// What the command line of a daemon asked for.
struct command_line
{
    std::string settings_file;
    bool check_only = false;
    std::optional<int> exit_code; ///< Set if there is nothing more to do.
};

/// Reads the options (popt) and answers those that only print.
command_line read_command_line(program_options const& what, int argc, char** argv);

} // namespace mulberryrudder::kernel::internal

#endif
