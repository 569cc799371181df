#include "session.hpp"

#include <mulberryrudder/control/inputs.hpp>
#include <mulberryrudder/control/operator_answers.hpp>
#include <mulberryrudder/control_io/operator_codec.hpp>
#include <mulberryrudder/fleet/instance_settings.hpp>
#include <mulberryrudder/kernel/asio_duty.hpp>
#include <mulberryrudder/peer/orders.hpp>

#include <boost/json/serialize.hpp>

#include <chrono>
#include <list>
#include <set>
#include <unordered_map>

namespace mulberryrudder::operator_http
{

namespace
{

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

/// Answers that are taken from the ring before the sockets have their turn.
constexpr int batch_size = 64;
constexpr milliseconds accept_pause{100};

kernel::counter_kind const requests_counter{"operators.requests", "Requests of operators."};
kernel::counter_kind const unreadable_counter{
    "operators.unreadable", "Requests of operators that were no HTTP or out of limits."};
kernel::counter_kind const slow_counter{
    "operators.cut", "Connections of operators that ended or timed out before a whole request."};
kernel::counter_kind const refused_counter{"operators.connections_refused",
                                           "Connections refused because too many were open."};
kernel::counter_kind const busy_counter{
    "operators.busy", "Requests refused because the instance is behind with its work."};
kernel::counter_kind const overdue_counter{
    "operators.overdue", "Requests answered \"unknown\" because no answer came in time."};

kernel::event_kind const listening_event{{.number = 640,
                                          .name = "operators.listening",
                                          .level = kernel::severity::info,
                                          .meaning = "The control instance listens for operators.",
                                          .action = "None."}};

control::utc_time wall_clock()
{
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return control::utc_time(std::chrono::duration_cast<microseconds>(now).count());
}

/// Speaks HTTP with operators: JSON in, typed requests to the decisions, and back.
class operator_duty final : public kernel::asio_duty, private session_owner
{
public:
    explicit operator_duty(kernel::duty_parts const& given)
        : asio_duty(duties::operator_io, given), config_(given.config.get(operator_section)),
          self_(fleet::describe(given.config.get(fleet::instance_section)).id),
          to_decision_(
              given.links.link<control::input>(name(), duties::decision, duty_ring_capacity)),
          answers_(given.links.link<control::effect>(duties::decision, name(), duty_ring_capacity)),
          accept_timer_(loop())
    {
    }

    void connect() override
    {
        listen(config_.listen);
        for (auto const& it : config_.also_listen)
            listen(it);
    }

protected:
    void started() override
    {
        events().record(listening_event, {{"address", to_string(config_.listen)}});
        for (auto& it : acceptors_)
            accept(it);
    }

    void take_messages() override
    {
        control::effect it;
        for (int n = 0; n != batch_size && answers_.try_pop(it); ++n)
            if (auto const* const answer = std::get_if<control::answer_operator>(&it))
                pass_on(*answer);
    }

private:
    /// Who waits for an answer, and what was asked.
    struct asker
    {
        std::shared_ptr<session> connection;
        std::string target; ///< Path and query, for an answer that names another instance.
    };

    void listen(endpoint const& at)
    {
        tcp::endpoint const where(boost::asio::ip::make_address(at.address), at.port);
        auto& it = acceptors_.emplace_back(loop());
        it.open(where.protocol());
        it.set_option(tcp::acceptor::reuse_address(true));
        it.bind(where);
        it.listen();
    }

    void accept(tcp::acceptor& from)
    {
        from.async_accept(
            [this, &from](boost::system::error_code ec, tcp::socket socket)
            {
                if (ec)
                    return accept_later(from);
                open(std::move(socket));
                accept(from);
            });
    }

    /// Waits before it accepts again, since an error such as too many open files lasts.
    void accept_later(tcp::acceptor& from)
    {
        accept_timer_.expires_after(accept_pause);
        accept_timer_.async_wait(
            [this, &from](boost::system::error_code ec)
            {
                if (!ec)
                    accept(from);
            });
    }

