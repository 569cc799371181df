#include <mulberryrudder/control/core.hpp>

#include <algorithm>
#include <iterator>

namespace mulberryrudder::control
{

namespace
{

/// Time after which a request without an answer is forgotten: its sender has given it up.
constexpr seconds max_request_time{60};
/// Time for the last answers and messages to leave the process.
constexpr milliseconds sending_time{100};
/// Time after which a planned stop is completed in any case: below the time after which the process
/// is killed.
constexpr seconds max_stopping_time{5};

} // namespace

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
    for (auto const& it : scratch_)
        if (auto const* const answer = std::get_if<answer_operator>(&it))
            open_requests_.erase(answer->id);
    std::move(scratch_.begin(), scratch_.end(), std::back_inserter(out));
    scratch_.clear();
}

void core::handle(instant now, input const& what, effects& out)
{
    context_.now = now;
    std::visit([this](auto const& it) { take(it); }, what);
    flush(out);
}

void core::complete_stop()
{
    auto const now = context_.now;
    bool const is_finished = std::all_of(components_.begin(), components_.end(),
                                         [now](auto const& it) { return it->may_stop(now); });
    if (is_finished && !finished_at_)
        finished_at_ = now;
    if (finished_at_ && !answered_at_ && !has_open_request(*finished_at_))
        answered_at_ = now;
    bool const is_sent = answered_at_ && now >= *answered_at_ + sending_time;
    if (!is_sent && now < *stop_limit_)
        return;
    stop_limit_.reset();
    scratch_.push_back(stop_completed{});
}

bool core::has_open_request(instant cutoff) const
{
    return std::any_of(open_requests_.begin(), open_requests_.end(),
                       [cutoff](auto const& it) { return it.second <= cutoff; });
}

void core::tick(instant now, effects& out)
{
    context_.now = now;
    for (auto& it : components_)
        it->tick(context_);
    // Erases the requests that were answered in this tick.
    flush(out);
    std::erase_if(open_requests_,
                  [now](auto const& it) { return it.second + max_request_time < now; });
    if (stop_limit_)
        complete_stop();
    flush(out);
}

void core::take(message_arrived const& it)
{
    for (auto& component : components_)
        component->received(it.message, context_);
}

void core::take(operator_asked const& it)
{
    open_requests_.emplace(it.id, context_.now);
    for (auto& component : components_)
        if (component->asked(it, context_))
            return;
    context_.answer(it.id, unknown_request{});
}

void core::take(disk_recovered const& it)
{
    has_recovered_ = true;
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

void core::take(record_kept const& it)
{
    for (auto& component : components_)
        component->kept(it, context_);
}

void core::take(stop_requested const&)
{
    if (!has_recovered_)
        return scratch_.push_back(stop_completed{});
    stop_limit_ = context_.now + max_stopping_time;
    for (auto& component : components_)
        component->stopping(context_);
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
