#ifndef MULBERRYRUDDER_TESTS_LEASE_FLEET_FAKE_STAGES_HPP
#define MULBERRYRUDDER_TESTS_LEASE_FLEET_FAKE_STAGES_HPP

#include <mulberryrudder/entry/stage.hpp>

#include <string>
#include <vector>

namespace mulberryrudder::test
{

/// Stands in for the key stage: the idempotency key names the customer.
class fake_keys final : public entry::stage
{
public:
    explicit fake_keys(entry::stage_parts const&) {}
    entry::step admit(entry::request& what, entry::context& with) override;
};

/// Stands behind the rate stage: notes what was admitted and answers it, or holds
/// it back when told to; reports a load that the test sets.
class admission_probe final : public entry::stage
{
public:
    struct admission
    {
        request_id id;
        customer_id customer;
        instant when; ///< On the instance's own clock.
    };

    explicit admission_probe(entry::stage_parts const& parts);
    entry::step admit(entry::request& what, entry::context& with) override;
    void leased(messages::lease_grant const& it, entry::context& with) override;
    void probed(entry::probe_ended const& it, entry::context& with) override;
    void report(messages::renew_request& out, entry::context& with) override;

    std::vector<admission> admitted;
    std::vector<messages::domain_load> load;
    messages::lease_grant last_lease;
    bool hold = false;   ///< Keeps admitted requests waiting instead of answering.
    request_id released; ///< The next probed() sends this request on to a target.
};

} // namespace mulberryrudder::test

#endif
