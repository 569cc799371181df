#include "key_index.hpp"

#include <cstring>

namespace mulberryrudder::entry
{

namespace
{

std::uint64_t bucket_of(digest const& key)
{
    std::uint64_t n = 0;
    std::memcpy(&n, key.bytes.data(), sizeof n);
    return n;
}

} // namespace

void key_index::follow(fleet_config const& config)
{
    if (config.generation == generation_)
        return;
    generation_ = config.generation;
    holders_.clear();
    for (auto const& [id, customer] : config.customers)
        for (auto const& key : customer.keys)
            holders_.emplace(bucket_of(key), holder{key, id});
}

customer_id const* key_index::find(digest const& key) const
{
    customer_id const* found = nullptr;
    auto const [first, last] = holders_.equal_range(bucket_of(key));
    for (auto it = first; it != last; ++it)
        if (equal_in_constant_time(it->second.key, key))
            found = &it->second.customer;
    return found;
}

} // namespace mulberryrudder::entry
