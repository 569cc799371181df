#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_LEASES_CONFIG_HISTORY_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_LEASES_CONFIG_HISTORY_HPP

#include <mulberryrudder/messages/lease.hpp>

#include <cstddef>
#include <deque>
#include <map>
#include <memory>

namespace mulberryrudder::control
{

/// Remembers the last configurations, so that an entry gets only what changed since
/// the one it holds. A delta is made once and shared by all that need it.
///
/// Thread safety: one owner.
class config_history
{
public:
    explicit config_history(std::size_t most) : most_(most) {}

    /// Takes the newest configuration; the same one again changes nothing.
    void add(std::shared_ptr<fleet_config const> const& newest);

    std::shared_ptr<fleet_config const> const& newest() const { return newest_; }

    /// What an entry is to be sent: at most one of the two is set.
    struct parcel
    {
        std::shared_ptr<fleet_config const> whole;
        std::shared_ptr<messages::config_delta const> delta;
    };

    /// Returns what leads an entry that holds `held` to the newest configuration.
    parcel from(generation_id held);

private:
    std::size_t most_;
    std::shared_ptr<fleet_config const> newest_ = std::make_shared<fleet_config const>();
    std::deque<std::shared_ptr<fleet_config const>> older_;
    std::map<generation_id, std::shared_ptr<messages::config_delta const>> deltas_; ///< To the
                                                                                    ///< newest.
};

} // namespace mulberryrudder::control

#endif
