#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_IO_DISK_DISK_STORE_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_IO_DISK_DISK_STORE_HPP

#include "segment_log.hpp"

#include <mulberryrudder/control/inputs.hpp>

namespace mulberryrudder::disk
{

/// Keeps a replica's hard state, snapshot and log in one folder. The first two are
/// files that are replaced as a whole (temporary file, sync, rename, sync of the
/// folder); the log is a segment_log.
/// A file that is never written again tells a folder from its copies.
///
/// Thread safety: one owner. After a call that failed, only reopen() is allowed: what a failed
/// sync left on the disk is unknown, so it is never tried again.
class disk_store
{
public:
    explicit disk_store(file_system& files) : files_(files), log_(files) {}

    /// What the folder held.
    struct contents
    {
        control::disk_recovered recovered;
        byte_count cut; ///< Bytes of writes that were never synced and are cut off.
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

    result<void> sync() { return log_.sync(); }

private:
    result<void> read_state(control::disk_recovered& out);
    result<void> write_state(control::hard_state const& it);
    result<void> make_origin();
    /// Writes and removes a file, to find out whether the folder takes writes.
    result<void> probe();
    result<void> replace(std::string const& name, std::string const& body);
    result<std::string> read_whole(std::string const& name);

    file_system& files_;
    segment_log log_;
    std::uint64_t origin_ = 0; ///< Of the folder, known once it was recovered.
};

} // namespace mulberryrudder::disk

#endif
