#ifndef MULBERRYRUDDER_KERNEL_PROGRAM_HPP
#define MULBERRYRUDDER_KERNEL_PROGRAM_HPP

#include <string_view>

namespace mulberryrudder::kernel
{

/// What a program tells its user of itself.
struct program_options
{
    std::string_view name;
    std::string_view summary; ///< One line for --help.
};

/// Exit codes of all programs.
inline constexpr int exit_ok = 0;
inline constexpr int exit_failed = 1;
inline constexpr int exit_bad_input = 2;

/// Runs a process of linked plug-ins: reads the command line and the settings,
/// starts each registered duty on a thread of its own, and waits for SIGTERM or
/// SIGINT. The first signal asks for a planned stop, a second ends at once.
///
/// Returns the exit code: 0 after an orderly stop, 1 if a duty failed, 2 if the
/// command line or the settings were refused (then no duty was started).
int run_program(program_options const& what, int argc, char** argv);

} // namespace mulberryrudder::kernel

#endif
