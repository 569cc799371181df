#include "segment_log.hpp"

#include <algorithm>
#include <charconv>

namespace mulberryrudder::disk
{

namespace
{

constexpr std::string_view prefix = "log-";
/// Size at which the next batch goes into a new segment.
constexpr std::uint64_t full_size = 1 << 20;

/// Pads the first batch's number, so that names sort as numbers do.
std::string segment_name(batch_number before)
{
    constexpr std::size_t width = 20;
    auto const digits = std::to_string(before.value() + 1);
    return std::string(prefix) + std::string(width - digits.size(), '0') + digits;
}

bool parse_name(std::string const& name, batch_number& before)
{
    if (!name.starts_with(prefix))
        return false;
    std::uint64_t first = 0;
    auto const* const begin = name.data() + prefix.size();
    auto const* const end = name.data() + name.size();
    auto const parsed = std::from_chars(begin, end, first);
    if (parsed.ec != std::errc() || parsed.ptr != end || first == 0)
        return false;
    before = batch_number(first - 1);
    return true;
}

boost::leaf::error_id corrupted(std::string const& name)
{
    return boost::leaf::new_error(
        failure{.place = name, .expected = "records with right checksums up to the last sync"});
}

} // namespace

result<std::vector<segment_log::segment>> segment_log::find_segments()
{
    BOOST_LEAF_AUTO(names, files_.list());
    std::vector<segment> out;
    for (auto const& name : names)
    {
        segment it{.name = name, .before = {}, .highest = {}};
        if (parse_name(name, it.before))
            out.push_back(std::move(it));
    }
    std::sort(out.begin(), out.end(),
              [](segment const& a, segment const& b) { return a.before < b.before; });
    return out;
}

result<segment_log::recovery>
segment_log::recover(log_index covered,
                     std::function<result<log_index>(std::string_view)> const& take)
{
    recovery out;
    std::size_t leftover_count = 0;
    log_index highest;
    BOOST_LEAF_ASSIGN(segments_, find_segments());
    for (auto& it : segments_)
    {
        bool const first = &it == &segments_.front();
        bool const newest = &it == &segments_.back();
        BOOST_LEAF_AUTO(bytes, files_.read(it.name));
        auto const found = scan(bytes, it.before);
        bool const gap = !first && it.before != batch_;
        if (gap && highest <= covered)
            leftover_count = static_cast<std::size_t>(&it - segments_.data());
        else if (gap)
            return corrupted(it.name);
        if (found.corrupt || (found.torn && !newest))
            return corrupted(it.name);
        for (auto const body : found.bodies)
        {
            BOOST_LEAF_AUTO(index, take(body));
            it.highest = std::max(it.highest, index);
        }
        highest = std::max(highest, it.highest);
        batch_ = found.newest;
        it.size = found.good_bytes;
        if (found.torn)
        {
            out.cut = byte_count(static_cast<std::int64_t>(bytes.size() - found.good_bytes));
            BOOST_LEAF_CHECK(files_.truncate(it.name, found.good_bytes));
        }
    }
    BOOST_LEAF_CHECK(remove_first(leftover_count));
    if (segments_.empty())
    {
        BOOST_LEAF_CHECK(begin_segment());
        return out;
    }
    BOOST_LEAF_ASSIGN(open_, files_.open(segments_.back().name));
    // A process that was killed may have left a batch that was written and not synced.
    BOOST_LEAF_CHECK(open_->sync());
    return out;
}

result<void> segment_log::reopen()
{
    added_.clear();
    added_highest_ = {};
    open_.reset();
    // A removal that failed may have removed some of the segments.
    BOOST_LEAF_AUTO(found, find_segments());
    std::erase_if(segments_,
                  [&](segment const& known)
                  {
                      return std::none_of(found.begin(), found.end(),
                                          [&](segment const& it) { return it.name == known.name; });
                  });
    if (segments_.empty())
        return corrupted(segment_name(batch_));
    auto const& newest = segments_.back();
    BOOST_LEAF_CHECK(files_.truncate(newest.name, newest.size));
    if (newest.size != 0)
        return begin_segment();
    BOOST_LEAF_ASSIGN(open_, files_.open(newest.name));
    return {};
}

void segment_log::add(std::string body, log_index index)
{
    added_.push_back(std::move(body));
    added_highest_ = std::max(added_highest_, index);
}

result<void> segment_log::sync()
{
    if (added_.empty())
        return {};
    if (segments_.back().size >= full_size)
        BOOST_LEAF_CHECK(begin_segment());
    batch_number const next(batch_.value() + 1);
    std::string bytes;
    for (auto const& it : added_)
        bytes += frame(next, &it == &added_.back(), it);
    BOOST_LEAF_CHECK(open_->append(bytes));
    BOOST_LEAF_CHECK(open_->sync());
    batch_ = next;
    auto& written = segments_.back();
    written.size += bytes.size();
    written.highest = std::max(written.highest, added_highest_);
    added_.clear();
    added_highest_ = {};
    return {};
}

result<void> segment_log::remove_up_to(log_index index)
{
    if (segments_.back().size != 0)
        BOOST_LEAF_CHECK(begin_segment());
    auto const is_needed = [&](segment const& it) { return it.highest > index; };
    auto const needed = std::find_if(segments_.begin(), segments_.end() - 1, is_needed);
    return remove_first(static_cast<std::size_t>(needed - segments_.begin()));
}

result<void> segment_log::remove_first(std::size_t count)
{
    if (count == 0)
        return {};
    auto const end = segments_.begin() + static_cast<std::ptrdiff_t>(count);
    for (auto it = segments_.begin(); it != end; ++it)
        BOOST_LEAF_CHECK(files_.remove(it->name));
    segments_.erase(segments_.begin(), end);
    return files_.sync_folder();
}

result<void> segment_log::begin_segment()
{
    segment added{.name = segment_name(batch_), .before = batch_, .highest = {}};
    BOOST_LEAF_ASSIGN(open_, files_.open(added.name));
    BOOST_LEAF_CHECK(files_.sync_folder());
    segments_.push_back(std::move(added));
    return {};
}

} // namespace mulberryrudder::disk
