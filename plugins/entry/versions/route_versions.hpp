#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_VERSIONS_ROUTE_VERSIONS_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_VERSIONS_ROUTE_VERSIONS_HPP

#include "share_counter.hpp"
#include "version_judge.hpp"

#include <mulberryrudder/core/fleet_config.hpp>
#include <mulberryrudder/messages/lease.hpp>

#include <map>

namespace mulberryrudder::entry
{

/// What an instance saw of one version since its last report.
struct version_tally
{
    requests answered;
    requests failed;
    microseconds latency_sum{};
    microseconds latency_worst{};

    void add(version_outcome const& it);
};

/// The state of one route while a move is on: who gets the next request, what
/// was seen, and whether the new version was withdrawn here.
///
/// Thread safety: one owner.
class route_versions
{
public:
    route_versions(version_judge::options judging, route_config const& from);

    /// Takes a changed share over.
    /// Precondition: is_of(from).
    void follow(route_config const& from) { shares_.set_share(from.next_share); }

    /// Returns whether this state is of the move that the configuration shows.
    bool is_of(route_config const& from) const
    {
        return from.version == old_ && from.next == next_;
    }

    version_id const& old_version() const { return old_; }
    version_id const& next_version() const { return next_; }
    share_counter& shares() { return shares_; }
    version_judge const& judge() const { return judge_; }
    bool is_tripped() const { return judge_.is_bad(); }

    /// Takes an outcome in; returns whether it trips the new version now.
    bool observe(version_id const& version, version_outcome const& it);

    /// Appends what was seen since the last call.
    void report(route_id const& route, std::vector<messages::version_observation>& out);

private:
    version_id old_;
    version_id next_;
    share_counter shares_;
    version_judge judge_;
    std::map<version_id, version_tally> seen_;
};

} // namespace mulberryrudder::entry

#endif
