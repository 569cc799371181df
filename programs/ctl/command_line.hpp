#ifndef MULBERRYRUDDER_PROGRAMS_CTL_COMMAND_LINE_HPP
#define MULBERRYRUDDER_PROGRAMS_CTL_COMMAND_LINE_HPP

#include <mulberryrudder/core/endpoint.hpp>
#include <mulberryrudder/core/time.hpp>

#include <optional>
#include <string>
#include <vector>

namespace mulberryrudder::ctl
{

/// What the user asked for.
struct invocation
{
    std::string command;
    std::vector<std::string> arguments; ///< Behind the command.
    std::vector<endpoint> control;
    std::optional<endpoint> entry;
    std::string file;                    ///< `-` or empty for standard input.
    std::string logs;                    ///< Logs to explain from; `-` for standard input.
    std::optional<std::uint64_t> number; ///< For a note that mulberryctl writes itself.
    seconds timeout{20};
    seconds every{2};
    std::optional<std::uint64_t> count;
    bool json = false;
    std::optional<int> exit_code; ///< Set if nothing is left to do.
};

/// Reads the command line; reports what is wrong on standard error.
invocation read_command_line(int argc, char** argv);

} // namespace mulberryrudder::ctl

#endif
