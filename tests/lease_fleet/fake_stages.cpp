#include "fake_stages.hpp"

namespace mulberryrudder::test
{

namespace
{

constexpr int probe_order = entry::stage_order::rate + 50;

entry::stage_registrar<fake_keys> const keys_entered{"fake_keys", entry::stage_order::keys};
entry::stage_registrar<admission_probe> const probe_entered{"probe", probe_order};

} // namespace

entry::step fake_keys::admit(entry::request& what, entry::context&)
{
    if (what.idempotency_key)
        what.customer = customer_id(*what.idempotency_key);
    return entry::proceed{};
}

admission_probe::admission_probe(entry::stage_parts const& parts)
{
    parts.services.provide<admission_probe>(*this);
}

entry::step admission_probe::admit(entry::request& what, entry::context& with)
{
    admitted.push_back({.id = what.id, .customer = what.customer, .when = with.now});
    if (hold)
        return entry::wait{};
    return entry::stop{entry::answered{std::make_shared<reply const>()}};
}

void admission_probe::probed(entry::probe_ended const&, entry::context& with)
{
    if (auto* const what = with.flow.find(released))
        what->chosen = entry::chosen_target{.id = target_id("t")};
    with.flow.resume(released);
}

void admission_probe::leased(messages::lease_grant const& it, entry::context&)
{
    last_lease = it;
}

void admission_probe::report(messages::renew_request& out, entry::context&)
{
    out.load = load;
}

} // namespace mulberryrudder::test
