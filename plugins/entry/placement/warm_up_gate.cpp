#include "warm_up_gate.hpp"

#include <algorithm>

namespace mulberryrudder::entry
{

namespace
{

/// A plan that names no rate still means that cold targets are slow.
constexpr std::int64_t least_rate = 1000;

} // namespace

bool warm_up_gate::has_room(target_id const& id, plan_service const& service, std::int64_t entries,
                            instant now)
{
    auto const [at, added] = buckets_.try_emplace(id, now);
    auto const rate = std::max(service.warm_up_rate.count(), least_rate) / entries;
    at->second.reshape(now, millitokens_per_second(rate), request_cost);
    return at->second.tokens() >= request_cost;
}

void warm_up_gate::take(target_id const& id)
{
    buckets_.at(id).take(request_cost);
}

void warm_up_gate::forget_all_but(std::map<target_id, listed_target> const& listed, instant now)
{
    std::erase_if(buckets_,
                  [&](auto const& each)
                  {
                      auto const it = listed.find(each.first);
                      return it == listed.end() || it->second.cold_until <= now;
                  });
}

} // namespace mulberryrudder::entry
