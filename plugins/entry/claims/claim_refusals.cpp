#include "claim_refusals.hpp"

namespace mulberryrudder::entry
{

refusal_kind const idempotency_key_invalid(
    {.name = "idempotency_key_invalid",
     .counter_name = "refused.idempotency_key_invalid",
     .status = 400,
     .meaning = "The Idempotency-Key is not a UUID of version 7, which tells its age."});
refusal_kind const idempotency_key_expired(
    {.name = "idempotency_key_expired",
     .counter_name = "refused.idempotency_key_expired",
     .status = 409,
     .meaning = "The Idempotency-Key is older than the window; it may have been used."});
refusal_kind const idempotency_key_ahead(
    {.name = "idempotency_key_ahead",
     .counter_name = "refused.idempotency_key_ahead",
     .status = 400,
     .meaning = "The Idempotency-Key's time lies ahead; the caller's clock is wrong."});
refusal_kind const claim_without_lease(
    {.name = "claim_without_lease",
     .counter_name = "refused.claim_without_lease",
     .status = 503,
     .meaning = "The instance is cut off and cannot claim the Idempotency-Key."});
refusal_kind const
    claim_in_progress({.name = "claim_in_progress",
                       .counter_name = "refused.claim_in_progress",
                       .status = 409,
                       .meaning = "A request with the same Idempotency-Key is in progress."});
refusal_kind const claim_may_have_run(
    {.name = "claim_may_have_run",
     .counter_name = "refused.claim_may_have_run",
     .status = 409,
     .meaning = "A request with the same Idempotency-Key may have run; its end is unknown."});
refusal_kind const claim_already_ran(
    {.name = "claim_already_ran",
     .counter_name = "refused.claim_already_ran",
     .status = 409,
     .meaning = "A request with the same Idempotency-Key ran; its reply is not kept."});
refusal_kind const claim_other_content(
    {.name = "claim_other_content",
     .counter_name = "refused.claim_other_content",
     .status = 422,
     .meaning = "The Idempotency-Key was used for a request of other content."});
refusal_kind const claim_unsettled(
    {.name = "claim_unsettled",
     .counter_name = "refused.claim_unsettled",
     .status = 503,
     .meaning = "Keepers changed lately and cannot tell whether the Idempotency-Key was used."});
refusal_kind const
    claim_unavailable({.name = "claim_unavailable",
                       .counter_name = "refused.claim_unavailable",
                       .status = 503,
                       .meaning = "Too few keepers of the Idempotency-Key answered in time."});

} // namespace mulberryrudder::entry
