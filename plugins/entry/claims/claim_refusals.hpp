#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_CLAIMS_CLAIM_REFUSALS_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_CLAIMS_CLAIM_REFUSALS_HPP

#include <mulberryrudder/entry/refusal.hpp>

namespace mulberryrudder::entry
{

extern refusal_kind const idempotency_key_invalid;
extern refusal_kind const idempotency_key_expired;
extern refusal_kind const idempotency_key_ahead;
extern refusal_kind const claim_without_lease;
extern refusal_kind const claim_in_progress;
extern refusal_kind const claim_may_have_run;
extern refusal_kind const claim_already_ran;
extern refusal_kind const claim_other_content;
extern refusal_kind const claim_unsettled;
extern refusal_kind const claim_unavailable;

} // namespace mulberryrudder::entry

#endif
