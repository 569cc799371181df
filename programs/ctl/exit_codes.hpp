#ifndef MULBERRYRUDDER_PROGRAMS_CTL_EXIT_CODES_HPP
#define MULBERRYRUDDER_PROGRAMS_CTL_EXIT_CODES_HPP

namespace mulberryrudder::ctl
{

/// Exit codes of mulberryctl; they are stated in its help.
inline constexpr int exit_ok = 0;
inline constexpr int exit_failed = 1;
inline constexpr int exit_bad_input = 2;
inline constexpr int exit_conflict = 3;
inline constexpr int exit_unknown = 4; ///< No answer, or nobody could tell the outcome.

} // namespace mulberryrudder::ctl

#endif
