#ifndef MULBERRYRUDDER_CONTROL_RELEASE_NOTE_HPP
#define MULBERRYRUDDER_CONTROL_RELEASE_NOTE_HPP

#include <mulberryrudder/control/utc_time.hpp>
#include <mulberryrudder/core/fleet_config.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>

namespace mulberryrudder::control
{

/// Leading hexadecimal digits of a key's SHA-256, 8 to 64 of them. The first 12
/// are the key's id in lists and reports.
using key_prefix = strong_id<struct key_prefix_tag, std::string>;

/// Returns a key's id: the first 12 hexadecimal digits of its digest.
key_prefix key_id_of(digest const& key);

/// A route to be added.
struct route_terms
{
    bool open = false;
    bool idempotent = false;
    std::set<customer_id> customers; ///< Who may use a keyed route; empty means each customer.
    version_id version;

    friend bool operator==(route_terms const&, route_terms const&) = default;
};

/// A move of a route's traffic to another version.
struct move_terms
{
    version_id version; ///< The version that the move leads to.
    per_mille cap;      ///< Most of the route's requests that a step may give to it.
    utc_time deadline;  ///< When the whole route is to be on it.

    friend bool operator==(move_terms const&, move_terms const&) = default;
};

/// What changes of a customer; absent members stay.
struct customer_change
{
    std::optional<millitokens_per_second> rate;
    std::optional<millitokens> burst;
    std::optional<region_id> home;

    friend bool operator==(customer_change const&, customer_change const&) = default;
};

/// What changes of a route; absent members stay.
struct route_change
{
    std::optional<bool> open;
    std::optional<bool> idempotent;
    std::optional<std::set<customer_id>> customers;
    std::optional<version_id> version;

    friend bool operator==(route_change const&, route_change const&) = default;
};

/// What changes of a running move; absent members stay.
struct move_change
{
    std::optional<per_mille> cap;
    std::optional<utc_time> deadline;

    friend bool operator==(move_change const&, move_change const&) = default;
};

/// The part of a note that lists what is new.
struct note_additions
{
    std::map<customer_id, customer_config> customers;
    std::map<customer_id, std::set<digest>> keys; ///< For customers that exist.
    std::map<route_id, route_terms> routes;
    std::map<route_id, move_terms> moves;
    std::map<link_id, bytes_per_second> links;

    friend bool operator==(note_additions const&, note_additions const&) = default;
};

/// The part of a note that lists what changes.
struct note_changes
{
    std::map<customer_id, customer_change> customers;
    std::map<route_id, route_change> routes;
    std::map<route_id, move_change> moves;
    std::map<link_id, bytes_per_second> links;

    friend bool operator==(note_changes const&, note_changes const&) = default;
};

/// The part of a note that lists what ends.
struct note_withdrawals
{
    std::set<customer_id> customers;
    std::set<key_prefix> keys; ///< Each must fit exactly one key.
    std::set<route_id> routes;
    std::set<route_id> moves; ///< The route goes back to its old version.
    std::set<link_id> links;

    friend bool operator==(note_withdrawals const&, note_withdrawals const&) = default;
};

/// One change of the configuration as an operator wrote it. It is in force as a
/// whole or not at all. Withdrawals go first, then changes, then additions.
struct release_note
{
    note_number number;
    /// Generation that the operator looked at; the note is a conflict on any other.
    std::optional<generation_id> based_on;
    std::string comment;
    note_additions add;
    note_changes change;
    note_withdrawals withdraw;

    friend bool operator==(release_note const&, release_note const&) = default;
};

/// Returns the SHA-256 of a note's content, without regard to how it was encoded:
/// equal notes have equal digests.
///
/// Thread safety: any thread.
digest content_digest(release_note const& note);

} // namespace mulberryrudder::control

#endif
