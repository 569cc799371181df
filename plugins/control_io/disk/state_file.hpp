#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_IO_DISK_STATE_FILE_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_IO_DISK_STATE_FILE_HPP

#include "file_system.hpp"
#include "record_format.hpp"

#include <cstdint>
#include <string>

namespace mulberryrudder::disk
{

/// Keeps the newest of a series of records in one file with two slots of equal size, which are
/// written in turn. A write in place frees no block and changes no name, so that it takes one sync
/// of the data, where the replacement of a file waits for the file system's journal.
///
/// A record that is torn or damaged leaves the one before it, as at the end of a segment_log.
///
/// Thread safety: one owner. After a call that failed, only reopen() is allowed.
class state_file
{
public:
    state_file(file_system& files, std::string name) : files_(files), name_(std::move(name)) {}

    /// Returns the newest record. Reads files of one record without slots, too. Fails if the file
    /// contains no record.
    /// Precondition: the file exists.
    result<std::string> recover();

    /// Writes a record and waits until it is on the disk; makes the file if it is absent.
    result<void> write(std::string const& body);

    /// Lets the next write replace the whole file, since the last one failed.
    void reopen() { slot_size_ = 0; }

private:
    file_system& files_;
    std::string name_;
    std::uint64_t slot_size_ = 0; ///< Zero if the next write must make the file anew.
    std::uint64_t newest_slot_ = 0;
    batch_number newest_;
};

} // namespace mulberryrudder::disk

#endif
