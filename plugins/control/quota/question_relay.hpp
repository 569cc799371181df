#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_QUOTA_QUESTION_RELAY_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_QUOTA_QUESTION_RELAY_HPP

#include <mulberryrudder/core/time.hpp>
#include <mulberryrudder/messages/quota.hpp>

#include <map>
#include <vector>

namespace mulberryrudder::control
{

/// Joins the questions of many entries into few for the leader, and divides its answers.
///
/// Thread safety: one owner.
class question_relay
{
public:
    /// An answer and the entry that it is for.
    struct reply
    {
        instance_id entry;
        messages::quota_answer answer;
    };

    /// A question and the entry that asks it.
    struct entry_question
    {
        instance_id entry;
        messages::quota_question question;
    };

    /// Adds the question of an entry, or of a control instance, to the next one for the leader.
    void add(instance_id entry, messages::quota_question question);

    bool is_empty() const { return waiting_.empty(); }

    /// Questions that were joined into one.
    struct joined_question
    {
        instance_id recipient;
        instant deadline;
        std::vector<entry_question> parts;
    };

    /// Makes the next question. Its answer is awaited until `deadline`. Precondition: `number`
    /// differs from those of earlier questions.
    messages::quota_question join(sequence_id number, instance_id recipient, instant deadline);

    /// Divides an answer between the entries, in the order in which their questions arrived. An
    /// answer to no question that is awaited gives none.
    std::vector<reply> divide(messages::quota_answer const& answer);

    /// Removes the questions that wait to be joined and returns them.
    std::vector<entry_question> take_waiting();

    /// Removes the questions that were joined under a number and returns them; none if no answer
    /// to it is awaited.
    std::vector<entry_question> take_joined(sequence_id number);

    /// Removes the joined questions whose answers are overdue and returns them.
    std::vector<joined_question> take_overdue(instant now);

    /// Adds questions that were taken back, before those that wait.
    void put_back(std::vector<entry_question> questions);

private:
    std::vector<entry_question> waiting_;
    std::map<sequence_id, joined_question> awaited_;
};

} // namespace mulberryrudder::control

#endif
