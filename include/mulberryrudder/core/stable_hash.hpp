#ifndef MULBERRYRUDDER_CORE_STABLE_HASH_HPP
#define MULBERRYRUDDER_CORE_STABLE_HASH_HPP

#include <cstdint>
#include <string_view>

namespace mulberryrudder
{

/// Hashes values alike on all instances, which std::hash does not promise. Source of the
/// function: FNV-1a, 64 bits (Fowler, Noll, Vo).
///
/// Thread safety: one owner.
class stable_hash
{
public:
    /// Adds a text; its end counts, so that two texts differ from their concatenation.
    constexpr stable_hash& add(std::string_view text)
    {
        for (char const it : text)
            add_byte(static_cast<unsigned char>(it));
        return add(text.size());
    }

    constexpr stable_hash& add(std::uint64_t number)
    {
        for (int n = 0; n != 8; ++n)
            add_byte(static_cast<unsigned char>(number >> (8 * n)));
        return *this;
    }

    constexpr void add_byte(unsigned char it) { value_ = (value_ ^ it) * 0x100000001b3U; }

    constexpr std::uint64_t value() const { return value_; }

private:
    std::uint64_t value_ = 0xcbf29ce484222325U;
};

} // namespace mulberryrudder

#endif
