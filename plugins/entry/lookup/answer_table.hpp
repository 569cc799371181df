#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_LOOKUP_ANSWER_TABLE_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_LOOKUP_ANSWER_TABLE_HPP

#include "lookup_settings.hpp"

#include <mulberryrudder/core/fleet_config.hpp>
#include <mulberryrudder/messages/lease.hpp>

#include <array>
#include <map>
#include <utility>
#include <vector>

namespace mulberryrudder::entry
{

/// What a site is near to; sites that are near to the same things share answers.
struct nearness
{
    std::vector<region_id> regions;
    domain_id domain;

    friend auto operator<=>(nearness const&, nearness const&) = default;
    friend bool operator==(nearness const&, nearness const&) = default;
};

/// An ordered answer to look-ups.
using ordered_answer = std::vector<endpoint>;

/// Holds the ordered answers of each site, made anew with each lease, so that a
/// look-up only picks one. Each site has several variants, drawn by weighted
/// rendezvous hashing (Thaler and Ravishankar 1998): a client's variant depends on its
/// address only, an instance heads variants in proportion to its free slots, and a
/// change of one instance moves few of the others' clients.
///
/// Thread safety: one owner.
class answer_table
{
public:
    /// Variants a site; a headroom share is met to about 1/64.
    static constexpr std::size_t variants = 64;

    struct options
    {
        std::vector<site_settings> const& sites;
        std::vector<std::string> const& site_names; ///< By site_index.
        nearness unknown;                           ///< For clients of no known site.
        std::size_t most_instances;
    };

    explicit answer_table(options const& with);

    /// Makes the answers from the usable members.
    void rebuild(std::vector<messages::member> const& usable);

    /// Returns the answer for a site and a hash of the client.
    ordered_answer const& find(site_index site, std::uint64_t client_hash) const noexcept;

private:
    /// One answer for each variant.
    using answer_set = std::array<ordered_answer, variants>;

    /// A region's instances in the order of each variant.
    using region_orders = std::array<ordered_answer, variants>;

    region_orders const& orders_of(region_id const& region, domain_id const& preferred,
                                   std::vector<messages::member> const& usable);
    void append(ordered_answer const& from, std::size_t room, ordered_answer& to) const;
    std::size_t add(nearness const& of);
    void fill(nearness const& of, std::vector<messages::member> const& usable, answer_set& out);

    std::vector<nearness> kinds_;
    std::vector<answer_set> answers_;    ///< By kind.
    std::vector<std::uint16_t> by_site_; ///< Kind of each site; the last is for unknown ones.
    /// Orders that the kinds of one rebuild share, by region and preferred domain.
    std::map<std::pair<region_id, domain_id>, region_orders> orders_;
    std::size_t most_instances_;
};

/// Returns a well mixed hash of a client's address, the same on each instance.
std::uint64_t hash_of(client_address const& client);

} // namespace mulberryrudder::entry

#endif
