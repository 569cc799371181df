#include "choice_policy.hpp"

#include <mulberryrudder/entry/stage.hpp>
#include <mulberryrudder/entry/target_chooser.hpp>

#include <algorithm>

namespace mulberryrudder::entry
{

namespace
{

std::optional<std::string> check_choice(choice_settings const& it)
{
    if (make_choice_policy(it.policy) == nullptr)
        return "\"policy\" to be \"least_expected_latency\", \"two_choices\", "
               "\"least_running\" or \"round_robin\"";
    return std::nullopt;
}

refusal_kind const no_free_slot({.name = "no_free_slot",
                                 .counter_name = "refused.no_free_slot",
                                 .status = 503,
                                 .meaning = "No target of the route has a free slot."});

bool was_tried(request const& what, target_view const& it)
{
    auto const same = [&](attempt const& tried) { return tried.target.id == it.id; };
    return std::any_of(what.attempts.begin(), what.attempts.end(), same);
}

/// Sets the target of a request's next attempt.
class choice_stage final : public stage, private target_chooser
{
public:
    explicit choice_stage(stage_parts const& parts)
        : services_(parts.services),
          policy_(make_choice_policy(parts.config.get(choice_section).policy))
    {
        parts.services.provide<target_chooser>(*this);
    }

    step admit(request& what, context& with) override
    {
        what.chosen = choose(what, with.random, true);
        if (!what.chosen)
            return refuse(no_free_slot);
        return proceed{};
    }

private:
    std::optional<chosen_target> choose(request const& what, random_source& random,
                                        bool allow_tried) override
    {
        auto const& directory = services_.require<target_directory>();
        candidates fresh;
        candidates tried;
        for (auto const* const it : directory.usable(what.route, what.version))
        {
            if (!it->has_free_slot())
                continue;
            (was_tried(what, *it) ? tried : fresh).push_back(it);
        }
        auto const& among = fresh.empty() && allow_tried ? tried : fresh;
        if (among.empty())
            return std::nullopt;
        auto const& best = policy_->pick(among, random);
        return chosen_target{.id = best.id,
                             .where = best.where,
                             .version = best.version,
                             .most_connections = best.most_connections};
    }

    kernel::service_map& services_;
    std::unique_ptr<choice_policy> policy_;
};

stage_registrar<choice_stage> const entered{"choice", stage_order::choice};

} // namespace

kernel::section<choice_settings> const choice_section{
    "choice",
    {
        kernel::field("policy", &choice_settings::policy, kernel::unbounded,
                      "How a target is picked: least_expected_latency, two_choices, least_running "
                      "or round_robin."),
    },
    check_choice};

} // namespace mulberryrudder::entry
