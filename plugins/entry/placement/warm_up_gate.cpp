#include "warm_up_gate.hpp"

#include <algorithm>

namespace mulberryrudder::entry
{

namespace
{

/// Lower bound in millitokens a second; applies to plans that state no rate, because cold
/// targets are slow all the same.
constexpr std::int64_t min_rate = 1000;

} // namespace

bool warm_up_gate::can_accept(target_id const& id, plan_service const& service,
                              std::int64_t entry_count, instant now)
{
    auto const [bucket, added] = buckets_.try_emplace(id, now);
    auto const rate = std::max(service.warm_up_rate.count(), min_rate) / entry_count;
    bucket->second.reshape(now, millitokens_per_second(rate), request_cost);
    return bucket->second.tokens() >= request_cost;
}

void warm_up_gate::acquire(target_id const& id)
{
    buckets_.at(id).take(request_cost);
}

void warm_up_gate::remove_warm(std::map<target_id, listed_target> const& listed, instant now)
{
    std::erase_if(buckets_,
                  [&](auto const& each)
                  {
                      auto const it = listed.find(each.first);
                      return it == listed.end() || it->second.cold_until <= now;
                  });
}

} // namespace mulberryrudder::entry
