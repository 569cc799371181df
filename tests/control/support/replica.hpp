#ifndef MULBERRYRUDDER_TESTS_CONTROL_SUPPORT_REPLICA_HPP
#define MULBERRYRUDDER_TESTS_CONTROL_SUPPORT_REPLICA_HPP

#include "fake_log.hpp"

#include <mulberryrudder/control/core.hpp>
#include <mulberryrudder/control/fleet_state_view.hpp>
#include <mulberryrudder/core/invariant.hpp>

#include <algorithm>
#include <map>
#include <stdexcept>
#include <string>
#include <typeindex>
#include <vector>

namespace mulberryrudder::control::testing
{

/// Records the names and fields of all events as one text, one event per line.
class text_event_sink final : public kernel::event_sink
{
public:
    void record(kernel::event_kind const& kind, std::vector<kernel::event_field> fields) override
    {
        text += std::string(kind.what().name);
        for (auto const& it : fields)
            text += " " + std::string(it.name) + "=" + it.value;
        text += "\n";
    }

    std::string text;
};

/// A decision core with a fake log in virtual time.
class replica
{
public:
    explicit replica(instance_id id = instance_id(1),
                     kernel::settings config = kernel::settings::defaults())
        : config_(std::move(config)),
          core_({.config = config_,
                 .counters = counters_,
                 .events = events_,
                 .self = {.self = {.id = id}, .boot = boot_id(1), .initial_voters = {id}},
                 .seed = 1})
    {
        log().known_leader = id;
    }

    fake_log& log() { return core_.services().require<fake_log>(); }
    /// Returns a service that one of the linked components provides.
    template <class Interface>
    Interface& service()
    {
        return core_.services().require<Interface>();
    }
    fleet_state_view& state() { return core_.services().require<fleet_state_view>(); }

    /// Sends an operator's request; returns its id.
    template <class T>
    operator_request_id ask(T body)
    {
        operator_request_id const id(++last_id_);
        core_.handle(now_, operator_asked{id, any_message::of(std::move(body))}, effects_);
        collect();
        return id;
    }

    /// Delivers a message of another instance.
    template <class T>
    void receive(instance_id sender, T message)
    {
        core_.handle(now_,
                     message_arrived{
                         {.from = sender, .to = {}, .body = any_message::of(std::move(message))}},
                     effects_);
        collect();
    }

    /// Tells the core that its disk is blank, as it is told first in a process.
    void recover()
    {
        core_.handle(now_, disk_recovered{}, effects_);
        collect();
    }

    /// Requests a planned stop.
    void request_stop()
    {
        core_.handle(now_, stop_requested{}, effects_);
        collect();
    }

    /// Returns the number of messages of a type that were sent.
    template <class T>
    std::size_t sent() const
    {
        return static_cast<std::size_t>(std::count(sent_.begin(), sent_.end(), typeid(T)));
    }

    /// Returns whether a planned stop is complete.
    bool has_stopped() const { return has_stopped_; }

    /// Advances the time and runs one tick of the core, in which the fake log applies its orders.
    void tick(span elapsed = milliseconds(10))
    {
        now_ += elapsed;
        core_.tick(now_, effects_);
        collect();
    }

    /// Sends a request, commits the entries that it proposes, and returns the answer.
    template <class Answer, class T>
    Answer commit(T body)
    {
        auto const id = ask(std::move(body));
        log().commit_all();
        tick();
        return answer<Answer>(id);
    }

    /// Like commit() for a request whose type is known at run time only.
    any_message commit_any(any_message body)
    {
        operator_request_id const id(++last_id_);
        core_.handle(now_, operator_asked{id, std::move(body)}, effects_);
        log().commit_all();
        tick();
        return answers_.at(id);
    }

    instant now() const { return now_; }
    std::string const& events() const { return events_.text; }

    bool has_answer(operator_request_id id) const { return answers_.contains(id); }

    /// Returns the type of the answer to a request, or `void` if there is none.
    std::type_index answer_type(operator_request_id id) const
    {
        auto const it = answers_.find(id);
        return it == answers_.end() ? std::type_index(typeid(void)) : it->second.type();
    }

    /// Returns the answer to a request; throws std::runtime_error if there is none of that type.
    template <class Answer>
    Answer answer(operator_request_id id) const
    {
        auto const it = answers_.find(id);
        if (it == answers_.end() || it->second.get<Answer>() == nullptr)
            throw std::runtime_error(std::string("no answer of type ") + typeid(Answer).name());
        return *it->second.get<Answer>();
    }

private:
    void collect()
    {
        for (auto const& it : effects_)
        {
            if (auto const* const message = std::get_if<send_message>(&it))
                sent_.emplace_back(message->message.body.type());
            has_stopped_ = has_stopped_ || std::holds_alternative<stop_completed>(it);
            if (auto const* const answer = std::get_if<answer_operator>(&it))
            {
                check_invariant(!answers_.contains(answer->id), "one answer per request");
                answers_.emplace(answer->id, answer->body);
            }
        }
        effects_.clear();
    }

    kernel::settings config_;
    kernel::counter_set counters_;
    text_event_sink events_;
    core core_;
    instant now_;
    effects effects_;
    std::uint64_t last_id_ = 0;
    bool has_stopped_ = false;
    std::vector<std::type_index> sent_; ///< Types of all messages that were sent.
    std::map<operator_request_id, any_message> answers_;
};

} // namespace mulberryrudder::control::testing

#endif
