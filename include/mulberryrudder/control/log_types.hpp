#ifndef MULBERRYRUDDER_CONTROL_LOG_TYPES_HPP
#define MULBERRYRUDDER_CONTROL_LOG_TYPES_HPP

#include <mulberryrudder/core/any_message.hpp>
#include <mulberryrudder/core/ids.hpp>

#include <optional>
#include <vector>

namespace mulberryrudder::control
{

/// One entry of the replicated log. The command is any struct with a codec.
struct log_entry
{
    term_id term;
    log_index index;
    any_message command;
};

/// What a replica must not forget between two starts, besides its log.
struct hard_state
{
    term_id term;
    std::optional<instance_id> voted_for;
    /// False until the replica has held the full state; it does not vote before.
    bool voter = false;

    friend bool operator==(hard_state const&, hard_state const&) = default;
};

/// The state after all entries up to `index`, one part from each component.
struct snapshot
{
    term_id term;
    log_index index;
    std::vector<instance_id> voters; ///< The control group's membership.
    std::vector<any_message> parts;
};

} // namespace mulberryrudder::control

#endif
