#include "share_counter.hpp"

#include <mulberryrudder/core/invariant.hpp>

#include <algorithm>

namespace mulberryrudder::entry
{

namespace
{

constexpr requests one{1};

bool is_within(requests part, per_mille share, requests all)
{
    return part.count() * whole_share.count() <= share.count() * all.count();
}

} // namespace

void share_counter::set_share(per_mille share)
{
    if (share == share_)
        return;
    share_ = share;
    highest_share_ = std::max(highest_share_, share);
    ++window_;
    counted_ = {};
    reserved_ = {};
}

bool share_counter::fits() const
{
    return is_within(counted_.to_new + reserved_ + one, share_, counted_.to_all + one);
}

bool share_counter::take_place(request_id id)
{
    if (holds_place(id))
        return true;
    if (!fits())
        return false;
    places_.emplace(id, window_);
    reserved_ += one;
    return true;
}

void share_counter::give_back(request_id id)
{
    auto const place = places_.find(id);
    if (place == places_.end())
        return;
    if (place->second == window_)
        reserved_ -= one;
    places_.erase(place);
}

void share_counter::count(tally& where, bool to_new)
{
    where.to_all += one;
    if (to_new)
        where.to_new += one;
}

void share_counter::sent(request_id id, bool to_new)
{
    auto const place = places_.find(id);
    // A place of an earlier window was paid for there.
    bool const earlier = to_new && place != places_.end() && place->second != window_;
    if (to_new)
        give_back(id);
    if (!earlier)
        count(counted_, to_new);
    count(total_, to_new);
    check();
}

void share_counter::check() const
{
    check_invariant(is_within(counted_.to_new, share_, counted_.to_all),
                    "a new version got more than its share of a route's requests");
    check_invariant(is_within(total_.to_new, highest_share_, total_.to_all),
                    "a new version got more than the highest share of its move");
}

} // namespace mulberryrudder::entry
