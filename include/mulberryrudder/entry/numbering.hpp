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
        : base_((std::uint64_t{instance.value() & 0xFFFFU} << 48U) |
                ((boot.value() & 0x7FFFU) << 33U) | (static_cast<std::uint64_t>(space) << 32U))
    {
    }

    std::uint64_t next() { return base_ | ++count_; }

private:
    std::uint64_t base_;
    std::uint32_t count_ = 0;
};

} // namespace mulberryrudder::entry

#endif
