#ifndef MULBERRYRUDDER_ENTRY_CONTEXT_HPP
#define MULBERRYRUDDER_ENTRY_CONTEXT_HPP

#include <mulberryrudder/core/random.hpp>
#include <mulberryrudder/entry/effects.hpp>
#include <mulberryrudder/entry/inputs.hpp>
#include <mulberryrudder/kernel/counters.hpp>
#include <mulberryrudder/kernel/events.hpp>
#include <mulberryrudder/kernel/service_map.hpp>
#include <mulberryrudder/kernel/settings.hpp>
#include <mulberryrudder/messages/lease.hpp>

#include <functional>
#include <map>
#include <vector>

namespace mulberryrudder::entry
{

/// Who this instance is, from its settings.
struct identity
{
    instance_description self;
    boot_id boot;
    std::vector<instance_id> control;       ///< The control instances.
    std::map<domain_id, region_id> regions; ///< Of each failure domain that is known.
};

/// What a stage is made with. All of it outlives the stage.
struct stage_parts
{
    kernel::settings const& config;
    identity const& self;
    kernel::service_map& services;
};

/// What the core does for a stage that decides outside of its own turn.
class pipeline
{
public:
    virtual ~pipeline() = default;

    /// Continues a request that waits at a stage with the stage behind it; ignored
    /// if the request is gone or does not wait.
    virtual void resume(request_id id) = 0;

    /// Sends a waiting request back to the stage that is called `stage`.
    virtual void resume_from(request_id id, std::string_view stage) = 0;

    /// Ends a request, whatever state it is in; its attempts are cancelled.
    virtual void finish(request_id id, outcome what) = 0;

    /// Ends a request's time at `deadline`, if that is earlier than its own.
    virtual void limit_deadline(request_id id, instant deadline) = 0;

    /// Returns a live request, or null.
    virtual request* find(request_id id) = 0;

    /// Takes a request in that another instance forwarded; it starts at the stage
    /// called `stage`. Its end is told to all stages by finished().
    virtual void inject(request taken, std::string_view stage) = 0;

    /// Starts one more attempt of a request that already has one (a hedge).
    virtual void start_attempt(request_id id, chosen_target const& target) = 0;

    /// Cancels one running attempt.
    virtual void cancel_attempt(attempt_id id) = 0;

    /// Tells all stages that a lease was accepted.
    virtual void publish_lease(messages::lease_grant const& grant) = 0;

    /// Collects all stages' parts of a renewal.
    virtual void collect_report(messages::renew_request& out) = 0;

    /// Returns a number that this instance did not use before.
    virtual request_id next_request_id() = 0;
    virtual attempt_id next_attempt_id() = 0;

    /// Returns how many requests are unfinished.
    virtual std::size_t unfinished() const = 0;
};

/// What a stage may use while it decides.
struct context
{
    instant now;
    random_source& random;
    effects& out;
    kernel::counter_set& counters;
    kernel::event_sink& events;
    identity const& self;
    pipeline& flow;

    /// Sends a message to another instance.
    template <class T>
    void send(instance_id to, T message)
    {
        auto body = any_message::of(std::move(message));
        out.push_back(send_message{{.from = self.self.id, .to = to, .body = std::move(body)}});
    }
};

} // namespace mulberryrudder::entry

#endif
