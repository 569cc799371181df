#include "table_sync.hpp"

namespace mulberryrudder::control
{

void table_sync::begin(instant deadline)
{
    received_.clear();
    deadline_ = deadline;
    synchronized_ = false;
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
