#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_KEYS_KEY_INDEX_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_KEYS_KEY_INDEX_HPP

#include <mulberryrudder/core/fleet_config.hpp>

#include <cstdint>
#include <unordered_map>

namespace mulberryrudder::entry
{

/// Finds the customer of a key's digest. Digests are bucketed by their first 8
/// bytes and compared in constant time within a bucket.
///
/// Thread safety: one owner.
class key_index
{
public:
    /// Brings the index up to date; cheap while the generation stays the same.
    void follow(fleet_config const& config);

    /// Returns the customer whose key this is, or null. The pointer holds until
    /// the next follow().
    customer_id const* find(digest const& key) const;

private:
    struct holder
    {
        digest key;
        customer_id customer;
    };

    generation_id generation_;
    std::unordered_multimap<std::uint64_t, holder> holders_;
};

} // namespace mulberryrudder::entry

#endif
