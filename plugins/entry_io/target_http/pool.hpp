#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_IO_TARGET_HTTP_POOL_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_IO_TARGET_HTTP_POOL_HPP

#include "connection.hpp"

#include <map>
#include <vector>

namespace mulberryrudder::target_http
{

/// Keeps the idle connections to each target, since a new one costs the target
/// about a millisecond.
///
/// Thread safety: the target duty's thread.
class pool
{
public:
    /// Precondition: all three outlive the pool and its connections.
    pool(boost::asio::io_context& loop, target_settings const& config, kernel::byte_budget& unread)
        : loop_(loop), config_(config), unread_(unread)
    {
    }

    /// Returns an idle connection or a new one; null if the target has as many
    /// connections of this instance as it may.
    std::shared_ptr<connection> acquire(target_id const& id, endpoint const& where,
                                        connections most);

    /// Takes a connection back after its exchange; keeps it if it can be used again.
    void release(target_id const& id, std::shared_ptr<connection> const& it);

    /// Closes the idle connections to a target that left.
    void forget(target_id const& id);

    /// Closes connections that were idle for long enough.
    void expire(instant now);

private:
    struct idle_connection
    {
        std::shared_ptr<connection> it;
        instant until;
    };
    struct target_connections
    {
        endpoint where;
        std::vector<idle_connection> idle; ///< The one that was used last is the last.
        connections open;
    };

    void drop(target_id const& id, std::shared_ptr<connection> const& it);

    boost::asio::io_context& loop_;
    target_settings const& config_;
    kernel::byte_budget& unread_;
    std::map<target_id, target_connections> targets_;
};

} // namespace mulberryrudder::target_http

#endif
