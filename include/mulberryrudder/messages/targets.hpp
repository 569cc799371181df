#ifndef MULBERRYRUDDER_MESSAGES_TARGETS_HPP
#define MULBERRYRUDDER_MESSAGES_TARGETS_HPP

#include <mulberryrudder/entry/inputs.hpp>

#include <vector>

namespace mulberryrudder::messages
{

/// Passes announcements on to the other entry instances of the region, so that a
/// target needs to announce itself to one instance only.
struct target_relay
{
    bool leased = false; ///< The sender holds a live lease.
    std::vector<entry::announcement> heard;
};

} // namespace mulberryrudder::messages

#endif