    void open(tcp::socket socket)
    {
        if (sessions_.size() >= static_cast<std::size_t>(config_.most_connections.count()))
            return parts().counters.add(refused_counter);
        session_owner& self = *this;
        auto const it = std::make_shared<session>(std::move(socket), self);
        sessions_.insert(it);
        it->start();
    }

    void arrived(std::shared_ptr<session> const& from, http_request&& what) override
    {
        parts().counters.add(requests_counter);
        auto const field = [&what](std::string_view name) -> std::string_view
        { return what[boost::beast::string_view(name.data(), name.size())]; };
        request_text const with{.name = {},
                                .body = what.body(),
                                .now = wall_clock(),
                                .counters = parts().counters,
                                .query = {},
                                .field = field};
        auto const target = std::string_view(what.target().data(), what.target().size());
        auto const method =
            std::string_view(what.method_string().data(), what.method_string().size());
        auto read = decode_request(method, target, with);
        asker const by{.connection = from, .target = std::string(target)};
        std::visit([&](auto& it) { take(by, it); }, read);
    }

    void take(asker const& from, any_message& request)
    {
        control::operator_request_id const id(++last_id_);
        control::input asked = control::operator_asked{id, std::move(request)};
        if (to_decision_.try_push(std::move(asked)))
        {
            waiting_.emplace(id, from);
            return;
        }
        parts().counters.add(busy_counter);
        json_answer busy{.status = 503, .body = {{"result", "busy"}, {"verdict", "not_run"}}};
        take(from, busy);
    }

    void take(asker const& from, json_answer& what)
    {
        if (!what.location.empty())
            what.location += from.target;
        if (what.document)
            return write(from, what, "application/json", std::move(*what.document));
        what.body["instance"] = self_.value();
        add_leader_address(what.body);
        write(from, what, "application/json", boost::json::serialize(what.body) + "\n");
    }

    void take(asker const& from, text_answer& what)
    {
        write(from, json_answer(), what.content_type, std::move(what.body));
    }

    void add_leader_address(boost::json::object& body) const
    {
        auto const* const leader = body.if_contains("leader");
        if (leader == nullptr || !leader->is_number())
            return;
        // Copied first: a new member may move the others.
        auto const number = leader->to_number<std::uint64_t>();
        for (auto const& it : config_.control)
            if (it.id.value() == number)
                body["leader_address"] = to_string(it.listen);
    }

    static void write(asker const& to, json_answer const& how, std::string const& content_type,
                      std::string body)
    {
        http_response out(static_cast<http::status>(how.status), 11);
        if (!how.location.empty())
            out.set(http::field::location, how.location);
        out.set(http::field::content_type, content_type);
        out.set(http::field::cache_control, "no-store");
        out.body() = std::move(body);
        to.connection->answer(std::move(out));
    }

    void pass_on(control::answer_operator const& it)
    {
        auto const to = waiting_.find(it.id);
        if (to == waiting_.end())
            return;
        auto answer = encode_answer(it.body);
        take(to->second, answer);
        waiting_.erase(to);
    }

    void overdue(std::shared_ptr<session> const& it) override
    {
        parts().counters.add(overdue_counter);
        auto answer = encode_answer(any_message::of(control::outcome_unknown{}));
        take(asker{.connection = it, .target = {}}, answer);
    }

    void unreadable(unsigned status) override
    {
        parts().counters.add(status == 0 ? slow_counter : unreadable_counter);
    }

    void ended(std::shared_ptr<session> const& it) override
    {
        std::erase_if(waiting_, [&](auto const& row) { return row.second.connection == it; });
        sessions_.erase(it);
    }

    operator_settings const& config() const override { return config_; }

    operator_settings const& config_;
    instance_id self_;
    kernel::ring<control::input>& to_decision_;
    kernel::ring<control::effect>& answers_;
    std::list<tcp::acceptor> acceptors_; ///< Handlers refer to them, so they stay in place.
    boost::asio::steady_timer accept_timer_;
    std::set<std::shared_ptr<session>> sessions_;
    std::unordered_map<control::operator_request_id, asker> waiting_;
    std::uint64_t last_id_ = 0;
};

kernel::duty_registrar<operator_duty> const entered{"operator_http", duty_order::operator_io};

} // namespace

} // namespace mulberryrudder::operator_http
