#include "session.hpp"

#include <mulberryrudder/entry/numbering.hpp>
#include <mulberryrudder/fleet/instance_settings.hpp>
#include <mulberryrudder/kernel/asio_duty.hpp>
#include <mulberryrudder/kernel/descriptors.hpp>
#include <mulberryrudder/peer/orders.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <list>
#include <set>
#include <unordered_map>
#include <utility>

namespace mulberryrudder::caller_http
{

namespace
{

using boost::asio::ip::tcp;

/// How long accepting waits after an error, such as too many open files.
constexpr milliseconds accept_pause{100};
/// How often a planned stop looks whether callers have taken their answers.
constexpr milliseconds answer_check_interval{20};
/// Answers that are written before the sockets have their turn.
constexpr int batch_size = 256;

entry::refusal_kind const overloaded({.name = "instance_overloaded",
                                      .counter_name = "refused.instance_overloaded",
                                      .status = 503,
                                      .meaning = "The entry instance is behind with its work."});
kernel::counter_kind const bad_requests("refused.bad_request",
                                        "Requests that could not be read or were out of limits.");
kernel::counter_kind const connections_opened("callers.connections_opened",
                                              "Connections taken from callers and targets.");
kernel::counter_kind const connections_refused("callers.connections_refused",
                                               "Connections refused because too many were open.");
kernel::counter_kind const
    accepts_failed("callers.accepts_failed",
                   "Attempts to take a connection that failed, such as for lack of descriptors.");
kernel::event_kind const stopped_event{
    {.number = 18,
     .name = "callers.stopped",
     .level = kernel::severity::info,
     .meaning = "A planned stop ends the process; `unfinished` callers have not taken the whole of "
                "their answers.",
     .action = "If there are any, allow stops more time (callers/stop_limit)."}};
kernel::event_kind const left_event{
    {.number = 16,
     .name = "caller.left",
     .level = kernel::severity::info,
     .meaning =
         "A caller closed its connection, or took no answer for the limit, before the answer "
         "to its request `id`.",
     .action = "If many leave, compare their waiting times with the callers' deadlines."}};
kernel::event_kind const unwatched_event{
    {.number = 17,
     .name = "caller.unwatched",
     .level = kernel::severity::info,
     .meaning = "A caller sent more ahead of the answer to its request `id` than is read. If it "
                "leaves, this is seen once its machine has sent all of that.",
     .action = "None."}};
kernel::counter_kind const lookups("lookups.answered", "Look-ups that were answered.");

/// Speaks HTTP with callers and targets: bytes in, inputs out, and back.
class caller_duty final : public kernel::asio_duty, private session_owner
{
public:
    explicit caller_duty(kernel::duty_parts const& given)
        : asio_duty(duties::caller_io, given), config_(given.config.get(caller_section)),
          instance_(given.config.get(fleet::instance_section)),
          to_decision_(
              given.links.link<entry::input>(name(), duties::decision, duty_ring_capacity)),
          answers_(given.links.link<entry::effect>(duties::decision, name(), duty_ring_capacity)),
          numbers_(fleet::describe(instance_).id, fleet::new_boot_id(),
                   entry::number_space::front_end),
          acceptor_(loop())
    {
    }

    void connect() override
    {
        bind(acceptor_, instance_.caller);
        for (auto const& it : config_.operators)
        {
            auto& made = operator_acceptors_.emplace_back(loop());
            bind(made, it);
            made.listen();
        }
    }

    void prepare_stop() override
    {
        boost::asio::post(loop(), [this] { stopping_ = true; });
    }

protected:
    void started() override
    {
        run_once(config_.start_limit, [this] { listen(); });
        for (auto& it : operator_acceptors_)
            accept(it, true);
    }

