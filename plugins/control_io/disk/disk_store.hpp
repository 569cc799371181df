#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_IO_DISK_DISK_STORE_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_IO_DISK_DISK_STORE_HPP

#include "segment_log.hpp"
#include "state_file.hpp"

#include <mulberryrudder/control/inputs.hpp>

#include <optional>

namespace mulberryrudder::disk
{

/// Keeps a replica's hard state, snapshot and log in one folder: a state_file, a file that is
/// replaced as a whole, and a segment_log.
/// A file that is never written again tells a folder from its copies.
///
/// Thread safety: one owner. After a call that failed, only reopen() is allowed: what a failed
/// sync left on the disk is unknown, so it is never tried again.
class disk_store
{
public:
    explicit disk_store(file_system& files);

    /// What the folder held.
    struct contents
    {
        control::disk_recovered recovered;
        byte_count cut;                 ///< Bytes of writes that were never synced and are cut off.
        bool is_record_damaged = false; ///< The record beside the log cannot be read.
    };

    /// Reads the folder. Fails if something that had been synced is damaged.
    result<contents> recover();

    /// Makes the folder writable again after a failure. Fails while it takes no write. What was
    /// synced is still there, later writes are not.
    /// Precondition: recover() succeeded.
    result<void> reopen();

    /// Takes a write; it is on the disk after the next sync().
    result<void> apply(control::persist const& it);
    result<void> apply(control::persist_snapshot const& it);
    /// Writes a record; it is on the disk when this returns.
    result<void> apply(control::keep_record const& it);

    /// Writes the newest state and then the log; several writes of the state take one.
    result<void> sync();

private:
    result<void> read_state(control::disk_recovered& out);
    result<any_message> read_record();
    result<void> write_state(control::hard_state const& it);
    result<void> make_origin();
    /// Writes and removes a file, to find out whether the folder takes writes.
    result<void> probe();
    result<std::string> read_whole(std::string const& name);

    file_system& files_;
    state_file state_;
    state_file record_;
    segment_log log_;
    std::optional<control::hard_state> unsynced_state_;
    std::uint64_t origin_ = 0; ///< Of the folder, known once it was recovered.
};

} // namespace mulberryrudder::disk

#endif
