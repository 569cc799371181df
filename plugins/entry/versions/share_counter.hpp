#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_VERSIONS_SHARE_COUNTER_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_VERSIONS_SHARE_COUNTER_HPP

#include <mulberryrudder/core/ids.hpp>
#include <mulberryrudder/core/units.hpp>

#include <cstdint>
#include <unordered_map>

namespace mulberryrudder::entry
{

/// Splits one route's requests between two versions by exact counting: at no
/// prefix of the sendings has the new version more than its share. What counts
/// is what was sent; a place that was taken and not used is given back.
///
/// Each change of the share opens a new window that counts from zero, so that a
/// raised share does not send a run of requests to the new version to catch up,
/// and a restart is a new window too.
///
/// Thread safety: one owner.
class share_counter
{
public:
    /// Opens a new window if the share differs from the current one.
    void set_share(per_mille share);

    /// Takes a place of the new version for the request; false if none is free.
    bool take_place(request_id id);

    bool holds_place(request_id id) const { return places_.contains(id); }

    /// Returns whether one more sending to the new version fits, without a place.
    bool fits() const;

    /// Gives the request's place back, if it holds one.
    void give_back(request_id id);

    /// Counts a sending; to the new version it uses the request's place up.
    /// Precondition: to_new needs a place, or fits().
    void sent(request_id id, bool to_new);

    requests sent_to_new() const { return total_.to_new; }
    requests sent_to_all() const { return total_.to_all; }

private:
    struct tally
    {
        requests to_new;
        requests to_all;
    };

    void count(tally& where, bool to_new);
    void check() const;

    per_mille share_;
    per_mille highest_share_;
    std::uint64_t window_ = 0;
    tally counted_;     ///< Of this window.
    requests reserved_; ///< Places taken in this window and not used yet.
    tally total_;       ///< Of all windows.
    std::unordered_map<request_id, std::uint64_t> places_; ///< The window of each place.
};

} // namespace mulberryrudder::entry

#endif
