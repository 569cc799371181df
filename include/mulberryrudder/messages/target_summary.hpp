#ifndef MULBERRYRUDDER_MESSAGES_TARGET_SUMMARY_HPP
#define MULBERRYRUDDER_MESSAGES_TARGET_SUMMARY_HPP

#include <mulberryrudder/core/stable_hash.hpp>
#include <mulberryrudder/messages/roster_notices.hpp>

#include <array>
#include <cstdint>

namespace mulberryrudder::messages
{

/// Sums up what an instance believes of the targets, in parts by their names, so that
/// another instance can tell which parts differ and send only these. Targets that are
/// gone, the age of what is believed, and its sequence do not count.
///
/// Thread safety: one owner.
class target_summary
{
public:
    static constexpr std::size_t parts = 64;
    using sums = std::array<std::uint64_t, parts>;

    target_summary() = default;
    explicit target_summary(sums const& from) : sums_(from) {}

    /// Adds a target; `cold` tells whether it is cold now.
    void add(target_notice const& it, bool cold)
    {
        if (it.standing == target_standing::gone)
            return;
        stable_hash sum;
        sum.add(it.id.value()).add(it.start.value()).add(it.service.value());
        sum.add(it.where.address).add(it.where.port).add(it.domain.value());
        sum.add(it.version.value()).add(static_cast<std::uint64_t>(it.capacity.count()));
        sum.add(static_cast<std::uint64_t>(it.standing)).add(std::uint64_t{cold});
        sums_.at(part_of(it.id)) ^= sum.value();
    }

    /// Returns whether the two differ in the part that a target belongs to.
    bool differs_at(target_id const& id, target_summary const& other) const
    {
        auto const at = part_of(id);
        return sums_.at(at) != other.sums_.at(at);
    }

    sums const& values() const { return sums_; }

    friend bool operator==(target_summary const&, target_summary const&) = default;

private:
    static std::size_t part_of(target_id const& id)
    {
        return stable_hash().add(id.value()).value() % parts;
    }

    sums sums_{};
};

} // namespace mulberryrudder::messages

#endif
