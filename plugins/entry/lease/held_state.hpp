#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_LEASE_HELD_STATE_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_LEASE_HELD_STATE_HPP

#include <mulberryrudder/messages/lease.hpp>

#include <map>
#include <memory>
#include <vector>

namespace mulberryrudder::entry
{

/// Holds the configuration; its generation never goes down.
///
/// Thread safety: one owner.
class held_config
{
public:
    fleet_config const& get() const { return *config_; }
    std::shared_ptr<fleet_config const> const& share() const { return config_; }
    generation_id generation() const { return config_->generation; }

    /// Takes a newer configuration, whole or as a change of the held one; ignores an
    /// older one and a change of another base.
    void take(std::shared_ptr<fleet_config const> const& whole,
              std::shared_ptr<messages::config_delta const> const& delta);

private:
    void replace(std::shared_ptr<fleet_config const> newer);

    std::shared_ptr<fleet_config const> config_ = std::make_shared<fleet_config const>();
};

/// Holds the member list, kept up by the changes in the grants.
///
/// Thread safety: one owner.
class held_members
{
public:
    std::vector<messages::member> const& list() const { return list_; }

    /// Returns the version to name in a renewal; 0 asks for the whole list.
    messages::member_version version() const { return version_; }

    /// Takes a grant's changes in; returns the members that are new or have moved.
    std::vector<instance_description> take(messages::lease_grant const& it);

private:
    term_id term_;
    messages::member_version version_;
    std::map<instance_id, messages::member> members_;
    std::vector<messages::member> list_;
};

} // namespace mulberryrudder::entry

#endif
