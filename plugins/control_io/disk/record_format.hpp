#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_IO_DISK_RECORD_FORMAT_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_IO_DISK_RECORD_FORMAT_HPP

#include <mulberryrudder/core/strong.hpp>

#include <capnp/message.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mulberryrudder::disk
{

/// Numbers the syncs of a log. The records between two syncs form a batch; a batch
/// is written only after the one before it was synced.
using batch_number = strong_id<struct batch_tag, std::uint64_t>;

/// One record as it was found.
struct found_record
{
    batch_number batch;
    bool last = false;     ///< The batch is complete with this record.
    std::string_view body; ///< A Cap'n Proto message in its flat form.
};

/// Frames a record: length of the body, CRC-32 of the rest (Boost.CRC), twice the
/// batch plus one if it is the batch's last record, body; little-endian numbers.
std::string frame(batch_number batch, bool last, std::string_view body);

/// Returns the whole record at the beginning of `bytes`, if there is one. It points into `bytes`.
std::optional<found_record> read_record(std::string_view bytes);

/// Returns the number of bytes that a record takes with its frame.
std::uint64_t framed_size(found_record const& record);

/// What a segment's bytes hold.
struct scan_result
{
    std::vector<std::string_view> bodies; ///< Of the complete batches.
    std::uint64_t good_bytes = 0;         ///< Size of the complete batches.
    batch_number newest;                  ///< Newest complete batch.
    bool torn = false;                    ///< A batch behind them is not complete.
    /// A batch that was synced is damaged: a later one was written already.
    bool corrupt = false;
};

/// Finds the complete batches of a segment whose first one follows `before`.
/// The result points into `bytes`.
scan_result scan(std::string_view bytes, batch_number before);

/// Returns a Cap'n Proto message in its flat form.
std::string flatten(capnp::MessageBuilder& message);

} // namespace mulberryrudder::disk

#endif
