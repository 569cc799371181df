#ifndef MULBERRYRUDDER_CONTROL_COMPONENT_HPP
#define MULBERRYRUDDER_CONTROL_COMPONENT_HPP

#include <mulberryrudder/control/inputs.hpp>
#include <mulberryrudder/core/fleet_config.hpp>
#include <mulberryrudder/core/random.hpp>
#include <mulberryrudder/core/time.hpp>
#include <mulberryrudder/kernel/counters.hpp>
#include <mulberryrudder/kernel/events.hpp>
#include <mulberryrudder/kernel/registry.hpp>
#include <mulberryrudder/kernel/service_map.hpp>
#include <mulberryrudder/kernel/settings.hpp>

#include <map>
#include <typeindex>
#include <vector>

namespace mulberryrudder::control
{

/// Who this control instance is, from its settings.
struct identity
{
    instance_description self;
    boot_id boot;
    std::vector<instance_id> initial_voters; ///< The control group when it was founded.
    /// Where control instances that the settings name by address only are reached.
    std::map<instance_id, endpoint> contacts;
    endpoint operators;    ///< Where this instance takes operators' requests, as others see it.
    bool may_found = true; ///< Initial voters with blank disks found a group.
};

/// What a component is made with. All of it outlives the component.
struct component_parts
{
    kernel::settings const& config;
    identity const& self;
    kernel::service_map& services;
};

/// What the core does for the replicated log: it tells the other components.
class log_observer
{
public:
    virtual ~log_observer() = default;

    /// Tells all components that an entry was committed.
    virtual void publish_applied(log_entry const& it) = 0;
    /// Tells all components that this replica may act as leader from now on.
    virtual void publish_leading() = 0;
    /// Tells all components that it no longer leads.
    virtual void publish_following() = 0;
    /// Collects each component's part of a snapshot.
    virtual std::vector<any_message> collect_snapshot() = 0;
    /// Replaces each component's state by its part of a snapshot.
    virtual void publish_snapshot(std::vector<any_message> const& parts) = 0;
};

/// What a component may use while it decides.
struct context
{
    instant now;
    random_source& random;
    effects& out;
    kernel::counter_set& counters;
    kernel::event_sink& events;
    identity const& self;
    log_observer& observers;

    /// Sends a message to another instance.
    template <class T>
    void send(instance_id to, T message)
    {
        auto body = any_message::of(std::move(message));
        out.emplace_back(send_message{{.from = self.self.id, .to = to, .body = std::move(body)}});
    }

    /// Answers an operator's request with a struct that the front end can encode.
    template <class T>
    void answer(operator_request_id id, T body)
    {
        out.emplace_back(answer_operator{id, any_message::of(std::move(body))});
    }
};

/// One part of the control's decisions: the replicated log, the release notes,
/// the leases, the moves. Components are plug-ins that register themselves; they
/// do no I/O and read no clock.
///
/// applied(), save() and load() must depend on the log alone, never on `now`, so
/// that every replica comes to the same state.
///
/// Thread safety: all calls come from the decision core's thread.
class component
{
public:
    virtual ~component() = default;

    /// Takes what the disk held; each component picks out its own part.
    virtual void recovered(disk_recovered const&, context&) {}
    virtual void synced(disk_synced const&, context&) {}
    virtual void disk_lost(disk_failed const&, context&) {}
    virtual void reopened(disk_reopened const&, context&) {}
    virtual void kept(record_kept const&, context&) {}

    /// Takes a message; each component picks out its own types.
    virtual void received(envelope const&, context&) {}

    /// Takes an operator's request; returns whether it was this component's.
    virtual bool asked(operator_asked const&, context&) { return false; }

    /// A command was committed.
    virtual void applied(log_entry const&, context&) {}

    /// This replica may act as leader from now on; the state is up to date.
    virtual void leading(context&) {}
    /// This replica no longer leads.
    virtual void following(context&) {}

    /// Returns this component's part of a snapshot; an empty message for none.
    virtual any_message save() const { return {}; }
    /// Takes its part out of a snapshot's parts.
    virtual void load(std::vector<any_message> const&, context&) {}

    /// A planned stop begins.
    virtual void stopping(context&) {}
    /// Returns whether this component has nothing left to do before the process ends as planned.
    /// Called after stopping() only. The process ends after a limited time in any case.
    virtual bool may_stop(instant) const { return true; }
    /// Time has passed; called at least every tick period.
    virtual void tick(context&) {}
};

using component_registry = kernel::registry<component, component_parts const&>;

/// Enters a component under its name and place in the order.
template <class Component>
using component_registrar = kernel::registrar<component, Component, component_parts const&>;

/// Places of the components; each is told of a commit before the next.
namespace component_order
{
inline constexpr int replica = 100;
inline constexpr int membership = 150;
inline constexpr int fleet_state = 200;
inline constexpr int steering = 250;
inline constexpr int release_notes = 300;
inline constexpr int moves = 400;
inline constexpr int rollouts = 450;
inline constexpr int ledger = 500;
inline constexpr int leases = 600;
inline constexpr int roster = 650;
inline constexpr int voters = 670;
inline constexpr int quota = 680;
inline constexpr int queries = 700;
} // namespace component_order

namespace detail
{
template <class Member>
struct handler_traits;
template <class C, class From, class T>
struct handler_traits<void (C::*)(From, T const&, context&)>
{
    using component_type = C;
    using from_type = From;
    using message_type = T;
};
} // namespace detail

/// One row of a component's table of member pointers, by message type.
template <class Component, class From>
struct handler
{
    std::type_index type;
    void (*call)(Component&, From, any_message const&, context&);
};

/// Makes a row for a member `void f(From, T const&, context&)`, where From is
/// instance_id for messages and operator_request_id for operators' requests.
template <auto Member>
auto on()
{
    using traits = detail::handler_traits<decltype(Member)>;
    using C = typename traits::component_type;
    using From = typename traits::from_type;
    using T = typename traits::message_type;
    return handler<C, From>{std::type_index(typeid(T)),
                            [](C& self, From from, any_message const& it, context& with)
                            { (self.*Member)(from, *it.get<T>(), with); }};
}

/// Passes a message to the table's member for its type; returns whether there was one.
template <class Component, class Table, class From>
bool dispatch(Component& self, Table const& table, From from, any_message const& it, context& with)
{
    for (auto const& row : table)
    {
        if (row.type != it.type())
            continue;
        row.call(self, from, it, with);
        return true;
    }
    return false;
}

} // namespace mulberryrudder::control

#endif
