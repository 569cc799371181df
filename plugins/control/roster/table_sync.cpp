#include "table_sync.hpp"

namespace mulberryrudder::control
{

namespace
{

/// Time between two requests for the table of the same instance: more than a table takes
/// between regions.
constexpr milliseconds request_interval{500};

} // namespace

void table_sync::begin(instant deadline, sequence_id newest_sent)
{
    received_.clear();
    next_requests_.clear();
    deadline_ = deadline;
    newest_sent_ = newest_sent;
    synchronized_ = false;
}

void table_sync::record_table(instance_id sender, sequence_id acknowledged)
{
    if (acknowledged > newest_sent_)
        received_.insert(sender);
}

bool table_sync::request_table_of(instance_id id, instant now)
{
    auto& next_request = next_requests_[id];
    if (synchronized_ || received_.contains(id) || now < next_request)
        return false;
    next_request = now + request_interval;
    return true;
}

bool table_sync::finish(std::optional<std::size_t> instances, instant now)
{
    auto const holders = received_.size() + (intact_ ? 1 : 0);
    bool const has_enough = instances && holders * 2 >= *instances;
    if (synchronized_ || (!has_enough && now < deadline_))
        return false;
    synchronized_ = true;
    intact_ = true;
    return true;
}

} // namespace mulberryrudder::control
