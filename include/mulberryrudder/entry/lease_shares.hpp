#ifndef MULBERRYRUDDER_ENTRY_LEASE_SHARES_HPP
#define MULBERRYRUDDER_ENTRY_LEASE_SHARES_HPP

#include <mulberryrudder/core/time.hpp>
#include <mulberryrudder/messages/lease.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace mulberryrudder::entry
{

/// Who shares something with this instance, by one lease.
struct sharing
{
    std::size_t rank = 0;  ///< Of this instance among them, by id.
    std::size_t count = 0; ///< 0 if this instance has no part.

    friend bool operator==(sharing const&, sharing const&) = default;
};

/// Returns the sharing between the live members that pass the test.
///
/// Precondition: the members are those of a lease that `self` was just granted.
template <class Test>
sharing sharing_among(std::vector<messages::member> const& members, instance_id self,
                      Test const& test)
{
    sharing out;
    bool listed = false;
    for (auto const& it : members)
    {
        if (!it.live || !test(it.where))
            continue;
        ++out.count;
        listed |= it.where.id == self;
        out.rank += it.where.id < self ? 1 : 0;
    }
    // The grant itself shows that this instance is live.
    out.count += listed ? 0 : 1;
    return out;
}

/// Divides something, such as a target's slots, between entry instances.
///
/// The parts of all lease holders never sum to more than the whole, although they
/// learn of a change at different times: a part shrinks at once, grows only after
/// all leases that were granted before the change have lapsed, and until then the
/// remainder of the division is given to nobody. A part held before a lapse is
/// begun anew, since others may have grown meanwhile.
///
/// Precondition: a lease names every instance that holds one as live.
/// Thread safety: one owner.
class lease_shares
{
public:
    /// Takes the sharing of a lease that was granted for `valid_for`.
    void learn(sharing newest, instant now, span valid_for);

    /// Forgets sharings that no other lease holder can act by any more.
    void expire(instant now);

    /// Returns this instance's part of `whole`; `salt` spreads the remainders of
    /// different targets over the instances.
    std::int64_t part_of(std::int64_t whole, std::uint64_t salt) const;

private:
    struct former
    {
        sharing what;
        instant until;
    };

    sharing newest_;
    instant lapses_at_; ///< Of the newest lease.
    std::vector<former> former_;
};

} // namespace mulberryrudder::entry

#endif
