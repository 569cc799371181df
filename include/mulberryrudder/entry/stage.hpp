#ifndef MULBERRYRUDDER_ENTRY_STAGE_HPP
#define MULBERRYRUDDER_ENTRY_STAGE_HPP

#include <mulberryrudder/entry/context.hpp>
#include <mulberryrudder/kernel/registry.hpp>

#include <string_view>
#include <variant>

namespace mulberryrudder::entry
{

/// The request goes on to the next stage.
struct proceed
{
};

/// The request stays; the stage will resume or finish it, or its deadline ends it.
struct wait
{
};

/// The request ends here.
struct stop
{
    outcome what;
};

/// What a stage decides about a request that reached it.
using step = std::variant<proceed, wait, stop>;

/// Returns the step that refuses a request which has not run.
inline step refuse(refusal_kind const& why, std::optional<milliseconds> retry_after = {})
{
    return stop{refused{.why = &why, .run = verdict::not_run, .retry_after = retry_after}};
}

/// The request starts again at the stage called `from`.
struct again
{
    std::string_view from;
};

/// What a stage decides about a request whose last attempt failed; `proceed`
/// leaves the decision to the next stage, and in the end the request is refused.
using recovery = std::variant<proceed, again, wait, stop>;

/// A target replies with it if the request's time was too short, such as for cold work.
inline constexpr std::uint16_t out_of_time_status = 504;

/// How an attempt ended.
struct attempt_end
{
    std::optional<attempt_failure> failed; ///< Nothing if a whole reply came.
    verdict run = verdict::ran;
    shared_reply content;
    std::optional<load_report> load;
    target_wishes wishes;
};

/// One rule of the decision core. Stages are plug-ins: each registers itself with
/// its place in the order, and knows other stages only by interfaces in the
/// service map. A stage does no I/O and reads no clock.
///
/// Thread safety: all calls come from the decision core's thread.
class stage
{
public:
    virtual ~stage() = default;

    /// Decides about a request that has reached this stage. It may be called again
    /// for the same request after a failed attempt.
    virtual step admit(request&, context&) { return proceed{}; }

    /// Confirms, right before the first byte goes to a target, that the request may
    /// still run. Anything but `proceed` ends the request as not run.
    virtual step recheck(request const&, context&) { return proceed{}; }

    /// Takes note of an attempt that is being sent.
    virtual void attempt_started(request const&, attempt const&, context&) {}

    /// Takes note of an attempt's end, and gives back what was held for it.
    virtual void attempt_ended(request const&, attempt const&, attempt_end const&, context&) {}

    /// Decides what follows after the last running attempt of a request failed.
    virtual recovery recover(request&, attempt const&, attempt_end const&, context&)
    {
        return proceed{};
    }

    /// Takes note of a request's end; called once for each request.
    virtual void finished(request const&, outcome const&, context&) {}

    /// Answers a look-up; the first stage that returns true has answered it.
    virtual bool look_up(lookup_arrived const&, context&) { return false; }

    /// Answers an operator's question; the first stage that returns true has answered it.
    virtual bool asked(question_arrived const&, context&) { return false; }

    virtual void announced(announcement const&, context&) {}
    virtual void probed(probe_ended const&, context&) {}

    /// Takes a message of another instance; each stage picks out its own types.
    virtual void received(envelope const&, context&) {}

    /// A lease was accepted.
    virtual void leased(messages::lease_grant const&, context&) {}

    /// Adds this stage's part to a renewal.
    virtual void report(messages::renew_request&, context&) {}

    /// A planned stop begins.
    virtual void stopping(context&) {}

    /// Time has passed; called at least every tick period.
    virtual void tick(context&) {}
};

using stage_registry = kernel::registry<stage, stage_parts const&>;

/// Enters a stage under its name and place in the order.
template <class Stage>
using stage_registrar = kernel::registrar<stage, Stage, stage_parts const&>;

/// Places of the stages in the order in which a request meets them.
namespace stage_order
{
inline constexpr int trace = 50;
inline constexpr int lease = 100;
inline constexpr int drain = 150;
inline constexpr int keys = 200;
inline constexpr int connection_order = 250; ///< Knows whether a request may run twice.
inline constexpr int quarantine = 300;
inline constexpr int claims = 400;
inline constexpr int rate = 500;
inline constexpr int versions = 600;
inline constexpr int targets = 650; ///< The target registry, which passes requests on.
inline constexpr int regions = 700;
inline constexpr int fair_queue = 800;
inline constexpr int choice = 900;
inline constexpr int retries = 1000;
inline constexpr int lookup = 1100;
// Stages of fleets that are steered by plans take the places of those above that
// do the same work for fleets with release notes.
inline constexpr int roster = lease;
inline constexpr int plan_routes = keys;
inline constexpr int quota = rate;
inline constexpr int placement = choice;
inline constexpr int repeats = retries;
} // namespace stage_order

/// Calls the member function for the type of a message, by a table of pointers.
///
///     static constexpr std::array table{on<claim_request>(&claims::claim_asked)};
template <class Stage>
struct message_handler
{
    std::type_index type;
    void (*call)(Stage&, envelope const&, context&);
};

namespace detail
{
template <class Member>
struct handler_traits;
template <class S, class T>
struct handler_traits<void (S::*)(instance_id, T const&, context&)>
{
    using stage_type = S;
    using message_type = T;
};
} // namespace detail

/// Makes the table entry for a member `void f(instance_id from, T const&, context&)`.
template <auto Member>
auto on_message()
{
    using traits = detail::handler_traits<decltype(Member)>;
    using S = typename traits::stage_type;
    using T = typename traits::message_type;
    return message_handler<S>{std::type_index(typeid(T)),
                              [](S& self, envelope const& it, context& with)
                              { (self.*Member)(it.from, *it.body.get<T>(), with); }};
}

/// Passes a message to the table's member for its type; ignores other types.
template <class Stage, class Table>
void dispatch(Stage& self, Table const& table, envelope const& it, context& with)
{
    for (auto const& handler : table)
        if (handler.type == it.body.type())
            return handler.call(self, it, with);
}

} // namespace mulberryrudder::entry

#endif
