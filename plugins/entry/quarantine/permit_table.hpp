#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_QUARANTINE_PERMIT_TABLE_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_QUARANTINE_PERMIT_TABLE_HPP

#include "quarantine_settings.hpp"

#include <mulberryrudder/core/digest.hpp>
#include <mulberryrudder/core/ids.hpp>

#include <optional>
#include <unordered_map>

namespace mulberryrudder::entry
{

/// The arbiter's side of the quarantine: holds the permits, so that only one request of
/// a suspected fingerprint runs at a time.
///
/// Thread safety: one owner.
class permit_table
{
public:
    explicit permit_table(quarantine_settings const& config) : config_(config) {}

    /// Grants a permit until `deadline`, but for at most the setting `longest_run`.
    /// Returns false if another request holds one, or if one that was granted before
    /// this instance restarted may still be in use.
    bool grant(digest const& fingerprint, request_id holder, instant deadline, instant now);

    /// Ends the holder's permit, if there is one.
    void release(digest const& fingerprint, request_id holder);

    /// Removes expired permits.
    void expire(instant now);

    /// Starts the wait after which permits are granted; only the first call counts.
    void start(instant now);

private:
    struct permit
    {
        request_id holder;
        instant expires_at;
    };

    quarantine_settings const& config_;
    std::optional<instant> grants_from_;
    std::unordered_map<digest, permit> permits_;
};

} // namespace mulberryrudder::entry

#endif
