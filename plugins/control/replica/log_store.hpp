#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_REPLICA_LOG_STORE_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_REPLICA_LOG_STORE_HPP

#include <mulberryrudder/control/log_types.hpp>

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace mulberryrudder::control
{

/// Returns the index `n` places behind `it`.
log_index behind(log_index it, std::uint64_t n = 1);
/// Returns the index before `it`. Precondition: `it` is not 0.
log_index before(log_index it);

/// Names an entry by term and index; the later of two is the more up-to-date.
struct log_position
{
    term_id term;
    log_index index;

    friend auto operator<=>(log_position const&, log_position const&) = default;
};

/// Holds the entries behind the newest snapshot in memory.
///
/// Thread safety: one owner.
class log_store
{
public:
    /// Forgets all entries; the next one stands behind `base`.
    void reset(log_position base);

    /// Precondition (checked): the entry follows the last one.
    void append(log_entry it);

    /// Removes the entries from `first` on. Precondition: it is behind the base.
    void cut_from(log_index first);

    /// Forgets the entries up to `base`. Precondition: `base` is in the log.
    void compact(log_index base);

    log_position base() const { return base_; }
    log_position last() const;

    /// Returns the term of the base or an entry; nothing outside the log.
    std::optional<term_id> term_at(log_index it) const;

    /// Precondition: the entry is in the log.
    log_entry const& at(log_index it) const;

    /// Returns at most `most` entries from `first` on. Precondition: behind the base.
    std::vector<log_entry> slice(log_index first, std::size_t most) const;

private:
    std::size_t offset(log_index it) const;

    log_position base_;
    std::deque<log_entry> entries_;
};

} // namespace mulberryrudder::control

#endif
