#include "pool.hpp"

#include <mulberryrudder/core/repeat_filter.hpp>
#include <mulberryrudder/kernel/asio_duty.hpp>
#include <mulberryrudder/kernel/outbox.hpp>
#include <mulberryrudder/peer/orders.hpp>

#include <unordered_map>
#include <utility>

namespace mulberryrudder::target_http
{

namespace
{

/// Orders that are carried out before the sockets have their turn.
constexpr int batch_size = 256;
constexpr milliseconds sweep_period{500};

kernel::counter_kind const connections_opened("targets.exchanges",
                                              "Requests and probes sent over connections.");
kernel::counter_kind const
    pool_exhausted("targets.pool_exhausted",
                   "Attempts that found all connections to their target in use.");
kernel::counter_kind const
    replies_malformed("targets.replies_malformed",
                      "Replies that were cut, crossed, too large or not HTTP.");

kernel::counter_kind const
    values_refused("targets.values_refused",
                   "Values in fields of replies that could not be read or were out of bounds.");
kernel::event_kind const value_refused{
    {.number = 330,
     .name = "targets.value_refused",
     .level = kernel::severity::warning,
     .meaning = "A field of a target's reply holds a value that cannot be read or is out of "
                "bounds. The reply counts without it, and a pause that is too long counts as the "
                "longest one. At most once in 10 s for each target.",
     .action = "Examine the software of that target."}};

/// Least time between two events about values of one target.
constexpr seconds value_event_interval{10};
/// Limit of the targets about which events are held back; exceeds the number of targets whose
/// replies one entry instance reads in that time.
constexpr std::size_t max_value_senders = 4096;
/// Characters of a refused value that are logged.
constexpr std::size_t max_logged_value = 64;

/// Speaks HTTP with targets: sends attempts and probes, checks whole replies.
class target_duty final : public kernel::asio_duty
{
public:
    explicit target_duty(kernel::duty_parts const& given)
        : asio_duty(duties::target_io, given), config_(given.config.get(target_section)),
          orders_(given.links.link<entry::effect>(duties::decision, name(), duty_ring_capacity)),
          to_decision_(
              given.links.link<entry::input>(name(), duties::decision, duty_ring_capacity)),
          pool_(loop(), config_, unread_)
    {
    }

protected:
    void started() override
    {
        run_every(sweep_period, [this] { pool_.expire(monotonic_now()); });
    }

    void take_messages() override
    {
        entry::effect it;
        for (int n = 0; n != batch_size && orders_.try_pop(it); ++n)
        {
            if (auto const* const attempt = std::get_if<entry::send_attempt>(&it))
                send(*attempt);
            else if (auto const* const given_up = std::get_if<entry::cancel_attempt>(&it))
                cancel(given_up->id);
            else if (auto const* const probed = std::get_if<entry::probe_target>(&it))
                probe(*probed);
            else if (auto const* const gone = std::get_if<entry::forget_target>(&it))
                pool_.forget(gone->id);
        }
    }

private:
    void send(entry::send_attempt const& what)
    {
        auto const now = monotonic_now();
        // The ring may have held the order past the deadline; then nothing is sent.
        auto const way = now < what.deadline
                             ? pool_.acquire(what.target, what.where, what.most_connections)
                             : nullptr;
        if (!way)
        {
            parts().counters.add(pool_exhausted);
            return report_failure(what.id,
                                  {entry::attempt_failure::connect_refused, verdict::not_run});
        }
        parts().counters.add(connections_opened);
        running_.emplace(what.id, way);
        way->exchange(encode(what, now), what.deadline,
                      [this, what, way](exchange_end how)
                      {
                          running_.erase(what.id);
                          finish(what, std::move(how), *way);
                          pool_.release(what.target, way);
                      });
    }

    void finish(entry::send_attempt const& what, exchange_end how, connection& way)
    {
        if (auto const* const failed = std::get_if<exchange_failed>(&how))
            return report_failure(what.id, *failed);
        auto& reply = std::get<http_reply>(how);
        if (!is_reply_to(reply, what))
        {
            way.close();
            return report_failure(what.id,
                                  {entry::attempt_failure::malformed, verdict::may_have_run});
        }
        failures failed;
        auto const load = read_load(reply, failed);
        auto const wishes = read_wishes(reply, failed);
        record_refused_values(what.target, reply, failed);
        if (auto const cause = turned_away(reply))
            return tell(entry::attempt_failed{.id = what.id,
                                              .cause = *cause,
                                              .run = verdict::not_run,
                                              .load = load,
                                              .wishes = wishes});
        tell(entry::attempt_replied{
            .id = what.id, .content = decode(std::move(reply)), .load = load, .wishes = wishes});
    }

    void record_refused_values(target_id const& from, http_reply const& reply,
                               failures const& failed)
    {
        for (auto const& it : failed)
        {
            parts().counters.add(values_refused);
            if (!value_events_.select(from.value(), monotonic_now()))
                continue;
            auto const value = std::string_view(reply[it.place]).substr(0, max_logged_value);
            events().record(value_refused, {{"target", from.value()},
                                            {"field", it.place},
                                            {"value", std::string(value)},
                                            {"expected", it.expected}});
        }
    }

    void report_failure(attempt_id id, exchange_failed const& how)
    {
        if (how.cause == entry::attempt_failure::malformed)
            parts().counters.add(replies_malformed);
        tell(entry::attempt_failed{.id = id, .cause = how.cause, .run = how.run});
    }

    /// Tells the decision duty; while its ring is full, tries again soon.
    void tell(entry::input what)
    {
        to_decision_.post(std::move(what));
        flush_soon(to_decision_);
    }

    void cancel(attempt_id id)
    {
        if (auto const it = running_.find(id); it != running_.end())
            it->second->cancel();
    }

    void probe(entry::probe_target const& what)
    {
        parts().counters.add(connections_opened);
        // A probe has a connection of its own: it must tell whether new ones are taken.
        auto const way = std::make_shared<connection>(loop(), what.where, config_, unread_);
        way->exchange(encode(what), what.deadline,
                      [this, id = what.id, way](exchange_end how)
                      {
                          entry::probe_ended ended{.id = id};
                          if (auto const* const reply = std::get_if<http_reply>(&how))
                          {
                              ended.healthy = reply->result_int() == 200;
                              failures failed;
                              ended.load = read_load(*reply, failed);
                              record_refused_values(id, *reply, failed);
                          }
                          tell(std::move(ended));
                          way->close();
                      });
    }

    target_settings config_;
    kernel::ring<entry::effect>& orders_;
    /// Bounded by the attempts and probes that the decisions have running.
    kernel::outbox<entry::input> to_decision_;
    kernel::byte_budget unread_{config_.most_unread};
    pool pool_;
    repeat_filter value_events_{value_event_interval, max_value_senders};
    std::unordered_map<attempt_id, std::shared_ptr<connection>> running_;
};

kernel::duty_registrar<target_duty> const entered{"target_io", duty_order::target_io};

} // namespace

} // namespace mulberryrudder::target_http
