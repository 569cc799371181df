#ifndef MULBERRYRUDDER_TESTS_ENTRY_SUPPORT_ENTRY_BENCH_HPP
#define MULBERRYRUDDER_TESTS_ENTRY_SUPPORT_ENTRY_BENCH_HPP

#include <mulberryrudder/entry/core.hpp>
#include <mulberryrudder/entry/fleet_view.hpp>
#include <mulberryrudder/entry/target_directory.hpp>

#include <string>

namespace mulberryrudder::entry
{

/// Stands for the lease stage: the test says what the lease holds.
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

/// Asks the fake choice to start one more attempt of a request.
struct hedge
{
    request_id id;
};

/// Stands for the target choice: sends each request to a target of its version.
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
        static target_view const some{};
        if (absent.contains(version))
            return {};
        return {&some};
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

    step admit(request& what, context&) override
    {
        if (held_back)
            return wait{};
        what.chosen = target_of(what);
        return proceed{};
    }

    static chosen_target target_of(request const& what)
    {
        return {.id = target_id("t-" + what.version.value()),
                .where = {"127.0.0.1", 1},
                .version = what.version,
                .most_connections = connections(1)};
    }

    /// Lets a held request go on (request_id), starts a hedge, or collects a report
    /// (pointer to a renewal).
    void received(envelope const& it, context& with) override
    {
        if (auto const* const report = it.body.get<messages::renew_request*>())
            with.flow.collect_report(**report);
        if (auto const* const more = it.body.get<hedge>())
            with.flow.start_attempt(more->id, target_of(*with.flow.find(more->id)));
        if (auto const* const id = it.body.get<request_id>())
            with.flow.resume_from(*id, "fake_choice");
    }

    /// Starts a repeatable request again, as a retry stage would.
    recovery recover(request& what, attempt const&, attempt_end const&, context&) override
    {
        if (retries && what.repeatable && what.attempts.size() < 2)
            return again{"fake_choice"};
        return proceed{};
    }

    std::set<version_id> absent; ///< Versions without a usable target.
    bool held_back = false;      ///< Requests wait here until they are resumed.
    bool retries = false;
};

/// One decision core under test, with a clock of its own.
class entry_bench
{
public:
    entry_bench() : entry_bench(kernel::settings::defaults()) {}
    explicit entry_bench(kernel::settings with, instance_description self = {},
                         boot_id boot = boot_id(1))
        : config_(std::move(with)), core_({.config = config_,
                                           .counters = counters,
                                           .events = events_,
                                           .self = {.self = std::move(self), .boot = boot},
                                           .seed = 1})
    {
    }

    fake_lease& lease() { return *core_.services().find<fake_lease>(); }
    fake_choice& choice() { return *core_.services().find<fake_choice>(); }
    core& decisions() { return core_; }

    effects handle(input const& what)
    {
        effects out;
        core_.handle(now, what, out);
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

/// Returns the first effect of a type, or null.
template <class T>
T const* first(effects const& from)
{
    for (auto const& it : from)
        if (auto const* const found = std::get_if<T>(&it))
            return found;
    return nullptr;
}

/// Returns what the caller was told: a refusal's name and verdict, `answered`, or nothing.
inline std::string told(effects const& from)
{
    auto const* const it = first<answer_caller>(from);
    if (it == nullptr)
        return {};
    if (auto const* const no = std::get_if<refused>(&it->what))
        return std::string(no->why->what().name) + " " + std::string(to_string(no->run));
    return "answered";
}

} // namespace mulberryrudder::entry

#endif
