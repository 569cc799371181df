#include "replica_events.hpp"

namespace mulberryrudder::control::replica_events
{

using kernel::counter_kind;
using kernel::event_kind;
using kernel::severity;

event_kind const founded({.number = 500,
                          .name = "replica.founded",
                          .level = severity::info,
                          .meaning = "All initial control instances had blank disks, and this one "
                                     "founded the control group.",
                          .action = "None on the first start. Otherwise all state was lost: stop "
                                    "the group and restore its disks."});
event_kind const
    leading({.number = 501,
             .name = "replica.leading",
             .level = severity::info,
             .meaning = "This control instance became the leader of the control group and is "
                        "confirmed by a majority, `since_start_ms` after its disk was read.",
             .action = "None."});
event_kind const not_leading({.number = 502,
                              .name = "replica.not_leading",
                              .level = severity::info,
                              .meaning = "This control instance is no longer the leader.",
                              .action = "None, unless no other instance becomes the leader."});
event_kind const disk_failed({.number = 503,
                              .name = "replica.disk_failed",
                              .level = severity::error,
                              .meaning = "Writing to the disk failed; this control instance "
                                         "neither votes nor leads until replica.disk_restored.",
                              .action = "Free space on the disk or replace it."});
event_kind const disk_outdated({.number = 504,
                                .name = "replica.disk_outdated",
                                .level = severity::warning,
                                .meaning = "The disk holds an older state than before; this "
                                           "control instance joins again without a vote.",
                                .action = "Find out why the data folder was restored."});
event_kind const
    catching_up({.number = 505,
                 .name = "replica.catching_up",
                 .level = severity::info,
                 .meaning = "The control group exists and this disk has no vote in it; this "
                            "control instance replicates the state without a "
                            "vote.",
                 .action = "None; if it persists, check whether the group has a leader."});
event_kind const voting({.number = 506,
                         .name = "replica.voting",
                         .level = severity::info,
                         .meaning = "This control instance has a vote in the control group.",
                         .action = "None."});
event_kind const membership_changed({.number = 507,
                                     .name = "replica.membership_changed",
                                     .level = severity::info,
                                     .meaning = "A new membership of the control group was "
                                                "committed.",
                                     .action = "None."});
event_kind const foreign_group({.number = 508,
                                .name = "replica.foreign_group",
                                .level = severity::error,
                                .meaning = "A control instance of another control group is "
                                           "configured as one of this group.",
                                .action = "Compare the settings; clear the data folder of the "
                                          "instance that does not belong here."});
event_kind const snapshot_installed({.number = 509,
                                     .name = "replica.snapshot_installed",
                                     .level = severity::info,
                                     .meaning = "The state was replaced by the leader's "
                                                "snapshot.",
                                     .action = "None."});
event_kind const disk_restored({.number = 510,
                                .name = "replica.disk_restored",
                                .level = severity::info,
                                .meaning = "After a failure, the disk holds the whole state again; "
                                           "this control instance may vote and lead.",
                                .action = "None."});

event_kind const
    election_ended({.number = 511,
                    .name = "replica.election_ended",
                    .level = severity::info,
                    .meaning = "An election in which this control instance was the candidate of "
                               "`term` ended after `took_ms` with `votes` votes. `outcome` is "
                               "`won`, `lost` if another leader or a higher term came up, or "
                               "`given_up` if another election was due; `own_sync_ms` is how long "
                               "the disk took for the own vote, -1 if it was not synced.",
                    .action = "If elections are given up in series, compare `own_sync_ms` and "
                              "`disk.slow_sync` with replica/election_timeout, and check the "
                              "connections between control instances."});

event_kind const leader_missing(
    {.number = 512,
     .name = "replica.leader_missing",
     .level = severity::warning,
     .meaning = "A voter has known no leader for 2 s (`missing`), or knows one again after "
                "`for_ms`. No order is accepted without one. Of the group's `voters`, those in "
                "`answering` were heard with the disk that counts, those in `other_disk` with "
                "another one, and those in `silent` were not heard in the last 3 s.",
     .action = "A leader needs more than half of the voters in `answering`. Start the silent ones; "
               "where a disk was replaced, bring back the one that counts."});

event_kind const lead_handed_over(
    {.number = 513,
     .name = "replica.lead_handed_over",
     .level = severity::info,
     .meaning = "This control instance stops as planned, and asked the voter `to` to lead.",
     .action = "None."});

event_kind const snapshot_taken(
    {.number = 514,
     .name = "replica.snapshot_taken",
     .level = severity::info,
     .meaning = "A snapshot of the state up to `index` took the place of `entries` log entries of "
                "about `log_bytes` in memory; the snapshot has about `snapshot_bytes`.",
     .action = "None."});

counter_kind const pre_votes("replica.trials", "Pre-vote rounds that this replica started.");
counter_kind const elections("replica.elections",
                             "Elections that this replica started as a candidate.");
counter_kind const votes_refused("replica.votes_refused",
                                 "Vote and pre-vote requests that were refused.");
counter_kind const entries_proposed("replica.entries_proposed",
                                    "Commands that this replica appended as leader.");
counter_kind const
    proposals_refused("replica.proposals_refused",
                      "Commands that were refused because this replica may not act as leader.");
counter_kind const entries_applied("replica.entries_applied", "Committed entries applied.");
counter_kind const
    appends_rejected("replica.appends_rejected",
                     "Append requests whose previous entry did not match this replica's log.");
counter_kind const snapshots_taken("replica.snapshots_taken",
                                   "Snapshots that this replica took of its state.");
counter_kind const pieces_sent("replica.pieces_sent", "Snapshot pieces sent to other replicas.");
counter_kind const entries_sent("replica.entries_sent",
                                "Log entries sent to other replicas, repeated ones included.");
counter_kind const log_bytes("replica.log_bytes",
                             "About how many bytes the log takes in memory, without the snapshot.");
counter_kind const snapshot_bytes("replica.snapshot_bytes",
                                  "About how many bytes the newest snapshot takes in memory.");

} // namespace mulberryrudder::control::replica_events
