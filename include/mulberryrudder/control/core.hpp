#ifndef MULBERRYRUDDER_CONTROL_CORE_HPP
#define MULBERRYRUDDER_CONTROL_CORE_HPP

#include <mulberryrudder/control/component.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace mulberryrudder::control
{

/// Makes the decisions of one control instance: inputs and times in, effects out.
/// It does no I/O and reads no clock.
///
/// Thread safety: one owner.
class core final : private log_observer
{
public:
    /// What a core is made of. All of it outlives the core.
    struct options
    {
        kernel::settings const& config;
        kernel::counter_set& counters;
        kernel::event_sink& events;
        identity self;
        std::uint64_t seed; ///< For the injected random source.
    };

    /// Returns what the core is told when a duty's ring holds this.
    static input to_input(input what) { return what; }
    static input to_input(envelope message) { return message_arrived{std::move(message)}; }

    explicit core(options with);
    ~core() override;

    /// Takes one input in and appends what is to be done to `out`. The first must
    /// be disk_recovered.
    /// Precondition: `now` is not before that of any earlier call.
    void handle(instant now, input const& what, effects& out);

    /// Lets time pass. Call it every tick period.
    void tick(instant now, effects& out);

    /// Returns an interface that a component provides, for tests.
    kernel::service_map const& services() const { return services_; }

private:
    void take(message_arrived const& it);
    void take(operator_asked const& it);
    void take(disk_recovered const& it);
    void take(disk_synced const& it);
    void take(disk_failed const& it);
    void take(disk_reopened const& it);
    void take(record_kept const& it);
    void take(stop_requested const& it);

    void publish_applied(log_entry const& it) override;
    void publish_leading() override;
    void publish_following() override;
    std::vector<any_message> collect_snapshot() override;
    void publish_snapshot(std::vector<any_message> const& parts) override;

    /// Completes a planned stop once all components have finished their work and the requests that
    /// had come by then are answered.
    void complete_stop();
    /// Returns whether a request waits for its answer that came at `cutoff` or before.
    bool has_open_request(instant cutoff) const;
    void flush(effects& out);

    identity self_;
    kernel::service_map services_;
    random_source random_;
    effects scratch_; ///< Collects the effects of the call that is being handled.
    context context_;
    std::vector<std::unique_ptr<component>> components_;
    bool has_recovered_ = false;                           ///< The contents of the disk are known.
    std::map<operator_request_id, instant> open_requests_; ///< When those without answer came.
    std::optional<instant> stop_limit_; ///< When a planned stop that has begun is completed anyway.
    std::optional<instant> finished_at_; ///< When the components had finished their work.
    std::optional<instant> answered_at_; ///< When the requests that had come by then were answered.
};

/// Answers an operator's request that no linked component knows.
struct unknown_request
{
};

} // namespace mulberryrudder::control

#endif