    void take_messages() override
    {
        entry::effect it;
        for (int n = 0; n != batch_size && answers_.try_pop(it); ++n)
        {
            if (auto const* const answer = std::get_if<entry::answer_caller>(&it))
                pass_on(answer->id, encode(answer->id, answer->what));
            else if (auto const* const found = std::get_if<entry::answer_lookup>(&it))
                pass_on(found->id, encode(*found));
            else if (auto const* const told = std::get_if<entry::answer_question>(&it))
                pass_on(told->id, encode(*told));
            else if (auto const* const changed = std::get_if<entry::limit_callers>(&it))
                limits_ = narrowed(config_, changed->limits);
            else if (std::holds_alternative<entry::accept_callers>(it))
            {
                ready_ = true;
                listen();
            }
            else if (std::holds_alternative<entry::close_idle_callers>(it))
                close_idle();
            else if (std::holds_alternative<entry::stop_completed>(it))
            {
                stop_until_ = monotonic_now() + config_.stop_limit;
                end_when_answers_are_taken();
            }
        }
    }

private:
    /// Until the first lease a connection would only meet refusals, so it is left to
    /// the caller's next instance; the limit lets operators look in all the same.
    void listen()
    {
        if (std::exchange(listening_, true))
            return;
        acceptor_.listen();
        accept(acceptor_, false);
    }

    static void bind(tcp::acceptor& it, endpoint const& to)
    {
        tcp::endpoint const where(boost::asio::ip::make_address(to.address), to.port);
        it.open(where.protocol());
        it.set_option(tcp::acceptor::reuse_address(true));
        it.bind(where);
    }

    void accept(tcp::acceptor& from, bool for_operators)
    {
        from.async_accept(
            [this, &from, for_operators](boost::system::error_code ec, tcp::socket socket)
            {
                if (!from.is_open())
                    return;
                if (ec)
                {
                    parts().counters.add(accepts_failed);
                    return run_once(accept_pause,
                                    [this, &from, for_operators] { accept(from, for_operators); });
                }
                open(std::move(socket), for_operators);
                accept(from, for_operators);
            });
    }

    void open(tcp::socket socket, bool for_operators)
    {
        if (sessions_.size() >= static_cast<std::size_t>(most_connections_.count()))
            return parts().counters.add(connections_refused);
        parts().counters.add(connections_opened);
        session_owner& self = *this;
        auto const it = std::make_shared<session>(
            std::move(socket), self, connection_id(++connections_), monotonic_now(), for_operators);
        sessions_.insert(it);
        it->start();
    }

    request_id next_id() override { return request_id(numbers_.next()); }

    void arrived(std::shared_ptr<session> const& from, request_id id, http_request&& what,
                 instant first_byte) override
    {
        decoding const with{.config = config_,
                            .id = id,
                            .client = from->client(),
                            .first_byte = first_byte,
                            .connection = from->id(),
                            .for_operators = from->for_operators()};
        auto read = decode(std::move(what), with);
        std::visit([&](auto& it) { take(from, id, it); }, read);
    }

    void take(std::shared_ptr<session> const& from, request_id id, entry::request_arrived& it)
    {
        submit(from, id, std::move(it));
    }
    void take(std::shared_ptr<session> const& from, request_id id, entry::lookup_arrived& it)
    {
        parts().counters.add(lookups);
        submit(from, id, std::move(it));
    }
    void take(std::shared_ptr<session> const& from, request_id id, entry::question_arrived& it)
    {
        submit(from, id, std::move(it));
    }
    void take(std::shared_ptr<session> const& from, request_id id, entry::announcement& it)
    {
        bool const taken = to_decision_.try_push(std::move(it));
        from->answer(id, taken ? encode_status(204) : refuse_overloaded());
    }
    void take(std::shared_ptr<session> const& from, request_id id, counters_asked&)
    {
        from->answer(id, encode(parts().counters));
    }
    void take(std::shared_ptr<session> const& from, request_id id, health_asked&)
    {
        from->answer(id, encode_status(closing_ ? 503 : 200));
    }
    void take(std::shared_ptr<session> const& from, request_id id, readiness_asked&)
    {
        from->answer(id, encode_status(ready_ && !stopping_ ? 200 : 503));
    }
    void take(std::shared_ptr<session> const& from, request_id id, bad_request& it)
    {
        parts().counters.add(bad_requests);
        from->answer(id, encode(it));
    }

