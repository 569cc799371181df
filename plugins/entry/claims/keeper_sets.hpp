#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_CLAIMS_KEEPER_SETS_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_CLAIMS_KEEPER_SETS_HPP

#include <mulberryrudder/core/fleet_config.hpp>
#include <mulberryrudder/core/time.hpp>
#include <mulberryrudder/messages/claims.hpp>
#include <mulberryrudder/messages/lease.hpp>

#include <deque>
#include <map>
#include <vector>

namespace mulberryrudder::entry
{

/// Number of keepers of each claim; fewer in a smaller fleet.
inline constexpr std::size_t keepers_per_claim = 3;

/// Returns how many grants a claim needs.
constexpr std::size_t majority_of(std::size_t keepers)
{
    return keepers / 2 + 1;
}

/// An instance with its region and failure domain.
struct member_location
{
    instance_id id;
    region_id region;
    domain_id domain;

    friend bool operator==(member_location const&, member_location const&) = default;
};

/// The input for the selection of keepers: members and the customers' home regions.
struct keeper_view
{
    std::vector<member_location> members; ///< By ascending id; includes unreachable instances.
    std::map<customer_id, region_id> homes;

    friend bool operator==(keeper_view const&, keeper_view const&) = default;
};

/// Returns a digest that two instances compare to check that their views are equal.
digest digest_of(keeper_view const& view);

/// Collects the members of successive leases. A member that is no longer listed is kept
/// for the hold time, since a new leader lists instances only as they renew.
///
/// Thread safety: one owner.
class known_members
{
public:
    explicit known_members(span hold) : hold_(hold) {}

    /// Adds the members of a live lease; removes those whose hold time is over.
    void update(std::vector<messages::member> const& members, instant now);

    /// Returns a view of these members and the configuration's customers.
    keeper_view make_view(fleet_config const& config) const;

private:
    struct known_member
    {
        member_location location;
        instant expires_at;
    };

    span hold_;
    std::map<instance_id, known_member> known_;
};

/// Returns a claim's keepers by ascending id: two in different failure domains of the
/// customer's home region and one in another region, each the first match by
/// rendezvous hashing (Thaler and Ravishankar, 1998). If the fleet is too small for
/// this, the next instances by the same ranking are used, up to `keepers_per_claim`.
std::vector<instance_id> keepers_of(messages::claim_id const& id, customer_id const& customer,
                                    keeper_view const& view);

/// History of the views with the time from which each was in force.
///
/// Thread safety: one owner.
class view_history
{
public:
    /// Appends the view in force at `now` if it differs from the current one; returns
    /// whether it does.
    bool update(keeper_view view, instant now);

    /// Removes all views. Call this if views may have been missed.
    void clear() { views_.clear(); }

    /// Removes views that were replaced before `horizon`.
    void discard_before(instant horizon);

    bool empty() const { return views_.empty(); }

    /// Precondition of the next three: not empty().
    keeper_view const& current() const { return views_.back().view; }
    instant first_known() const { return views_.front().since; }
    instant last_change() const { return views_.back().since; }

    bool has_changed() const { return views_.size() > 1; }

    /// Returns whether the claim had exactly these keepers in every view that was
    /// in force at `horizon` or later.
    bool unchanged_since(instant horizon, messages::claim_id const& id, customer_id const& customer,
                         std::vector<instance_id> const& keepers) const;

private:
    struct entry
    {
        keeper_view view;
        instant since;
    };

    std::deque<entry> views_;
};

} // namespace mulberryrudder::entry

#endif
