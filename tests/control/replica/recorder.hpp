#ifndef MULBERRYRUDDER_TESTS_CONTROL_REPLICA_RECORDER_HPP
#define MULBERRYRUDDER_TESTS_CONTROL_REPLICA_RECORDER_HPP

#include <mulberryrudder/control/component.hpp>

#include <cstdint>
#include <map>
#include <vector>

namespace mulberryrudder::control::testing
{

/// A command that a test proposes.
struct test_command
{
    std::uint64_t value = 0;
};

/// A recorder's part of a snapshot.
struct recorder_state
{
    log_index last;
    std::uint64_t digest = 0;
    std::vector<std::uint64_t> values;
};

/// Replaces the other components: computes a digest over all applied entries.
class recorder final : public component
{
public:
    explicit recorder(component_parts const& parts) { parts.services.provide<recorder>(*this); }

    void applied(log_entry const& entry, context& ctx) override;
    void leading(context&) override { leads = true; }
    void following(context&) override { leads = false; }
    any_message save() const override { return any_message::of(state); }
    void load(std::vector<any_message> const& parts, context& ctx) override;

    recorder_state state;
    bool leads = false;
    /// Digests by index, of the entries and snapshots since the start or the last check.
    std::map<log_index, std::uint64_t> digests;
};

} // namespace mulberryrudder::control::testing

#endif
