#include "claims_settings.hpp"

namespace mulberryrudder::entry
{

namespace
{

std::optional<std::string> check_claims_settings(claims_settings const& config)
{
    if (config.settling_time() >= config.window)
        return "\"window\" to be longer than \"clock_skew\", \"view_bound\" and \"timeout\" "
               "together";
    return std::nullopt;
}

} // namespace

kernel::section<claims_settings> const claims_section{
    "claims",
    {
        kernel::field(
            "window", &claims_settings::window, {20'000, 86'400'000},
            "Milliseconds after its creation time during which an Idempotency-Key is accepted."),
        kernel::field(
            "clock_skew", &claims_settings::clock_skew, {0, 60'000},
            "Maximum difference in milliseconds between the clocks of two instances, or of an "
            "instance and a caller."),
        kernel::field(
            "view_bound", &claims_settings::view_bound, {100, 60'000},
            "Milliseconds after which a membership is in force on every instance; must be "
            "longer than a lease."),
        kernel::field(
            "member_hold", &claims_settings::member_hold, {0, 3'600'000},
            "Milliseconds for which an instance stays a keeper after the membership stops "
            "listing it; a new leader lists instances only as they renew."),
        kernel::field("timeout", &claims_settings::timeout, {10, 10'000},
                      "Milliseconds that a claimant waits for the keepers' answers."),
        kernel::field("end_retry", &claims_settings::end_retry, {100, 600'000},
                      "Milliseconds for which a claim's end is resent to a keeper that does not "
                      "acknowledge it."),
        kernel::field("reply_limit", &claims_settings::reply_limit, {0, 1'048'576},
                      "Maximum size in bytes of a reply body that is stored for resends."),
        kernel::field("store_limit", &claims_settings::store_limit, {0, 1'073'741'824},
                      "Maximum total size in bytes of the reply bodies that one instance stores."),
        kernel::field(
            "record_limit", &claims_settings::record_limit, {1, 100'000'000},
            "Maximum number of claims that one instance stores; at the limit it grants no "
            "new ones."),
    },
    check_claims_settings};

} // namespace mulberryrudder::entry
