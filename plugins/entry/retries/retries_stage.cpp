#include <mulberryrudder/entry/retry_budget.hpp>

#include <mulberryrudder/entry/quantile_estimate.hpp>
#include <mulberryrudder/entry/queue_view.hpp>
#include <mulberryrudder/entry/stage.hpp>
#include <mulberryrudder/entry/target_chooser.hpp>

#include <algorithm>
#include <array>
#include <map>

namespace mulberryrudder::entry
{

namespace
{

struct retry_settings
{
    std::int64_t most_attempts = 3;
    per_mille budget{100};
    requests most_saved{20};
    bool hedge = true;
    milliseconds least_hedge_delay{2};
};

kernel::section<retry_settings> const retry_section{
    "retries",
    {
        kernel::field("most_attempts", &retry_settings::most_attempts, {1, 10},
                      "Most attempts of one request, the first one included."),
        kernel::field(
            "budget", &retry_settings::budget, {0, 1000},
            "Retries and hedges in thousandths of the requests, per customer and version."),
        kernel::field("most_saved", &retry_settings::most_saved, {1, 100'000},
                      "Most retries that quiet times save up, in requests."),
        kernel::field("hedge", &retry_settings::hedge, kernel::unbounded,
                      "Whether a slow idempotent request is sent to a second target."),
        kernel::field("least_hedge_delay", &retry_settings::least_hedge_delay, {1, 600'000},
                      "Milliseconds that an attempt runs at least before a second one is sent."),
    }};

kernel::counter_kind const after_refused("retries.connect_refused",
                                         "Retries after a refused connection.");
kernel::counter_kind const after_connect_timeout("retries.connect_timeout",
                                                 "Retries after a connection timeout.");
kernel::counter_kind const after_closed("retries.closed",
                                        "Retries after a connection ended before the reply.");
kernel::counter_kind const after_timeout("retries.timeout", "Retries after an attempt's timeout.");
kernel::counter_kind const after_malformed("retries.malformed",
                                           "Retries after a reply that was not valid.");
kernel::counter_kind const after_shed("retries.shed", "Retries after a target shed the request.");
kernel::counter_kind const
    after_misdirected("retries.misdirected",
                      "Retries after another target answered at the address.");
kernel::counter_kind const after_cancelled("retries.cancelled",
                                           "Retries after a cancelled attempt.");
kernel::counter_kind const hedges_sent("retries.hedges", "Second attempts sent beside a slow one.");
kernel::counter_kind const unsafe("retries.denied_unsafe",
                                  "Failed attempts not retried, as the request may have run.");
kernel::counter_kind const no_budget("retries.denied_budget",
                                     "Failed attempts not retried for want of budget.");
kernel::counter_kind const no_hedge_budget("retries.denied_hedge",
                                           "Hedges not sent for want of budget.");
kernel::counter_kind const too_many("retries.denied_attempts",
                                    "Failed attempts not retried after the most attempts.");

/// One counter for each attempt_failure, in its order.
constexpr std::array<kernel::counter_kind const*, 8> reasons{
    &after_refused, &after_connect_timeout, &after_closed,   &after_timeout, &after_malformed,
    &after_shed,    &after_misdirected,     &after_cancelled};

bool has_run_nowhere(request const& what)
{
    auto const not_run = [](attempt const& it) { return it.run == verdict::not_run; };
    return what.run_elsewhere == verdict::not_run &&
           std::all_of(what.attempts.begin(), what.attempts.end(), not_run);
}

/// Sends requests again after failed attempts, and second attempts beside slow ones.
class retries_stage final : public stage
{
public:
    explicit retries_stage(stage_parts const& parts)
        : config_(parts.config.get(retry_section)), services_(parts.services)
    {
    }

    void attempt_started(request const& what, attempt const&, context& with) override
    {
        if (what.attempts.size() != 1)
            return;
        by_customer_[what.customer].deposit(config_.budget, config_.most_saved);
        auto& group = groups_[what.version];
        group.budget.deposit(config_.budget, config_.most_saved);
        if (config_.hedge && what.repeatable && group.slow.value() != span(0))
            slow_at_.emplace(
                with.now + std::max<span>(group.slow.value(), config_.least_hedge_delay), what.id);
    }

    void attempt_ended(request const& what, attempt const& sent, attempt_end const& how,
                       context& with) override
    {
        if (!how.failed)
            groups_[what.version].slow.add(with.now - sent.started);
    }

    recovery recover(request& what, attempt const&, attempt_end const& how, context& with) override
    {
        if (!how.failed || *how.failed == attempt_failure::cancelled)
            return proceed{};
        if (auto const* const denied = denial(what, *how.failed))
        {
            with.counters.add(*denied);
            return proceed{};
        }
        if (is_charged(*how.failed))
            withdraw(what);
        with.counters.add(*reasons.at(static_cast<std::size_t>(*how.failed)));
        return again{"fair_queue"};
    }

    void tick(context& with) override
    {
        while (!slow_at_.empty() && slow_at_.begin()->first <= with.now)
        {
            auto const id = slow_at_.begin()->second;
            slow_at_.erase(slow_at_.begin());
            hedge(id, with);
        }
    }

private:
    /// The targets of one version: the group whose load a budget protects.
    struct target_group
    {
        retry_budget budget;
        quantile_estimate slow{per_mille(950)};
    };

    /// A refused connection put no load on any target, so sending the request
    /// elsewhere amplifies nothing; only most_attempts bounds it.
    static bool is_charged(attempt_failure cause)
    {
        return cause != attempt_failure::connect_refused;
    }

    /// Returns the counter of what forbids a retry, or null.
    kernel::counter_kind const* denial(request const& what, attempt_failure cause)
    {
        if (!what.repeatable && !has_run_nowhere(what))
            return &unsafe;
        if (static_cast<std::int64_t>(what.attempts.size()) >= config_.most_attempts)
            return &too_many;
        if (is_charged(cause) && !has_tokens(what))
            return &no_budget;
        return nullptr;
    }

    bool has_tokens(request const& what)
    {
        return by_customer_[what.customer].has_token() && groups_[what.version].budget.has_token();
    }

    void withdraw(request const& what)
    {
        by_customer_[what.customer].withdraw(config_.budget);
        groups_[what.version].budget.withdraw(config_.budget);
    }

    void hedge(request_id id, context& with)
    {
        auto const* const what = with.flow.find(id);
        if (what == nullptr || what->attempts.size() != 1 || !what->attempts.front().running)
            return;
        // A second attempt must not take a slot that a first one waits for.
        if (services_.require<queue_view>().waiting(what->version) != 0)
            return;
        if (!has_tokens(*what))
            return with.counters.add(no_hedge_budget);
        auto const target = services_.require<target_chooser>().choose(*what, with.random, false);
        if (!target)
            return;
        withdraw(*what);
        with.counters.add(hedges_sent);
        with.flow.start_attempt(id, *target);
    }

    retry_settings config_;
    kernel::service_map& services_;
    std::map<customer_id, retry_budget> by_customer_;
    std::map<version_id, target_group> groups_;
    std::multimap<instant, request_id> slow_at_; ///< When attempts count as slow.
};

stage_registrar<retries_stage> const entered{"retries", stage_order::retries};

} // namespace

} // namespace mulberryrudder::entry
