#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_ROSTER_CONTROL_CHOICE_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_ROSTER_CONTROL_CHOICE_HPP

#include <mulberryrudder/core/fleet_config.hpp>
#include <mulberryrudder/core/random.hpp>
#include <mulberryrudder/core/time.hpp>

#include <map>
#include <optional>
#include <vector>

namespace mulberryrudder::entry
{

/// Chooses the control instance to which this entry reports: the nearest one that
/// did not fail lately.
///
/// Thread safety: one owner.
class control_choice
{
public:
    /// Adds an instance that the settings name; it is never forgotten.
    void add_contact(instance_id id);

    /// Replaces what is known of the group; contacts stay. Returns those that are new
    /// or reached elsewhere than before.
    std::vector<instance_description> learn(std::vector<instance_description> const& group);

    /// Notes that an instance did not answer.
    void failed(instance_id id, instant now);

    /// Notes that an instance did answer after all.
    void answered(instance_id id);

    /// Returns the best instance now; nothing if none is known. Of instances that are
    /// equally near the one that answered last is the best, since it knows what this
    /// entry holds.
    std::optional<instance_id> best(instance_description const& self,
                                    std::optional<instance_id> answered_last, instant now,
                                    random_source& random) const;

private:
    struct row
    {
        instance_description who;
        bool contact = false;
        instant avoided_until;
    };

    std::map<instance_id, row> rows_;
};

} // namespace mulberryrudder::entry

#endif
