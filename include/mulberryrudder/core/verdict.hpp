#ifndef MULBERRYRUDDER_CORE_VERDICT_HPP
#define MULBERRYRUDDER_CORE_VERDICT_HPP

#include <string_view>

namespace mulberryrudder
{

/// Says whether a request may have run on a target.
///
/// `not_run` may be claimed only while no byte of the request can have reached a
/// target: a caller that reads it may send the request again without risk.
enum class verdict
{
    not_run,
    may_have_run,
    ran
};

/// Returns the verdict's name as it stands in answers and events.
constexpr std::string_view to_string(verdict run)
{
    switch (run)
    {
    case verdict::not_run:
        return "not_run";
    case verdict::may_have_run:
        return "may_have_run";
    case verdict::ran:
        return "ran";
    }
    return "may_have_run";
}

/// Returns the more cautious of two verdicts about one request.
constexpr verdict worse(verdict a, verdict b)
{
    return a < b ? b : a;
}

} // namespace mulberryrudder

#endif
