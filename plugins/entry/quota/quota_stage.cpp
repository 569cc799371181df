#include <mulberryrudder/core/token_bucket.hpp>
#include <mulberryrudder/entry/plan_view.hpp>
#include <mulberryrudder/entry/stage.hpp>

#include <unordered_map>

namespace mulberryrudder::entry
{

namespace
{

struct quota_settings
{
    requests pooled{10};
    per_mille pooled_rate{200};
    per_mille relaxed_below{800};
    per_mille relaxed_rate{1150};
};

kernel::section<quota_settings> const quota_section{
    "quota",
    {
        kernel::field("pooled", &quota_settings::pooled, {0, 10'000},
                      "Requests of a customer beyond its burst that all instances together may "
                      "let through at once; below what the operators tolerate."),
        kernel::field("pooled_rate", &quota_settings::pooled_rate, {0, 10'000},
                      "The same in thousandths of the customer's requests a second."),
        kernel::field("relaxed_below", &quota_settings::relaxed_below, {0, 1000},
                      "Thousandths of a customer's rate below which its demand in the fleet "
                      "leaves each instance more than its part."),
        kernel::field("relaxed_rate", &quota_settings::relaxed_rate, {1000, 10'000},
                      "Thousandths of its part that an instance lets through then."),
    }};

refusal_kind const over_quota({.name = "over_quota",
                               .counter_name = "refused.over_quota",
                               .status = 429,
                               .meaning = "The customer asks for more than its rate allows."});

/// Time over which demand is averaged: long enough for a few requests of a customer
/// with a small rate, short against a change of where its callers are.
constexpr milliseconds demand_window{1000};
/// Part of the older average that stays in each window.
constexpr std::int64_t kept_of_four = 2;
/// Demand below is not reported.
constexpr millitokens_per_second least_reported{500};
/// A bucket starts with what its rate brings in this time, since no more is known to
/// be unspent after a restart.
constexpr std::int64_t first_fill_divisor = 2;
/// Returns of refused callers are spread over this part of the time until a token.
constexpr milliseconds return_spread{400};

/// Holds each customer to its part of its rate at this instance. Control divides the
/// rate by what is asked at each instance, so the parts follow the callers.
///
/// Thread safety: as stage.
class quota_stage final : public stage, private demand_view
{
public:
    explicit quota_stage(stage_parts const& parts)
        : config_(parts.config.get(quota_section)), services_(parts.services)
    {
        parts.services.provide<demand_view>(*this);
    }

    step admit(request& what, context& with) override
    {
        if (what.payer == nullptr)
            return proceed{};
        auto& it = accounts_[what.payer->id];
        if (what.attempts.empty())
            ++it.asked;
        if (what.payer->rate == millitokens_per_second())
            return proceed{};
        reshape(it, *what.payer, with.now);
        if (it.bucket.take(request_cost))
            return proceed{};
        what.why = "rate=" + std::to_string(it.bucket.rate().count()) +
                   " burst=" + std::to_string(it.bucket.burst().count()) + " share=" +
                   std::to_string(services_.require<plan_view>().share_of(what.payer->id).count());
        return refuse(over_quota, time_until_token(it, with));
    }

private:
    struct account
    {
        token_bucket bucket;
        std::int64_t asked = 0; ///< Since the window began.
        millitokens_per_second average;
    };

    void reshape(account& it, plan_customer const& whose, instant now)
    {
        auto const& view = services_.require<plan_view>();
        auto const share = view.share_of(whose.id).count();
        // Within its rate a customer is not held to each instance's part of it.
        bool const relaxed = view.fleet_demand(whose.id).count() * 1000 <
                             whose.rate.count() * config_.relaxed_below.count();
        auto const stretch = relaxed ? config_.relaxed_rate : whole_share;
        auto const rate =
            millitokens_per_second(whose.rate.count() * share / 1000 * stretch.count() / 1000);
        // What the fleet may let through at once is shared half evenly, since a few
        // requests that come together say little of where the next ones come.
        auto const pool = whose.burst.count() +
                          whose.rate.count() * config_.pooled_rate.count() / 1000 +
                          config_.pooled.count() * request_cost.count();
        auto const evenly = whole_share.count() / view.entries();
        // A bucket below one request would never let one through.
        auto const burst =
            std::max(millitokens(pool * ((share + evenly) / 2) / 1000), request_cost);
        bool const fresh = it.bucket.rate() == millitokens_per_second();
        it.bucket.reshape(now, rate, burst);
        if (!fresh)
            return;
        it.bucket.add(std::max(millitokens(rate.count() / first_fill_divisor), request_cost));
        it.bucket.trim();
    }

    static milliseconds time_until_token(account const& it, context& with)
    {
        auto const missing = (request_cost - it.bucket.tokens()).count();
        auto const rate = std::max<std::int64_t>(it.bucket.rate().count(), 1);
        std::uniform_int_distribution<std::int64_t> spread(0, return_spread.count());
        return milliseconds(missing * 1000 / rate + spread(with.random));
    }

    std::map<customer_id, millitokens_per_second> demand(instant now) override
    {
        if (now >= window_ends_)
        {
            auto const began = window_ends_ - demand_window;
            auto const took = std::max<std::int64_t>(
                std::chrono::duration_cast<milliseconds>(now - began).count(), 1);
            for (auto& [id, it] : accounts_)
            {
                auto const fresh = std::exchange(it.asked, 0) * 1'000'000 / took;
                it.average = millitokens_per_second(
                    (it.average.count() * kept_of_four + fresh * (4 - kept_of_four)) / 4);
            }
            window_ends_ = now + demand_window;
        }
        std::map<customer_id, millitokens_per_second> out;
        for (auto const& [id, it] : accounts_)
            if (it.average >= least_reported)
                out.emplace(id, it.average);
        return out;
    }

    quota_settings const& config_;
    kernel::service_map& services_;
    std::unordered_map<customer_id, account> accounts_;
    instant window_ends_ = instant{} + demand_window;
};

stage_registrar<quota_stage> const entered{"quota", stage_order::quota};

} // namespace

} // namespace mulberryrudder::entry
