#include "instant_log.hpp"

namespace mulberryrudder::bench
{

namespace
{

control::component_registrar<instant_log> const entered{"instant_log",
                                                        control::component_order::replica};

} // namespace

instant_log::instant_log(control::component_parts const& parts)
{
    parts.services.provide<control::replicated_log>(*this);
    parts.services.provide<instant_log>(*this);
}

std::optional<log_index> instant_log::propose(any_message command)
{
    if (!loses_commands)
        waiting_.push_back(std::move(command));
    return log_index(applied_ + waiting_.size());
}

void instant_log::tick(control::context& with)
{
    if (leads_ != wants_to_lead)
    {
        leads_ = wants_to_lead;
        if (leads_)
            with.observers.publish_leading();
        else
            with.observers.publish_following();
    }
    for (; !waiting_.empty(); waiting_.pop_front())
    {
        ++applied_;
        with.observers.publish_applied({term_id(1), log_index(applied_), waiting_.front()});
    }
}

} // namespace mulberryrudder::bench
