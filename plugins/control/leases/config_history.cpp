#include "config_history.hpp"

#include <mulberryrudder/core/invariant.hpp>
#include <mulberryrudder/fleet/config_delta.hpp>

#include <algorithm>

namespace mulberryrudder::control
{

void config_history::add(std::shared_ptr<fleet_config const> const& newest)
{
    if (newest == newest_ || newest->generation == newest_->generation)
        return;
    check_invariant(newest->generation > newest_->generation,
                    "the committed configuration's generation only grows");
    older_.push_back(newest_);
    if (older_.size() > most_)
        older_.pop_front();
    newest_ = newest;
    deltas_.clear();
}

config_history::parcel config_history::from(generation_id held)
{
    if (held >= newest_->generation)
        return {};
    if (auto const it = deltas_.find(held); it != deltas_.end())
        return {.whole = nullptr, .delta = it->second};
    auto const same = [held](auto const& it) { return it->generation == held; };
    auto const base = std::find_if(older_.begin(), older_.end(), same);
    if (base == older_.end() || held == generation_id{})
        return {.whole = newest_, .delta = nullptr};
    auto made = std::make_shared<messages::config_delta const>(fleet::difference(**base, *newest_));
    deltas_.emplace(held, made);
    return {.whole = nullptr, .delta = std::move(made)};
}

} // namespace mulberryrudder::control
