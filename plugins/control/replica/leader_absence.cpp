#include "leader_absence.hpp"

#include <string>

namespace mulberryrudder::control
{

namespace
{

/// Time without a leader after which the absence is reported: longer than an election takes.
constexpr seconds max_absence{2};
/// Time without a message after which a voter counts as silent: more than the interval between two
/// announcements of a start.
constexpr seconds max_silence{3};

} // namespace

void leader_absence::record_heard(voter const& sender, instant now)
{
    heard_[sender.id] = {.disk = sender.disk, .at = now};
}

bool leader_absence::update(instant now)
{
    bool const is_missing = now > led_at_ + max_absence;
    if (is_missing == is_missing_)
        return false;
    is_missing_ = is_missing;
    if (is_missing)
        reported_since_ = led_at_;
    return true;
}

std::vector<kernel::event_field> leader_absence::fields(group_membership const& members,
                                                        voter const& self, instant now) const
{
    std::string answering;
    std::string silent;
    std::string replaced;
    auto const append = [](std::string& list, instance_id id)
    { list += (list.empty() ? "" : " ") + std::to_string(id.value()); };
    for (auto const& it : members.voters)
    {
        auto const found = heard_.find(it.id);
        if (it.id == self.id)
            append(it.disk == self.disk ? answering : replaced, it.id);
        else if (found == heard_.end() || found->second.at + max_silence < now)
            append(silent, it.id);
        else
            append(found->second.disk == it.disk ? answering : replaced, it.id);
    }
    auto const elapsed = std::chrono::duration_cast<milliseconds>(now - reported_since_);
    return {{"missing", is_missing_ ? "true" : "false"},
            {"for_ms", std::to_string(elapsed.count())},
            {"voters", std::to_string(members.voters.size())},
            {"answering", answering},
            {"silent", silent},
            {"other_disk", replaced}};
}

} // namespace mulberryrudder::control
