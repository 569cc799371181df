#include "state_requests.hpp"

#include <tuple>

namespace mulberryrudder::control
{

namespace
{

/// Time after which another instance is asked: an exchange interval and a round trip between
/// regions.
constexpr milliseconds answer_timeout{300};

} // namespace

std::optional<instance_id>
state_requests::next(std::map<instance_id, control_table::row> const& known, generation_id own,
                     region_id const& region, instant cutoff, instant now)
{
    if (asked_ && own == asked_with_)
    {
        if (now < answer_due_)
            return std::nullopt;
        silent_.insert(*asked_);
    }
    asked_.reset();
    control_table::row const* best = nullptr;
    auto const rank = [&](control_table::row const& it)
    {
        return std::tuple(!silent_.contains(it.description.id), it.description.region == region,
                          it.generation);
    };
    for (auto const& [id, it] : known)
        if (it.is_heard && it.last_message >= cutoff && it.generation > own &&
            (best == nullptr || rank(it) > rank(*best)))
            best = &it;
    if (best == nullptr)
        return std::nullopt;
    if (silent_.contains(best->description.id))
        silent_.clear();
    asked_ = best->description.id;
    asked_with_ = own;
    answer_due_ = now + answer_timeout;
    return asked_;
}

} // namespace mulberryrudder::control
