#include "suspect_table.hpp"

namespace mulberryrudder::entry
{

bool suspect_table::add(digest const& fingerprint, std::set<attempt_id> const& deaths, instant now)
{
    if (deaths.empty())
        return false;
    auto& it = suspects_[fingerprint];
    auto const before = it.deaths.size();
    for (auto const& death : deaths)
        if (!it.cleared.contains(death))
            it.deaths.insert(death);
    if (it.deaths.size() == before)
        return false;
    bool const quarantined = it.deaths.size() >= deaths_to_quarantine;
    it.until = now + (quarantined ? config_.time : config_.suspect_time);
    return true;
}

void suspect_table::clear(digest const& fingerprint, std::set<attempt_id> const& deaths,
                          instant now)
{
    auto& it = suspects_[fingerprint];
    if (it.deaths.size() >= deaths_to_quarantine)
        return;
    for (auto const& death : deaths)
        it.deaths.erase(death);
    it.cleared.insert(deaths.begin(), deaths.end());
    it.until = now + config_.suspect_time;
}

suspicion suspect_table::of(digest const& fingerprint) const
{
    auto const it = suspects_.find(fingerprint);
    if (it == suspects_.end() || it->second.deaths.empty())
        return suspicion::none;
    return it->second.deaths.size() >= deaths_to_quarantine ? suspicion::quarantined
                                                            : suspicion::suspect;
}

std::set<attempt_id> suspect_table::deaths_of(digest const& fingerprint) const
{
    auto const it = suspects_.find(fingerprint);
    return it == suspects_.end() ? std::set<attempt_id>{} : it->second.deaths;
}

void suspect_table::expire(instant now)
{
    std::erase_if(suspects_, [now](auto const& it) { return it.second.until <= now; });
}

} // namespace mulberryrudder::entry
