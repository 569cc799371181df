#ifndef MULBERRYRUDDER_CORE_HEADER_NAMES_HPP
#define MULBERRYRUDDER_CORE_HEADER_NAMES_HPP

#include <string_view>

namespace mulberryrudder::header_names
{

/// The customer, as told to targets.
inline constexpr std::string_view customer = "Mulberry-Customer";
/// The request's id, as told to targets and callers; targets may echo it.
inline constexpr std::string_view request_id = "Mulberry-Request-Id";
/// Milliseconds that are left, from callers and to targets.
inline constexpr std::string_view deadline = "Mulberry-Deadline-Ms";
/// `true` in a target's 503: it shed the request, which did not run.
inline constexpr std::string_view not_run = "Mulberry-Not-Run";
/// A target's load as `busy/total` slots.
inline constexpr std::string_view load = "Mulberry-Load";
/// The verdict of a refusal, as told to callers.
inline constexpr std::string_view verdict = "Mulberry-Verdict";
/// The key under which a non-idempotent request runs at most once.
inline constexpr std::string_view idempotency_key = "Idempotency-Key";

} // namespace mulberryrudder::header_names

#endif
