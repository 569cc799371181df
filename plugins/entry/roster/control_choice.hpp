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

/// Selects the control instance to which this entry reports: the nearest one that did not
/// fail recently.
///
/// Thread safety: one owner.
class control_choice
{
public:
    /// Adds an instance that the settings list as a contact; it is never removed.
    void add_contact(instance_id id);

    /// Which of the control instances an answer names.
    enum class naming
    {
        some, ///< Its sender hears few of the others, and knows less than this entry does.
        most  ///< Its sender hears most of the others.
    };

    /// Adds the control instances that an answer names. If it names most of them, those that it
    /// leaves out are forgotten, except contacts. Returns the instances that are new or have a new
    /// address.
    std::vector<instance_description> update_group(std::vector<instance_description> const& group,
                                                   naming named);

    /// Returns all instances that are known.
    std::vector<instance_id> all() const;

    /// Records that an instance did not answer; it is selected last for a limited time.
    void failed(instance_id id, instant now);

    /// Records that an instance answered; clears an earlier failure.
    void answered(instance_id id);

    /// Lets an instance be selected before nearer ones for a limited time, unless it fails.
    void prefer(instance_id id, instant now);

    /// Returns the best instance at this time; nothing if none is known. Among equally near
    /// instances it is `last_answered`, since that one knows the state of this entry.
    std::optional<instance_id> best(instance_description const& self,
                                    std::optional<instance_id> last_answered, instant now,
                                    random_source& random) const;

private:
    struct instance_state
    {
        instance_description instance;
        bool is_contact = false;
        instant deprioritized_until;
    };

    std::map<instance_id, instance_state> instances_;
    std::optional<instance_id> preferred_;
    instant preferred_until_;
};

} // namespace mulberryrudder::entry

#endif
