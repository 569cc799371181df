#include "outcome_totals.hpp"

namespace mulberryrudder::control
{

void outcome_totals::update(messages::entry_notice const& notice, service_id const& service,
                            version_id const& rollout)
{
    for (auto const& it : notice.outcomes)
    {
        if (it.service != service || it.rollout != rollout)
            continue;
        auto& known = newest_[{it.version, notice.who.id, notice.boot}];
        if (it.answered > known.answered)
            known = {
                .answered = it.answered, .failed = it.failed, .broken = it.broken, .late = it.late};
    }
}

outcome_counts outcome_totals::of(version_id const& version) const
{
    outcome_counts out;
    for (auto const& [start, it] : newest_)
    {
        if (std::get<version_id>(start) != version)
            continue;
        out.answered += it.answered;
        out.failed += it.failed;
        out.broken += it.broken;
        out.late += it.late;
    }
    return out;
}

} // namespace mulberryrudder::control
