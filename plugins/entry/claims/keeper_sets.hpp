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

/// Keepers that a claim is asked of.
inline constexpr std::size_t keepers_per_claim = 3;

/// Returns how many grants make a claim.
constexpr std::size_t majority_of(std::size_t keepers)
{
    return keepers / 2 + 1;
}

/// Where an instance is, as far as the choice of keepers goes.
struct keeper_place
{
    instance_id id;
    region_id region;
    domain_id domain;

    friend bool operator==(keeper_place const&, keeper_place const&) = default;
};

/// All that the choice of keepers depends on.
struct keeper_view
{
    std::vector<keeper_place> places; ///< Ascending ids; dead instances are in it too.
    std::map<customer_id, region_id> homes;

    friend bool operator==(keeper_view const&, keeper_view const&) = default;
};

/// Returns a digest by which two instances tell whether their views are equal.
digest digest_of(keeper_view const& view);

/// Collects the members of successive leases. One that is listed no more stays for
/// a time, since a new leader lists the instances only as they renew.
///
/// Thread safety: one owner.
class seen_members
{
public:
    explicit seen_members(span hold) : hold_(hold) {}

    /// Takes the members of a live lease in.
    void see(std::vector<messages::member> const& members, instant now);

    /// Makes a view of them and a configuration's customers.
    keeper_view view(fleet_config const& config) const;

private:
    struct sighting
    {
        keeper_place place;
        instant until;
    };

    span hold_;
    std::map<instance_id, sighting> seen_;
};

/// Returns a claim's keepers, ascending: two of the customer's home region in two
/// failure domains and one of another region, each the first by rendezvous
/// hashing (Thaler and Ravishankar, 1998). A smaller fleet gives what it has.
std::vector<instance_id> keepers_of(messages::claim_id const& id, customer_id const& customer,
                                    keeper_view const& view);

/// Remembers which views were in force since when.
///
/// Thread safety: one owner.
class view_history
{
public:
    /// Takes the view that is in force at `now`; returns whether it is a new one.
    bool follow(keeper_view view, instant now);

    /// Forgets all: what was in force meanwhile is not known.
    void clear() { views_.clear(); }

    /// Drops views that were replaced before `horizon`.
    void forget_before(instant horizon);

    bool empty() const { return views_.empty(); }
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
