#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_QUARANTINE_SUSPECT_TABLE_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_QUARANTINE_SUSPECT_TABLE_HPP

#include "quarantine_settings.hpp"

#include <mulberryrudder/core/digest.hpp>
#include <mulberryrudder/core/ids.hpp>

#include <set>
#include <unordered_map>

namespace mulberryrudder::entry
{

/// Deaths of targets by one request that put it into quarantine.
inline constexpr std::size_t deaths_to_quarantine = 2;

/// What is held against a request.
enum class suspicion
{
    none,
    suspect, ///< One target died of it: it runs only alone.
    quarantined
};

/// Remembers which requests targets died of, by fingerprint.
///
/// Thread safety: one owner.
class suspect_table
{
public:
    explicit suspect_table(quarantine_settings const& config) : config_(config) {}

    /// Adds deaths; returns whether any is new.
    bool add(digest const& fingerprint, std::set<attempt_id> const& deaths, instant now);

    /// Forgets these deaths, unless the request is quarantined.
    void clear(digest const& fingerprint, std::set<attempt_id> const& deaths, instant now);

    /// Forgets the request: an operator lifted its quarantine.
    void lift(digest const& fingerprint) { suspects_.erase(fingerprint); }

    suspicion of(digest const& fingerprint) const;
    std::set<attempt_id> deaths_of(digest const& fingerprint) const;

    /// Forgets what is over.
    void expire(instant now);

    std::size_t size() const { return suspects_.size(); }

private:
    struct suspect
    {
        std::set<attempt_id> deaths;
        std::set<attempt_id> cleared; ///< That a late notice must not bring back.
        instant until;
    };

    quarantine_settings const& config_;
    std::unordered_map<digest, suspect> suspects_;
};

} // namespace mulberryrudder::entry

#endif
