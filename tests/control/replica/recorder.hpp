#ifndef MULBERRYRUDDER_TESTS_CONTROL_REPLICA_RECORDER_HPP
#define MULBERRYRUDDER_TESTS_CONTROL_REPLICA_RECORDER_HPP

#include <mulberryrudder/control/component.hpp>
#include <mulberryrudder/core/units.hpp>

#include <cstdint>
#include <map>
#include <vector>

namespace mulberryrudder::control::testing
{

/// A command that a test proposes.
struct test_command
{
    std::uint64_t value = 0;
    byte_count size{8}; ///< In memory and on the network.
};

/// A recorder's part of a snapshot.
struct recorder_state
{
    log_index last;
    std::uint64_t digest = 0;
    std::vector<std::uint64_t> values;
    byte_count size; ///< Of the largest command so far.
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

/// A part of a snapshot that holds nothing.
struct padding_state
{
    byte_count size;
};

/// Adds a part of a given size to each snapshot.
class padding final : public component
{
public:
    explicit padding(component_parts const& parts) { parts.services.provide<padding>(*this); }

    any_message save() const override
    {
        return size == byte_count() ? any_message() : any_message::of(padding_state{size});
    }

    byte_count size; ///< No part if it is 0.
};

} // namespace mulberryrudder::control::testing

#endif
