#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_ROSTER_ENTRY_TABLE_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_ROSTER_ENTRY_TABLE_HPP

#include <mulberryrudder/messages/roster.hpp>

#include <map>
#include <vector>

namespace mulberryrudder::control
{

/// Keeps what is known of each entry instance.
///
/// Thread safety: one owner.
class entry_table
{
public:
    /// Takes what an entry says itself.
    void take_own(messages::entry_notice const& it, instant now);

    /// Takes what another control instance heard, unless something later is known.
    void take_told(messages::entry_notice const& it, instant now);

    /// Forgets entries that were heard last before `since`.
    void expire(instant since);

    /// Returns those that spoke to this instance itself since the last call, for telling
    /// them to other control instances.
    std::vector<messages::entry_notice> take_fresh(instant now);

    /// Returns where callers of a failure domain go: to its own ready entries, else to
    /// those of the region, else to all.
    std::vector<endpoint> ready_for(region_id const& region, domain_id const& domain) const;

    std::uint32_t ready_count() const;
    std::uint32_t ready_count_in(domain_id const& domain) const;

    /// Returns an entry's part of each customer's rate: its part of what all entries
    /// are asked for. Customers of whom no entry is asked much are left out.
    std::map<customer_id, per_mille> shares_of(instance_id entry) const;

    /// Returns what all entries together are asked for by each customer that asks much.
    std::map<customer_id, millitokens_per_second> demand() const;

private:
    struct row
    {
        messages::entry_notice what;
        instant heard;
        bool fresh = false; ///< Heard from the entry itself, and not told to others yet.
    };

    std::map<instance_id, row> rows_;
};

} // namespace mulberryrudder::control

#endif
