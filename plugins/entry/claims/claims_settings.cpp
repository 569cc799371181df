#include "claims_settings.hpp"

namespace mulberryrudder::entry
{

namespace
{

std::optional<std::string> check_claims(claims_settings const& it)
{
    if (it.settling() >= it.window)
        return "\"window\" to be longer than \"clock_skew\", \"view_bound\" and \"timeout\" "
               "together";
    return std::nullopt;
}

} // namespace

kernel::section<claims_settings> const claims_section{
    "claims",
    {
        kernel::field("window", &claims_settings::window, {20'000, 86'400'000},
                      "Milliseconds for which an Idempotency-Key can be used, by its own time."),
        kernel::field("clock_skew", &claims_settings::clock_skew, {0, 60'000},
                      "Most milliseconds between the clocks of two instances, or of a caller."),
        kernel::field("view_bound", &claims_settings::view_bound, {100, 60'000},
                      "Milliseconds after which a membership is in force everywhere; more than "
                      "a lease lasts."),
        kernel::field("member_hold", &claims_settings::member_hold, {0, 3'600'000},
                      "Milliseconds for which an instance stays a keeper that is listed no more; "
                      "a new leader lists the instances one by one."),
        kernel::field("timeout", &claims_settings::timeout, {10, 10'000},
                      "Milliseconds that a claim may take."),
        kernel::field("end_retry", &claims_settings::end_retry, {100, 600'000},
                      "Milliseconds for which a claim's end is repeated to a silent keeper."),
        kernel::field("reply_limit", &claims_settings::reply_limit, {0, 1'048'576},
                      "Largest body of a reply that is kept for resends, in bytes."),
        kernel::field("store_limit", &claims_settings::store_limit, {0, 1'073'741'824},
                      "Bytes of reply bodies that one instance keeps."),
        kernel::field("record_limit", &claims_settings::record_limit, {1, 100'000'000},
                      "Claims that one instance keeps; beyond it grants none."),
    },
    check_claims};

} // namespace mulberryrudder::entry
