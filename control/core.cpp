#include <mulberryrudder/control/core.hpp>

#include <iterator>

namespace mulberryrudder::control
{

core::core(options with)
    : self_(std::move(with.self)), random_(with.seed), context_{.now = instant{},
                                                                .random = random_,
                                                                .out = scratch_,
                                                                .counters = with.counters,
                                                                .events = with.events,
                                                                .self = self_,
                                                                .observers = *this}
{
    component_parts const parts{.config = with.config, .self = self_, .services = services_};
    components_ = component_registry::instance().make_all(parts);
}

core::~core() = default;

void core::flush(effects& out)
{
    std::move(scratch_.begin(), scratch_.end(), std::back_inserter(out));
    scratch_.clear();
}

void core::handle(instant now, input const& what, effects& out)
{
    context_.now = now;
    std::visit([this](auto const& it) { take(it); }, what);
    flush(out);
}

void core::tick(instant now, effects& out)
{
    context_.now = now;
    for (auto& it : components_)
        it->tick(context_);
    flush(out);
}

void core::take(message_arrived const& it)
{
    for (auto& component : components_)
        component->received(it.message, context_);
}

void core::take(operator_asked const& it)
{
    for (auto& component : components_)
        if (component->asked(it, context_))
            return;
    context_.answer(it.id, unknown_request{});
}

void core::take(disk_recovered const& it)
{
    for (auto& component : components_)
        component->recovered(it, context_);
}

void core::take(disk_synced const& it)
{
    for (auto& component : components_)
        component->synced(it, context_);
}

void core::take(disk_failed const& it)
{
    for (auto& component : components_)
        component->disk_lost(it, context_);
}

void core::take(disk_reopened const& it)
{
    for (auto& component : components_)
        component->reopened(it, context_);
}

void core::take(stop_requested const&)
{
    for (auto& component : components_)
        component->stopping(context_);
    scratch_.push_back(stop_completed{});
}

void core::publish_applied(log_entry const& it)
{
    for (auto& component : components_)
        component->applied(it, context_);
}

void core::publish_leading()
{
    for (auto& component : components_)
        component->leading(context_);
}

void core::publish_following()
{
    for (auto& component : components_)
        component->following(context_);
}

std::vector<any_message> core::collect_snapshot()
{
    std::vector<any_message> parts;
    for (auto& component : components_)
        if (auto part = component->save(); part.type() != typeid(void))
            parts.push_back(std::move(part));
    return parts;
}

void core::publish_snapshot(std::vector<any_message> const& parts)
{
    for (auto& component : components_)
        component->load(parts, context_);
}

} // namespace mulberryrudder::control
