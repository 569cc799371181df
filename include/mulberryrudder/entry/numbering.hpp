#ifndef MULBERRYRUDDER_ENTRY_NUMBERING_HPP
#define MULBERRYRUDDER_ENTRY_NUMBERING_HPP

#include <mulberryrudder/core/ids.hpp>

#include <cstdint>

namespace mulberryrudder::entry
{

/// Who numbers: the front end and the core count in spaces of their own.
enum class number_space : std::uint64_t
{
    front_end = 0,
    core = 1
};

/// Gives numbers that no other instance, start or space gives: 16 bits of the
/// instance, 15 of its start, one of the space, 32 of a count.
///
/// Thread safety: one owner.
class numbering
{
public:
    numbering(instance_id instance, boot_id boot, number_space space)
        : base_((std::uint64_t{folded(instance)} << 48U) | ((boot.value() & 0x7FFFU) << 33U) |
                (static_cast<std::uint64_t>(space) << 32U))
    {
    }

    std::uint64_t next() { return base_ | ++count_; }

private:
    /// Instances that are numbered by their IPv4 address differ in all four bytes.
    static std::uint32_t folded(instance_id it)
    {
        return (it.value() ^ (it.value() >> 16U)) & 0xFFFFU;
    }

    std::uint64_t base_;
    std::uint32_t count_ = 0;
};

} // namespace mulberryrudder::entry

#endif
