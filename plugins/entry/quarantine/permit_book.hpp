#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_QUARANTINE_PERMIT_BOOK_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_QUARANTINE_PERMIT_BOOK_HPP

#include "quarantine_settings.hpp"

#include <mulberryrudder/core/digest.hpp>
#include <mulberryrudder/core/ids.hpp>

#include <optional>
#include <unordered_map>

namespace mulberryrudder::entry
{

/// The arbiter's side: lets one request of a suspected fingerprint run at a time.
///
/// Thread safety: one owner.
class permit_book
{
public:
    explicit permit_book(quarantine_settings const& config) : config_(config) {}

    /// Grants a permit until `deadline`, unless another holds one or one of this
    /// instance's last start may still be in use.
    bool grant(digest const& fingerprint, request_id holder, instant deadline, instant now);

    void give_back(digest const& fingerprint, request_id holder);
    void expire(instant now);

    /// Notes when this instance began to act.
    void begin(instant now);

private:
    struct permit
    {
        request_id holder;
        instant until;
    };

    quarantine_settings const& config_;
    std::optional<instant> grants_from_;
    std::unordered_map<digest, permit> permits_;
};

} // namespace mulberryrudder::entry

#endif
