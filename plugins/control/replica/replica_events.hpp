#ifndef MULBERRYRUDDER_PLUGINS_CONTROL_REPLICA_REPLICA_EVENTS_HPP
#define MULBERRYRUDDER_PLUGINS_CONTROL_REPLICA_REPLICA_EVENTS_HPP

#include <mulberryrudder/kernel/counters.hpp>
#include <mulberryrudder/kernel/events.hpp>

namespace mulberryrudder::control::replica_events
{

extern kernel::event_kind const founded;
extern kernel::event_kind const leading;
extern kernel::event_kind const not_leading;
extern kernel::event_kind const disk_failed;
extern kernel::event_kind const disk_outdated;
extern kernel::event_kind const catching_up;
extern kernel::event_kind const voting;
extern kernel::event_kind const membership_changed;
extern kernel::event_kind const foreign_group;
extern kernel::event_kind const snapshot_installed;
extern kernel::event_kind const disk_restored;
extern kernel::event_kind const election_ended;
extern kernel::event_kind const leader_missing;
extern kernel::event_kind const lead_handed_over;
extern kernel::event_kind const snapshot_taken;

extern kernel::counter_kind const pre_votes;
extern kernel::counter_kind const elections;
extern kernel::counter_kind const votes_refused;
extern kernel::counter_kind const entries_proposed;
extern kernel::counter_kind const proposals_refused;
extern kernel::counter_kind const entries_applied;
extern kernel::counter_kind const appends_rejected;
extern kernel::counter_kind const snapshots_taken;
extern kernel::counter_kind const pieces_sent;
extern kernel::counter_kind const entries_sent;
extern kernel::counter_kind const log_bytes;
extern kernel::counter_kind const snapshot_bytes;

} // namespace mulberryrudder::control::replica_events

#endif
