#ifndef MULBERRYRUDDER_CONTROL_LOG_TYPES_HPP
#define MULBERRYRUDDER_CONTROL_LOG_TYPES_HPP

#include <mulberryrudder/control/membership.hpp>
#include <mulberryrudder/core/any_message.hpp>
#include <mulberryrudder/core/ids.hpp>

#include <cstdint>
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

/// Identifies one start of a replica; drawn at random.
using start_nonce = strong_id<struct start_nonce_tag, std::uint64_t>;

/// The newest start that is known of an instance's replica on one disk.
struct start_record
{
    instance_id instance;
    disk_id disk;
    start_nonce nonce;

    friend bool operator==(start_record const&, start_record const&) = default;
};

/// What a replica must not forget between two starts, besides its log.
struct hard_state
{
    term_id term;
    std::optional<instance_id> voted_for;
    disk_id disk;                        ///< Of this disk.
    std::vector<start_nonce> own_starts; ///< The newest starts on this disk, oldest first.
    std::vector<start_record> starts;    ///< The newest start known of each other instance.

    friend bool operator==(hard_state const&, hard_state const&) = default;
};

/// The state after all entries up to `index`, one part from each component.
struct snapshot
{
    term_id term;
    log_index index;
    group_membership members; ///< The newest committed by `index`.
    std::vector<any_message> parts;
};

} // namespace mulberryrudder::control

#endif
