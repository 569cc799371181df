#include "question_relay.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace mulberryrudder::control
{

void question_relay::add(instance_id entry, messages::quota_question question)
{
    waiting_.push_back({.entry = entry, .question = std::move(question)});
}

messages::quota_question question_relay::join(sequence_id number, instance_id recipient,
                                              instant deadline)
{
    messages::quota_question out{.number = number, .wanted = {}, .relayed = true};
    for (auto const& it : waiting_)
        for (auto const& [customer, wanted] : it.question.wanted)
            out.wanted[customer] += wanted;
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
                   .answer = {.number = question.number, .grants = {}, .pressed = answer.pressed}};
        for (auto const& [customer, wanted] : question.wanted)
        {
            auto const granted = left.find(customer);
            if (granted == left.end())
                continue;
            auto part = granted->second;
            part.admitted = std::min(wanted, granted->second.admitted);
            granted->second.admitted -= part.admitted;
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
