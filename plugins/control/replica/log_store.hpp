#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_REPLICA_LOG_STORE_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_REPLICA_LOG_STORE_HPP

#include <mulberryrudder/control/log_types.hpp>
#include <mulberryrudder/core/units.hpp>

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace mulberryrudder::control
{

/// Returns `index + n`.
log_index index_after(log_index index, std::uint64_t n = 1);
/// Returns `index - 1`. Precondition: `index` is not 0.
log_index index_before(log_index index);

/// Term and index of an entry. Of two logs, the one whose last position is greater is the
/// more up-to-date.
struct log_position
{
    term_id term;
    log_index index;

    friend auto operator<=>(log_position const&, log_position const&) = default;
};

/// Holds the entries after the newest snapshot in memory.
///
/// Thread safety: one owner.
class log_store
{
public:
    /// Discards all entries; the next one follows `base`.
    void reset(log_position base);

    /// Precondition (checked): the entry's index is last().index + 1 and its term is not lower.
    void append(log_entry entry);

    /// Removes the entries from `first` on. Precondition: `first` is greater than the base's
    /// index.
    void truncate_from(log_index first);

    /// Discards the entries up to `base`. Precondition: `base` is the base or in the log.
    void compact(log_index base);

    log_position base() const { return base_; }
    /// Returns about how many bytes the entries take.
    byte_count bytes() const { return bytes_; }
    /// Returns about how many bytes the entries behind `index` take.
    byte_count bytes_after(log_index index) const;
    log_position last() const;

    /// Returns the term of the base or an entry; std::nullopt outside the log.
    std::optional<term_id> term_at(log_index index) const;

    /// Precondition: the entry is in the log.
    log_entry const& at(log_index index) const;

    /// Returns the entries from `first` on: at most `max_count`, and of these as many as take about
    /// `max_bytes`, but at least one. Precondition: `first` is greater than the base's index.
    std::vector<log_entry> slice(log_index first, std::size_t max_count,
                                 byte_count max_bytes) const;

    /// Returns all entries from `first` on. Precondition: as for slice().
    std::vector<log_entry> tail(log_index first) const;

private:
    struct stored_entry
    {
        log_entry entry;
        byte_count bytes;
    };

    std::size_t offset(log_index index) const;
    /// Removes the entries from position `first` up to `last`.
    void erase(std::size_t first, std::size_t last);

    log_position base_;
    std::deque<stored_entry> entries_;
    byte_count bytes_; ///< Of all entries.
};

} // namespace mulberryrudder::control

#endif
