#include "admission_questions.hpp"

#include <utility>

namespace mulberryrudder::entry
{

messages::quota_question admission_questions::ask(instance_id recipient, sequence_id number,
                                                  instant deadline)
{
    messages::quota_question out{.number = number, .wanted = {}};
    for (auto const& [customer, ids] : waiting_)
        out.wanted.emplace(customer, requests(static_cast<std::int64_t>(ids.size())));
    pending_ = question{.recipient = recipient,
                        .number = number,
                        .deadline = deadline,
                        .requests = std::exchange(waiting_, {}),
                        .is_repeated = std::exchange(repeats_, false)};
    return out;
}

std::optional<admission_questions::request_lists> admission_questions::end(instance_id sender,
                                                                           sequence_id number)
{
    if (!pending_ || pending_->recipient != sender || pending_->number != number)
        return std::nullopt;
    auto out = std::move(pending_->requests);
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
