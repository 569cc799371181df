#include "control_group.hpp"

#include "exit_codes.hpp"

#include <boost/json/parse.hpp>

#include <algorithm>
#include <thread>

namespace mulberryrudder::ctl
{

namespace
{

constexpr milliseconds pause_between_rounds{200};
/// One silent instance must not use up the time for the others.
constexpr milliseconds most_for_one{3000};

boost::json::object parse_object(std::string const& text)
{
    boost::system::error_code ec;
    auto value = boost::json::parse(text, ec);
    return !ec && value.is_object() ? std::move(value.get_object()) : boost::json::object();
}

bool is_true(boost::json::object const& from, std::string_view name)
{
    auto const* const it = from.if_contains(name);
    return it != nullptr && it->is_bool() && it->get_bool();
}

} // namespace

int exit_code_of(unsigned status)
{
    struct status_row
    {
        unsigned status;
        int exit_code;
    };
    static constexpr status_row rows[] = {
        {200, exit_ok},      {400, exit_bad_input}, {409, exit_conflict}, {413, exit_bad_input},
        {421, exit_unknown}, {422, exit_bad_input}, {503, exit_unknown},  {504, exit_unknown}};
    auto const* const it =
        std::find_if(std::begin(rows), std::end(rows),
                     [&](status_row const& row) { return row.status == status; });
    return it == std::end(rows) ? exit_failed : it->exit_code;
}

std::uint64_t number_in(boost::json::object const& from, std::string_view name,
                        std::uint64_t otherwise)
{
    auto const* const it = from.if_contains(name);
    if (it == nullptr)
        return otherwise;
    boost::system::error_code ec;
    auto const n = it->to_number<std::uint64_t>(ec);
    return ec ? otherwise : n;
}

std::string text_in(boost::json::object const& from, std::string_view name)
{
    auto const* const it = from.if_contains(name);
    return it != nullptr && it->is_string() ? std::string(it->get_string()) : std::string();
}

control_group::control_group(std::vector<endpoint> addresses, instant deadline)
    : addresses_(std::move(addresses)), deadline_(deadline)
{
}

std::optional<group_answer> control_group::ask_one(endpoint const& where,
                                                   http_question const& what) const
{
    auto const reply = ask(where, what, std::min(deadline_, monotonic_now() + most_for_one));
    if (!reply)
        return std::nullopt;
    return group_answer{exit_code_of(reply->status), parse_object(reply->body)};
}

void control_group::follow(group_answer const& answer, std::size_t& next) const
{
    endpoint leader;
    if (!parse_endpoint(text_in(answer.body, "leader_address"), leader))
        return;
    auto const it = std::find(addresses_.begin(), addresses_.end(), leader);
    if (it != addresses_.end())
        next = static_cast<std::size_t>(it - addresses_.begin());
}

group_answer control_group::change(http_question const& what)
{
    group_answer last{.exit_code = exit_unknown, .body = {}};
    std::size_t next = 0;
    for (std::size_t tries = 1; monotonic_now() < deadline_; ++tries)
    {
        auto const where = addresses_[next];
        next = (next + 1) % addresses_.size();
        if (auto answer = ask_one(where, what))
        {
            if (answer->exit_code != exit_unknown)
                return *answer;
            follow(*answer, next);
            last = std::move(*answer);
        }
        if (tries % addresses_.size() == 0)
            std::this_thread::sleep_for(std::min<span>(
                pause_between_rounds, std::max(deadline_ - monotonic_now(), span(0))));
    }
    return last;
}

group_answer control_group::read(http_question const& what)
{
    group_answer best{.exit_code = exit_unknown, .body = {}};
    for (auto const& where : addresses_)
    {
        auto answer = ask_one(where, what);
        if (!answer)
            continue;
        if (is_true(answer->body, "may_act"))
            return *answer;
        if (best.body.empty() ||
            number_in(answer->body, "generation") > number_in(best.body, "generation"))
            best = std::move(*answer);
    }
    return best;
}

} // namespace mulberryrudder::ctl
