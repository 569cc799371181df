#include "state_file.hpp"

#include <algorithm>

namespace mulberryrudder::disk
{

namespace
{

constexpr std::uint64_t block_size = 4096;
constexpr std::uint64_t slot_count = 2;

/// Returns the size of a slot for records that may double.
std::uint64_t slot_size_for(std::uint64_t record_size)
{
    return (record_size * 2 + block_size - 1) / block_size * block_size;
}

} // namespace

result<std::string> state_file::recover()
{
    BOOST_LEAF_AUTO(bytes, files_.read(name_));
    std::uint64_t const half = bytes.size() / slot_count;
    auto const first = read_record(bytes);
    bool const is_whole = first && framed_size(*first) == bytes.size();
    bool const has_slots = !is_whole && half != 0 && half % block_size == 0;
    auto const second =
        has_slots ? read_record(std::string_view(bytes).substr(half)) : std::nullopt;
    if ((!first || !(has_slots || is_whole)) && !second)
        return boost::leaf::new_error(failure{
            .place = name_, .expected = "a well-formed record, not: a wrong checksum or length"});
    newest_slot_ = !first || (second && second->batch > first->batch) ? 1 : 0;
    auto const& newest = newest_slot_ == 0 ? *first : *second;
    newest_ = newest.batch;
    slot_size_ = has_slots ? half : 0;
    // A write that was not synced before a crash may have been read; it must be on the disk before
    // the other slot is written.
    BOOST_LEAF_CHECK(files_.sync(name_));
    return std::string(newest.body);
}

result<void> state_file::write(std::string const& body)
{
    batch_number const next(newest_.value() + 1);
    auto record = frame(next, true, body);
    if (record.size() > slot_size_)
    {
        auto const slot_size = slot_size_for(record.size());
        record.resize(slot_size * slot_count);
        BOOST_LEAF_CHECK(replace_file(files_, name_, record));
        slot_size_ = slot_size;
        newest_slot_ = 0;
    }
    else
    {
        auto const slot = (newest_slot_ + 1) % slot_count;
        BOOST_LEAF_CHECK(files_.overwrite(name_, slot * slot_size_, record));
        newest_slot_ = slot;
    }
    newest_ = next;
    return {};
}

} // namespace mulberryrudder::disk
