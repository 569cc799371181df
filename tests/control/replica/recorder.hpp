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

/// Stands for the other components: it folds each applied entry into a digest.
class recorder final : public component
{
public:
    explicit recorder(component_parts const& parts) { parts.services.provide<recorder>(*this); }

    void applied(log_entry const& it, context& with) override;
    void leading(context&) override { leads = true; }
    void following(context&) override { leads = false; }
    any_message save() const override { return any_message::of(state); }
    void load(std::vector<any_message> const& parts, context& with) override;

    recorder_state state;
    bool leads = false;
    /// Digest after each index that this recorder applied or loaded since its start.
    std::map<log_index, std::uint64_t> digests;
};

} // namespace mulberryrudder::control::testing

#endif
