#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_ROSTER_CONTROL_TABLE_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_ROSTER_CONTROL_TABLE_HPP

#include <mulberryrudder/messages/roster.hpp>

#include <map>
#include <optional>
#include <vector>

namespace mulberryrudder::control
{

/// Keeps the other control instances: where they are, what they took in, who leads.
///
/// Thread safety: one owner.
class control_table
{
public:
    /// One other control instance.
    struct row
    {
        instance_description who;
        endpoint operators;
        bool leads = false;
        bool kept = false;        ///< A contact of the settings: never forgotten.
        instant heard;            ///< Last message from it.
        boot_id boot;             ///< Start of it that `taken` is of.
        sequence_id taken;        ///< Newest number of it that was taken in here.
        sequence_id acknowledged; ///< Newest number of this instance that it took in.
        generation_id generation; ///< Of its steering state.
        bool wants_steering = false;
    };

    /// Adds an instance; returns whether its address is new.
    bool add(instance_description const& who, bool kept, instant now);

    /// Notes what a message of it says; `own` is the start of this instance. Precondition:
    /// it was added.
    void heard(instance_id id, messages::roster_exchange const& it, boot_id own, instant now);

    /// Notes that another instance named those that it knows. Before, an instance that has
    /// just started knows too few to tell what a majority is.
    void introduced() { introduced_ = true; }

    /// Forgets those that were not heard since a time and are no contacts.
    void expire(instant since);

    std::map<instance_id, row>& rows() { return rows_; }

    /// Returns whether more than half of the known instances, this one included, took
    /// in what was sent under a number.
    bool held_by_majority(sequence_id number) const;

    /// Returns how many of the known instances, this one included, took in what was sent
    /// under a number.
    std::size_t holders(sequence_id number) const;

    /// Returns how many instances are known, this one included.
    std::size_t size() const { return rows_.size() + 1; }

    /// Returns whether more than half of the known instances, this one included, hold a
    /// steering state or a newer one. `own` is this instance's.
    bool held_by_majority(generation_id it, generation_id own) const;

    /// Returns whether more than half of the known instances, this one included, were
    /// heard since a time.
    bool hears_majority(instant since) const;

    /// Returns where the instance that says it leads takes operators' requests.
    std::optional<endpoint> leader_since(instant since) const;

    /// Returns those that were heard since a time, as descriptions of id and peer.
    std::vector<instance_description> known_since(instant since) const;

private:
    bool is_majority(std::size_t count) const;

    std::map<instance_id, row> rows_;
    bool introduced_ = false;
};

} // namespace mulberryrudder::control

#endif
