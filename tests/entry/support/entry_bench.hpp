#ifndef MULBERRYRUDDER_TESTS_ENTRY_SUPPORT_ENTRY_BENCH_HPP
#define MULBERRYRUDDER_TESTS_ENTRY_SUPPORT_ENTRY_BENCH_HPP

#include <mulberryrudder/entry/core.hpp>
#include <mulberryrudder/entry/fleet_view.hpp>
#include <mulberryrudder/entry/target_directory.hpp>

#include <string>

namespace mulberryrudder::entry
{

/// Replaces the lease stage. The test sets the lease's deadline, configuration and
/// members.
class fake_lease final : public stage, public fleet_view
{
public:
    explicit fake_lease(stage_parts const& parts)
    {
        parts.services.provide<fleet_view>(*this);
        parts.services.provide<fake_lease>(*this);
    }

    bool lease_live(instant now) const override { return now < deadline; }
    instant lease_deadline() const override { return deadline; }
    fleet_config const& config() const override { return held; }
    std::vector<messages::member> const& members() const override { return known; }
    instance_id leader() const override { return instance_id(900); }
    term_id term() const override { return term_id(1); }

    instant deadline = never;
    fleet_config held;
    std::vector<messages::member> known;
};

/// Message that makes fake_choice start one more attempt of a request.
struct hedge
{
    request_id id;
};

/// Replaces the choice of targets: sends each request to a target of its version.
class fake_choice final : public stage, public target_directory
{
public:
    explicit fake_choice(stage_parts const& parts)
    {
        parts.services.provide<fake_choice>(*this);
        parts.services.provide<target_directory>(*this);
    }

    std::vector<target_view const*> usable(route_id const&,
                                           version_id const& version) const override
    {
        static target_view const target{};
        if (absent.contains(version))
            return {};
        return {&target};
    }
    bool is_known(route_id const&, version_id const& version) const override
    {
        return !absent.contains(version);
    }
    bool has_free_slot(route_id const&, version_id const& version) const override
    {
        return !absent.contains(version);
    }
    std::vector<target_view const*> all() const override { return {}; }

    step admit(request& req, context&) override
    {
        if (held_back)
            return wait{};
        req.chosen = target_of(req);
        return proceed{};
    }

    static chosen_target target_of(request const& req)
    {
        return {.id = target_id("t-" + req.version.value()),
                .where = {"127.0.0.1", 1},
                .version = req.version,
                .most_connections = connections(1)};
    }

    /// Handles the messages of tests: a `request_id` resumes a held request, a `hedge`
    /// starts an attempt, a pointer to a renewal collects the stages' reports.
    void received(envelope const& message, context& ctx) override
    {
        if (auto const* const report = message.body.get<messages::renew_request*>())
            ctx.flow.collect_report(**report);
        if (auto const* const extra = message.body.get<hedge>())
            ctx.flow.start_attempt(extra->id, target_of(*ctx.flow.find(extra->id)));
        if (auto const* const held_id = message.body.get<request_id>())
            ctx.flow.resume_from(*held_id, "fake_choice");
    }

    /// Retries a repeatable request once if `retries` is set.
    recovery recover(request& req, attempt const&, attempt_end const&, context&) override
    {
        if (retries && req.repeatable && req.attempts.size() < 2)
            return again{"fake_choice"};
        return proceed{};
    }

    std::set<version_id> absent; ///< Versions without a usable target.
    bool held_back = false;      ///< Requests wait here until they are resumed.
    bool retries = false;        ///< A failed repeatable request is retried once.
};

/// A decision core under test with its own virtual clock.
///
/// Thread safety: one owner.
class entry_bench
{
public:
    entry_bench() : entry_bench(kernel::settings::defaults()) {}
    explicit entry_bench(kernel::settings settings, instance_description self = {},
                         boot_id boot = boot_id(1))
        : config_(std::move(settings)), core_({.config = config_,
                                               .counters = counters,
                                               .events = events_,
                                               .self = {.self = std::move(self), .boot = boot},
                                               .seed = 1})
    {
    }

    fake_lease& lease() { return *core_.services().find<fake_lease>(); }
    fake_choice& choice() { return *core_.services().find<fake_choice>(); }
    core& decisions() { return core_; }

    effects handle(input const& event)
    {
        effects out;
        core_.handle(now, event, out);
        return out;
    }

    effects tick()
    {
        effects out;
        core_.tick(now, out);
        return out;
    }

    kernel::counter_set counters;
    instant now{seconds(1000)};

private:
    kernel::settings config_;
    kernel::null_event_sink events_;
    core core_;
};

/// Returns the first effect of type `T`, or null. The pointer is valid as long as
/// `produced`.
template <class T>
T const* first(effects const& produced)
{
    for (auto const& it : produced)
        if (auto const* const found = std::get_if<T>(&it))
            return found;
    return nullptr;
}

/// Returns the answer to the caller: the name and verdict of a refusal, `answered`, or an
/// empty text if there is no answer.
inline std::string told(effects const& produced)
{
    auto const* const it = first<answer_caller>(produced);
    if (it == nullptr)
        return {};
    if (auto const* const refusal = std::get_if<refused>(&it->what))
        return std::string(refusal->why->what().name) + " " + std::string(to_string(refusal->run));
    return "answered";
}

} // namespace mulberryrudder::entry

#endif
