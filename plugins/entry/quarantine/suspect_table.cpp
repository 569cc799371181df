#include "suspect_table.hpp"

namespace mulberryrudder::entry
{

bool suspect_table::add(digest const& fingerprint, std::set<attempt_id> const& crashes, instant now)
{
    if (crashes.empty())
        return false;
    auto& it = suspects_[fingerprint];
    auto const before = it.crashes.size();
    for (auto const& crash : crashes)
        if (!it.cleared.contains(crash))
            it.crashes.insert(crash);
    if (it.crashes.size() == before)
        return false;
    bool const quarantined = it.crashes.size() >= crashes_to_quarantine;
    it.expires_at = now + (quarantined ? config_.quarantine_time : config_.suspect_time);
    return true;
}

void suspect_table::clear(digest const& fingerprint, std::set<attempt_id> const& crashes,
                          instant now)
{
    auto& it = suspects_[fingerprint];
    if (it.crashes.size() >= crashes_to_quarantine)
        return;
    for (auto const& crash : crashes)
        it.crashes.erase(crash);
    it.cleared.insert(crashes.begin(), crashes.end());
    it.expires_at = now + config_.suspect_time;
}

suspicion suspect_table::suspicion_of(digest const& fingerprint) const
{
    auto const it = suspects_.find(fingerprint);
    if (it == suspects_.end() || it->second.crashes.empty())
        return suspicion::none;
    return it->second.crashes.size() >= crashes_to_quarantine ? suspicion::quarantined
                                                              : suspicion::suspect;
}

std::set<attempt_id> suspect_table::crashes_of(digest const& fingerprint) const
{
    auto const it = suspects_.find(fingerprint);
    return it == suspects_.end() ? std::set<attempt_id>{} : it->second.crashes;
}

void suspect_table::expire(instant now)
{
    std::erase_if(suspects_, [now](auto const& it) { return it.second.expires_at <= now; });
}

} // namespace mulberryrudder::entry
