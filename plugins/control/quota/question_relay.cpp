#include "question_relay.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace mulberryrudder::control
{

namespace
{

void add_counts(std::map<customer_id, requests>& to, std::map<customer_id, requests> const& counts)
{
    for (auto const& [customer, count] : counts)
        to[customer] += count;
}

/// Moves as many requests as are wanted and left.
requests take(requests& left, std::map<customer_id, requests> const& wanted,
              customer_id const& customer)
{
    auto const found = wanted.find(customer);
    auto const out = found == wanted.end() ? requests() : std::min(found->second, left);
    left -= out;
    return out;
}

} // namespace

void question_relay::add(instance_id entry, messages::quota_question question)
{
    waiting_.push_back({.entry = entry, .question = std::move(question)});
}

messages::quota_question question_relay::join(sequence_id number, instance_id recipient,
                                              instant deadline)
{
    messages::quota_question out{.number = number, .wanted = {}, .expected = {}, .relayed = true};
    for (auto& it : waiting_)
    {
        out.forwarded = out.forwarded || it.question.relayed;
        add_counts(out.wanted, it.question.wanted);
        add_counts(out.expected, it.question.expected);
        add_counts(out.used_ahead, std::exchange(it.question.used_ahead, {}));
        add_counts(out.spent, it.question.spent);
    }
    awaited_[number] = {
        .recipient = recipient, .deadline = deadline, .parts = std::exchange(waiting_, {})};
    return out;
}

std::vector<question_relay::reply> question_relay::divide(messages::quota_answer const& answer)
{
    auto const parts = take_joined(answer.number);
    std::map<customer_id, messages::quota_grant> left;
    for (auto const& it : answer.grants)
        left.emplace(it.customer, it);
    std::vector<reply> out;
    for (auto const& [entry, question] : parts)
    {
        reply made{.entry = entry,
                   .answer = {.number = question.number,
                              .grants = {},
                              .pressed = answer.pressed,
                              .ahead_lifetime = answer.ahead_lifetime}};
        for (auto& [customer, granted] : left)
        {
            if (!question.wanted.contains(customer) && !question.expected.contains(customer))
                continue;
            auto part = granted;
            part.admitted = take(granted.admitted, question.wanted, customer);
            part.ahead = take(granted.ahead, question.expected, customer);
            made.answer.grants.push_back(std::move(part));
        }
        out.push_back(std::move(made));
    }
    return out;
}

std::vector<question_relay::entry_question> question_relay::take_waiting()
{
    return std::exchange(waiting_, {});
}

std::vector<question_relay::entry_question> question_relay::take_joined(sequence_id number)
{
    auto const found = awaited_.find(number);
    if (found == awaited_.end())
        return {};
    auto out = std::move(found->second.parts);
    awaited_.erase(found);
    return out;
}

std::vector<question_relay::joined_question> question_relay::take_overdue(instant now)
{
    std::vector<joined_question> out;
    std::erase_if(awaited_,
                  [&](auto& it)
                  {
                      if (it.second.deadline > now)
                          return false;
                      out.push_back(std::move(it.second));
                      return true;
                  });
    return out;
}

void question_relay::put_back(std::vector<entry_question> questions)
{
    std::move(waiting_.begin(), waiting_.end(), std::back_inserter(questions));
    waiting_ = std::move(questions);
}

} // namespace mulberryrudder::control
