#include "choice_policy.hpp"

#include <mulberryrudder/entry/stage.hpp>
#include <mulberryrudder/entry/target_chooser.hpp>

#include <algorithm>

namespace mulberryrudder::entry
{

namespace
{

std::optional<std::string> check_choice(choice_settings const& settings)
{
    if (make_choice_policy(settings.policy) == nullptr)
        return "\"policy\" to be \"least_expected_latency\", \"two_choices\", "
               "\"least_running\" or \"round_robin\"";
    return std::nullopt;
}

refusal_kind const no_free_slot({.name = "no_free_slot",
                                 .counter_name = "refused.no_free_slot",
                                 .status = 503,
                                 .meaning = "No target of the route has a free slot."});

bool was_tried(request const& req, target_view const& target)
{
    auto const same = [&](attempt const& previous) { return previous.target.id == target.id; };
    return std::any_of(req.attempts.begin(), req.attempts.end(), same);
}

/// Selects the target of a request's next attempt.
class choice_stage final : public stage, private target_chooser
{
public:
    explicit choice_stage(stage_parts const& parts)
        : services_(parts.services),
          policy_(make_choice_policy(parts.config.get(choice_section).policy))
    {
        parts.services.provide<target_chooser>(*this);
    }

    step admit(request& req, context& ctx) override
    {
        req.chosen = choose(req, ctx.random, true);
        if (!req.chosen)
            return refuse(no_free_slot);
        return proceed{};
    }

private:
    std::optional<chosen_target> choose(request const& req, random_source& random,
                                        bool allow_tried) override
    {
        auto const& directory = services_.require<target_directory>();
        candidates untried;
        candidates tried;
        for (auto const* const it : directory.usable(req.route, req.version))
        {
            if (!it->has_free_slot())
                continue;
            (was_tried(req, *it) ? tried : untried).push_back(it);
        }
        auto const& selectable = untried.empty() && allow_tried ? tried : untried;
        if (selectable.empty())
            return std::nullopt;
        auto const& selected = policy_->pick(selectable, random);
        return chosen_target{.id = selected.id,
                             .where = selected.where,
                             .version = selected.version,
                             .most_connections = selected.most_connections};
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
                      "Policy that selects a target: least_expected_latency, two_choices, "
                      "least_running or round_robin."),
    },
    check_choice};

} // namespace mulberryrudder::entry
