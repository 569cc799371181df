#include <mulberryrudder/kernel/duty.hpp>

namespace mulberryrudder::kernel
{

namespace
{

/// Events that may wait for the log duty, per sending duty.
constexpr std::size_t log_ring_capacity = 4096;

counter_kind const events_lost("log.events_lost",
                               "Events that were not logged because the log duty was behind.");

} // namespace

ring_event_sink::ring_event_sink(duty_name const& from, duty_parts const& parts)
    : to_log_(parts.links.link<event_record>(from, log_duty_name, log_ring_capacity)),
      counters_(parts.counters)
{
}

void ring_event_sink::record(event_kind const& kind, std::vector<event_field> fields)
{
    if (!to_log_.try_push({.kind = &kind, .fields = std::move(fields)}))
        counters_.add(events_lost);
}

} // namespace mulberryrudder::kernel
