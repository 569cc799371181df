#ifndef MULBERRYRUDDER_TESTS_ENTRY_ROUTING_SUPPORT_RIG_HPP
#define MULBERRYRUDDER_TESTS_ENTRY_ROUTING_SUPPORT_RIG_HPP

#include <mulberryrudder/entry/core.hpp>
#include <mulberryrudder/entry/target_directory.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mulberryrudder::entry
{

/// Returns the description of an entry instance on the loopback address.
instance_description instance_at(std::uint32_t id, std::string const& region,
                                 std::string const& domain);

/// Returns a live member with free slots.
messages::member member_of(instance_description const& where, std::int64_t free = 10);

/// Returns an announcement of a serving target of route `r` and version `v1`.
announcement target_at(std::string const& id, std::string const& domain, std::int64_t capacity);

/// Returns a configuration with the open route `r` and the given customers' rates.
std::shared_ptr<fleet_config const>
config_with(std::map<std::string, std::int64_t> const& requests_a_second = {});

/// One decision core on virtual time. Targets are played by the test.
class rig
{
public:
    struct options
    {
        instance_description self = instance_at(1, "marmara", "m1");
        std::uint64_t seed = 1;
        kernel::settings config = kernel::settings::defaults();
    };

    explicit rig(options with);
    rig() : rig(options{}) {}

    /// Lets `elapsed` pass and ticks once at its end; renews the last lease each second.
    void pass(span elapsed);

    /// Ends the renewals.
    void lose_control() { granted_.reset(); }

    /// Moves the clock on without a tick.
    void advance_to(instant when) { now_ = std::max(now_, when); }

    void tell(input const& what);
    void deliver(instance_id from, any_message body);

    /// Grants a lease for 4 s that names the members.
    void lease(std::vector<messages::member> const& members,
               std::shared_ptr<fleet_config const> config = config_with(),
               std::vector<messages::headroom_grant> headroom = {},
               std::vector<domain_id> adopted = {});

    /// Leases as the only entry instance and waits until its part of the slots counts.
    void settle();

    /// Lets a request for route `r` arrive.
    request_id ask(span time_left = seconds(10), std::string const& customer = "",
                   call_method method = call_method::get);

    void reply_to(attempt_id id);
    void fail(attempt_id id, attempt_failure cause, verdict run);

    /// Returns the effects of one type since the last call, and drops them.
    template <class T>
    std::vector<T> take()
    {
        std::vector<T> found;
        effects rest;
        for (auto& it : out_)
        {
            if (auto* const same = std::get_if<T>(&it))
                found.push_back(std::move(*same));
            else
                rest.push_back(std::move(it));
        }
        out_ = std::move(rest);
        return found;
    }

    /// Returns the messages of one type that were sent since the last call.
    template <class T>
    std::vector<std::pair<instance_id, T>> take_messages()
    {
        std::vector<std::pair<instance_id, T>> found;
        effects rest;
        for (auto& it : out_)
        {
            auto const* const sent = std::get_if<send_message>(&it);
            auto const* const body = sent ? sent->message.body.template get<T>() : nullptr;
            if (body)
                found.emplace_back(sent->message.to, *body);
            else
                rest.push_back(std::move(it));
        }
        out_ = std::move(rest);
        return found;
    }

    effects& out() { return out_; }
    instant now() const { return now_; }
    core& decisions() { return core_; }
    kernel::counter_set const& counters() const { return counters_; }
    std::uint64_t counter(std::string_view name) const;
    target_view const* target(std::string const& id) const;
    std::int64_t limit_of(std::string const& id) const;

private:
    kernel::settings config_;
    kernel::counter_set counters_;
    kernel::null_event_sink events_;
    core core_;
    instant now_{seconds(1000)};
    effects out_;
    std::uint64_t requests_ = 0;
    std::optional<messages::lease_grant> granted_;
    instant renew_at_;
};

/// Returns the refusal's name, or "answered".
std::string text_of(outcome const& what);

} // namespace mulberryrudder::entry

#endif
