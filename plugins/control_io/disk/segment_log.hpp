#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_IO_DISK_SEGMENT_LOG_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_IO_DISK_SEGMENT_LOG_HPP

#include "file_system.hpp"
#include "record_format.hpp"

#include <mulberryrudder/core/ids.hpp>
#include <mulberryrudder/core/units.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace mulberryrudder::disk
{

/// Keeps framed records in append-only files, the segments, named after their
/// first batch. Records reach a file only in sync(), a batch in one write.
///
/// Thread safety: one owner. After a call that failed, only reopen() is allowed.
class segment_log
{
public:
    explicit segment_log(file_system& files) : files_(files) {}

    /// What was cut off at recovery.
    struct recovery
    {
        byte_count cut; ///< Bytes of a batch that was never synced; 0 if there were none.
    };

    /// Reads all records in order, cuts an unsynced batch off the newest segment and
    /// opens it. `take` returns the log index that the record belongs to. Entries up to `covered`
    /// are not needed: segments of these alone that stand before a missing one are removed, since a
    /// loss of power may undo a part of what remove_up_to() did. Fails on a damaged record that had
    /// been synced, and on another missing segment.
    result<recovery> recover(log_index covered,
                             std::function<result<log_index>(std::string_view)> const& take);

    /// Drops the added records, cuts off what a failed sync may have left behind and begins a new
    /// segment, so that no record follows bytes whose sync failed.
    /// Precondition: recover() succeeded.
    result<void> reopen();

    /// Adds a record that belongs to a log index, for the next sync.
    void add(std::string body, log_index index);

    /// Writes and syncs the added records; a new segment begins when one is full.
    result<void> sync();

    /// Removes the older segments whose records all belong to indexes up to `index`.
    result<void> remove_up_to(log_index index);

private:
    struct segment
    {
        std::string name;
        batch_number before;
        log_index highest; ///< Of its records.
        std::uint64_t size = 0;
    };

    result<std::vector<segment>> find_segments();
    result<void> begin_segment();
    /// Removes the first `count` segments.
    result<void> remove_first(std::size_t count);

    file_system& files_;
    std::vector<segment> segments_; ///< The last one is open.
    std::unique_ptr<output_file> open_;
    batch_number batch_; ///< Newest batch that was synced.
    std::vector<std::string> added_;
    log_index added_highest_;
};

} // namespace mulberryrudder::disk

#endif
