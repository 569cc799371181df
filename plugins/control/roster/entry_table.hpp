#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_ROSTER_ENTRY_TABLE_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_ROSTER_ENTRY_TABLE_HPP

#include <mulberryrudder/messages/roster.hpp>

#include <map>
#include <vector>

namespace mulberryrudder::control
{

/// Reports of entries to forward to other control instances.
struct outgoing_reports
{
    std::vector<messages::entry_notice> notices;
    std::vector<messages::unchanged_entry> unchanged; ///< Nothing changed since a whole notice.
};

/// Newest notice of each entry instance.
///
/// Thread safety: one owner.
class entry_table
{
public:
    /// Records a notice that arrived from the entry itself.
    void update_from_entry(messages::entry_notice const& notice, instant now);

    /// Records a notice that another control instance forwarded, unless a newer one is known.
    void update_from_control(messages::entry_notice const& notice, instant now);

    /// Records that an entry reported to another control instance and nothing changed. Ignores
    /// starts that are not known; a whole notice follows.
    void refresh(messages::unchanged_entry const& unchanged, instant now);

    /// Removes entries whose newest notice is older than `cutoff`.
    void expire(instant cutoff);

    /// Returns the reports that arrived from entries themselves since the last call, to be
    /// forwarded to the other control instances.
    outgoing_reports take_unforwarded(instant now);

    /// Returns the addresses for callers of a failure domain: its own ready entries, else
    /// those of the region, else all.
    std::vector<endpoint> ready_for(region_id const& region, domain_id const& domain) const;

    /// Returns the newest notice of each entry.
    std::vector<messages::entry_notice> notices() const;

    std::uint32_t ready_count() const;
    std::uint32_t ready_count_in(domain_id const& domain) const;

    /// Returns the part of the entries that reported to this instance themselves since `cutoff`.
    per_mille part_reported_since(instant cutoff) const;

private:
    struct row
    {
        messages::entry_notice notice;
        instant last_update;
        instant last_own_report = {}; ///< From the entry itself.
        bool unforwarded = false;     ///< From the entry itself, and not forwarded yet.
        instant whole_due = {};       ///< When it is forwarded whole although nothing changed.
    };

    std::map<instance_id, row> rows_;
};

} // namespace mulberryrudder::control

#endif
