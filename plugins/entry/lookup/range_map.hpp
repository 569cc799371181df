#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_LOOKUP_RANGE_MAP_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_LOOKUP_RANGE_MAP_HPP

#include <mulberryrudder/core/strong.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <vector>

namespace mulberryrudder::entry
{

/// Numbers a site in the block table.
using site_index = strong_id<struct site_index_tag, std::uint16_t>;
/// Stands for clients of no known block.
inline site_index const no_site{0xFFFF};

/// Maps each number of type Key to a site by sorted ranges: the starts in one array
/// and the sites in another, with an index over the upper 16 bits, so that a search
/// touches few cache lines. It is immutable once made.
template <class Key>
class range_map
{
public:
    /// A range of keys, both ends included; ranges nest or are apart.
    struct range
    {
        Key first;
        Key last;
        site_index site;
    };

    range_map() : range_map(std::vector<range>{}) {}

    /// Precondition: any two ranges nest or are apart; of equal ones the later counts.
    explicit range_map(std::vector<range> ranges)
    {
        auto const outer_first = [](range const& a, range const& b)
        { return a.first != b.first ? a.first < b.first : a.last > b.last; };
        std::stable_sort(ranges.begin(), ranges.end(), outer_first);
        start(Key{0}, no_site);
        std::vector<range> open;
        for (auto const& it : ranges)
        {
            close_before(it.first, open);
            start(it.first, it.site);
            open.push_back(it);
        }
        close_all(open);
        starts_.shrink_to_fit();
        sites_.shrink_to_fit();
        make_index();
    }

    site_index find(Key key) const noexcept
    {
        auto const upper = static_cast<std::size_t>(key >> index_shift);
        auto const* at = starts_.data() + index_[upper];
        auto length = static_cast<std::size_t>(index_[upper + 1] - index_[upper]) + 1;
        // Halves without branches; `at` stays the last known start that is not behind the key.
        while (length > 1)
        {
            auto const half = length / 2;
            at += at[half] <= key ? half : 0;
            length -= half;
        }
        return site_index(sites_[static_cast<std::size_t>(at - starts_.data())]);
    }

    std::size_t memory() const noexcept
    {
        return starts_.capacity() * sizeof(Key) + sites_.capacity() * sizeof(std::uint16_t) +
               index_.capacity() * sizeof(std::uint32_t);
    }

private:
    static constexpr int index_shift = std::numeric_limits<Key>::digits - 16;
    static constexpr std::size_t index_size = 65536;

    /// Lets a range of the site begin; an equal neighbour is joined.
    void start(Key first, site_index site)
    {
        if (!starts_.empty() && starts_.back() == first)
        {
            starts_.pop_back();
            sites_.pop_back();
        }
        if (!sites_.empty() && sites_.back() == site.value())
            return;
        starts_.push_back(first);
        sites_.push_back(site.value());
    }

    /// Ends the open ranges that lie before `next`.
    void close_before(Key next, std::vector<range>& open)
    {
        while (!open.empty() && open.back().last < next)
            close_last(open);
    }

    void close_all(std::vector<range>& open)
    {
        while (!open.empty())
            close_last(open);
    }

    void close_last(std::vector<range>& open)
    {
        auto const last = open.back().last;
        open.pop_back();
        if (last != std::numeric_limits<Key>::max())
            start(last + 1, open.empty() ? no_site : open.back().site);
    }

    void make_index()
    {
        index_.reserve(index_size + 1);
        std::size_t at = 0;
        for (std::size_t upper = 0; upper != index_size; ++upper)
        {
            auto const key = static_cast<Key>(static_cast<Key>(upper) << index_shift);
            while (at + 1 != starts_.size() && starts_[at + 1] <= key)
                ++at;
            index_.push_back(static_cast<std::uint32_t>(at));
        }
        index_.push_back(static_cast<std::uint32_t>(starts_.size() - 1));
    }

    std::vector<Key> starts_;
    std::vector<std::uint16_t> sites_;
    std::vector<std::uint32_t> index_; ///< Last start not behind each value of the upper bits.
};

} // namespace mulberryrudder::entry

#endif