    template <class T>
    void submit(std::shared_ptr<session> const& from, request_id id, T&& what)
    {
        // A caller that left before its request was read waits for nothing.
        if (!from->read_ahead())
            return from->caller_left();
        if (!to_decision_.try_push(entry::input(std::forward<T>(what))))
            return from->answer(id, refuse_overloaded());
        unanswered_.emplace(id, from);
        from->expect_answer(id);
    }

    void pass_on(request_id id, http_response&& what)
    {
        auto const it = unanswered_.find(id);
        if (it == unanswered_.end())
            return;
        auto const to = std::move(it->second);
        unanswered_.erase(it);
        to->answer(id, std::move(what));
    }

    void close_idle()
    {
        closing_ = true;
        // A caller that cannot connect turns to another instance at once; one that is
        // taken now could not be answered before the process ends.
        boost::system::error_code ec;
        acceptor_.close(ec);
        auto const all = sessions_;
        for (auto const& it : all)
            it->close_if_idle();
    }

    /// Ends the process once callers have taken their answers, or at the stop's deadline.
    void end_when_answers_are_taken()
    {
        auto const waiting = std::count_if(sessions_.begin(), sessions_.end(),
                                           [](std::shared_ptr<session> const& it)
                                           { return it->has_answer_under_way(); });
        if (waiting != 0 && monotonic_now() < stop_until_)
            return run_once(answer_check_interval, [this] { end_when_answers_are_taken(); });
        events().record(stopped_event, {{"unfinished", std::to_string(waiting)}});
        parts().end_process(0);
    }

    void caller_gone(request_id id) override
    {
        if (unanswered_.erase(id) == 0)
            return;
        events().record(left_event, {{"id", std::to_string(id.value())}});
        departures_.post(entry::caller_gone{id});
        flush_soon(departures_);
    }
    void unwatched(request_id id) override
    {
        events().record(unwatched_event, {{"id", std::to_string(id.value())}});
    }
    void ended(std::shared_ptr<session> const& it) override { sessions_.erase(it); }
    http_response refuse_overloaded() override
    {
        parts().counters.add(overloaded.counter());
        return encode_refusal(overloaded);
    }
    kernel::byte_budget& unanswered_bytes() override { return unanswered_bytes_; }
    kernel::byte_budget& waiting_bytes() override { return waiting_bytes_; }
    caller_settings const& config() const override { return config_; }
    caller_limits const& limits() const override { return limits_; }
    bool closing() const override { return closing_ || stopping_; }

    caller_settings config_;
    caller_limits limits_ = narrowed(config_, {});
    connections most_connections_ = affordable(config_, kernel::descriptor_limit());
    fleet::instance_settings instance_;
    kernel::ring<entry::input>& to_decision_;
    /// Bounded by the requests that are unanswered.
    kernel::outbox<entry::input> departures_{to_decision_};
    kernel::ring<entry::effect>& answers_;
    entry::numbering numbers_;
    tcp::acceptor acceptor_;
    std::list<tcp::acceptor> operator_acceptors_; ///< Handlers refer to them.
    kernel::byte_budget unanswered_bytes_{config_.most_unanswered};
    kernel::byte_budget waiting_bytes_{config_.most_unanswered};
    std::uint64_t connections_ = 0; ///< The number of the newest connection.
    std::set<std::shared_ptr<session>> sessions_;
    std::unordered_map<request_id, std::shared_ptr<session>> unanswered_;
    bool listening_ = false;
    bool closing_ = false;
    bool ready_ = false;    ///< The decisions take callers' requests.
    bool stopping_ = false; ///< A planned stop began.
    instant stop_until_;    ///< Deadline of callers to take their answers, once it is set.
};

kernel::duty_registrar<caller_duty> const entered{"caller_io", duty_order::caller_io};

} // namespace

} // namespace mulberryrudder::caller_http
