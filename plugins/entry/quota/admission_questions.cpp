#include "admission_questions.hpp"

#include <utility>

namespace mulberryrudder::entry
{

std::set<customer_id> admission_questions::customers() const
{
    auto out = expecting_;
    for (auto const& [customer, ids] : waiting_)
        out.insert(customer);
    return out;
}

messages::quota_question admission_questions::ask(instance_id recipient, sequence_id number,
                                                  instant now, instant deadline,
                                                  std::map<customer_id, requests> expected)
{
    messages::quota_question out{.number = number, .wanted = {}, .expected = std::move(expected)};
    for (auto const& [customer, ids] : waiting_)
        out.wanted.emplace(customer, requests(static_cast<std::int64_t>(ids.size())));
    for (auto& [customer, spent] : spent_)
        if (auto const count = spent.left(now); count != requests())
            out.spent.emplace(customer, count);
    out.used_ahead = std::exchange(used_ahead_, {});
    expecting_.clear();
    pending_ = question{.recipient = recipient,
                        .number = number,
                        .sent = now,
                        .deadline = deadline,
                        .requests = std::exchange(waiting_, {}),
                        .spent = out.spent,
                        .is_repeated = std::exchange(repeats_, false)};
    return out;
}

std::optional<admission_questions::answered_question>
admission_questions::end(instance_id sender, sequence_id number, instant now)
{
    if (!pending_ || pending_->recipient != sender || pending_->number != number)
        return std::nullopt;
    for (auto const& [customer, count] : pending_->spent)
        spent_[customer].take_up_to(count, now);
    answered_question out{.sent = pending_->sent, .requests = std::move(pending_->requests)};
    pending_.reset();
    return out;
}

void admission_questions::repeat()
{
    waiting_ = give_up();
    repeats_ = true;
}

admission_questions::request_lists admission_questions::give_up()
{
    repeats_ = false;
    auto out = std::exchange(waiting_, {});
    auto const pending = std::exchange(pending_, std::nullopt);
    if (!pending)
        return out;
    for (auto const& [customer, ids] : pending->requests)
        out[customer].insert(out[customer].begin(), ids.begin(), ids.end());
    return out;
}

} // namespace mulberryrudder::entry
