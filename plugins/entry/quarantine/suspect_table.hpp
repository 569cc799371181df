#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_QUARANTINE_SUSPECT_TABLE_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_QUARANTINE_SUSPECT_TABLE_HPP

#include "quarantine_settings.hpp"

#include <mulberryrudder/core/digest.hpp>
#include <mulberryrudder/core/ids.hpp>

#include <set>
#include <unordered_map>

namespace mulberryrudder::entry
{

/// Number of target crashes after which the request that caused them is quarantined.
inline constexpr std::size_t crashes_to_quarantine = 2;

/// Suspicion that a request crashes targets.
enum class suspicion
{
    none,
    suspect,    ///< One target crashed while it ran the request, which runs only under a permit.
    quarantined ///< The request is refused.
};

/// Stores the crashes that requests are suspected of, by fingerprint. A crash is
/// identified by the attempt that was running when its target crashed.
///
/// Thread safety: one owner.
class suspect_table
{
public:
    explicit suspect_table(quarantine_settings const& config) : config_(config) {}

    /// Adds crashes; returns whether any is new. Crashes that were cleared are ignored.
    bool add(digest const& fingerprint, std::set<attempt_id> const& crashes, instant now);

    /// Clears the request of these crashes, unless it is quarantined.
    void clear(digest const& fingerprint, std::set<attempt_id> const& crashes, instant now);

    /// Removes the request after an operator has lifted its quarantine.
    void lift(digest const& fingerprint) { suspects_.erase(fingerprint); }

    suspicion suspicion_of(digest const& fingerprint) const;
    std::set<attempt_id> crashes_of(digest const& fingerprint) const;

    /// Removes the requests whose suspicion or quarantine has expired.
    void expire(instant now);

    std::size_t size() const { return suspects_.size(); }

private:
    struct suspect
    {
        std::set<attempt_id> crashes;
        std::set<attempt_id> cleared; ///< Crashes that a late notice must not add again.
        instant expires_at;
    };

    quarantine_settings const& config_;
    std::unordered_map<digest, suspect> suspects_;
};

} // namespace mulberryrudder::entry

#endif
