#include "exchange_queue.hpp"

#include <algorithm>
#include <utility>

namespace mulberryrudder::caller_http
{

namespace
{

byte_count body_size(http_response const& of)
{
    return byte_count(static_cast<std::int64_t>(of.body().size()));
}

} // namespace

bool exchange_queue::has_room() const
{
    if (exchanges_.empty())
        return true;
    auto const unanswered = std::count_if(exchanges_.begin(), exchanges_.end(),
                                          [](exchange const& it) { return !it.answer; });
    byte_count const awaited(expected_size_.count() * unanswered);
    return exchanges_.back().request.is_safe &&
           exchanges_.size() < static_cast<std::size_t>(limits_.most_pipelined.count()) &&
           waiting_ + awaited < limits_.most_waiting_answers && !budgets_.requests.is_exhausted() &&
           !budgets_.answers.is_exhausted();
}

void exchange_queue::add(read_request const& what)
{
    exchanges_.emplace_back(what, budgets_).held.replace(what.size + request_overhead);
}

void exchange_queue::expect(request_id id)
{
    if (auto* const it = find(id))
        it->is_expected = true;
}

std::optional<request_id> exchange_queue::first_expected() const
{
    auto const it = std::find_if(exchanges_.begin(), exchanges_.end(),
                                 [](exchange const& each) { return each.is_expected; });
    return it == exchanges_.end() ? std::nullopt : std::optional(it->request.id);
}

void exchange_queue::answer(request_id id, http_response&& what)
{
    auto* const it = find(id);
    if (it == nullptr)
        return;
    auto const size = body_size(what);
    waiting_ += size;
    expected_size_ = std::max(size, byte_count(expected_size_.count() * 7 / 8));
    it->held.reset();
    it->waiting.replace(size);
    it->answer.emplace(std::move(what));
    it->is_expected = false;
}

bool exchange_queue::is_next_ready() const
{
    return !exchanges_.empty() && exchanges_.front().answer;
}

http_response& exchange_queue::next(bool keep_open)
{
    auto& first = exchanges_.front();
    auto& out = *first.answer;
    waiting_ -= body_size(out);
    first.waiting.reset();
    out.keep_alive(keep_open);
    if (first.request.head_only)
    {
        out.content_length(out.body().size());
        out.body().clear();
    }
    else
        out.prepare_payload();
    return out;
}

std::vector<request_id> exchange_queue::drop_unanswered()
{
    std::vector<request_id> out;
    auto const first = std::find_if(exchanges_.begin(), exchanges_.end(),
                                    [](exchange const& it) { return !it.answer; });
    for (auto n = exchanges_.end() - first; n != 0; --n)
    {
        auto const& last = exchanges_.back();
        if (last.answer)
            waiting_ -= body_size(*last.answer);
        if (last.is_expected)
            out.push_back(last.request.id);
        exchanges_.pop_back();
    }
    return out;
}

exchange_queue::exchange* exchange_queue::find(request_id id)
{
    auto const it = std::find_if(exchanges_.begin(), exchanges_.end(),
                                 [id](exchange const& each) { return each.request.id == id; });
    return it == exchanges_.end() ? nullptr : &*it;
}

} // namespace mulberryrudder::caller_http
