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
event_kind const leading({.number = 501,
                          .name = "replica.leading",
                          .level = severity::info,
                          .meaning = "This control instance leads from now on.",
                          .action = "None."});
event_kind const not_leading({.number = 502,
                              .name = "replica.not_leading",
                              .level = severity::info,
                              .meaning = "This control instance no longer leads.",
                              .action = "None, unless no other instance starts to lead."});
event_kind const disk_failed({.number = 503,
                              .name = "replica.disk_failed",
                              .level = severity::error,
                              .meaning = "The disk cannot be written; this control instance "
                                         "neither votes nor leads until it is started anew.",
                              .action = "Make room on the disk or replace it, then restart."});
event_kind const disk_outdated({.number = 504,
                                .name = "replica.disk_outdated",
                                .level = severity::warning,
                                .meaning = "The disk holds an older state than it held before; "
                                           "this control instance joins anew without a vote.",
                                .action = "Find out who restored the data folder."});
event_kind const catching_up({.number = 505,
                              .name = "replica.catching_up",
                              .level = severity::info,
                              .meaning = "The control group exists and does not count this disk; "
                                         "this control instance takes the state over without a "
                                         "vote.",
                              .action = "None; if it lasts, look whether the group has a leader."});
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
                                     .meaning = "The state was taken over from the leader's "
                                                "snapshot.",
                                     .action = "None."});

counter_kind const trials("replica.trials", "Rounds in which a vote was asked for on trial.");
counter_kind const elections("replica.elections", "Elections that this replica stood in.");
counter_kind const votes_refused("replica.votes_refused",
                                 "Votes, also on trial, that were not given.");
counter_kind const entries_proposed("replica.entries_proposed",
                                    "Commands that were appended as leader.");
counter_kind const proposals_refused("replica.proposals_refused",
                                     "Commands that were not appended for want of authority.");
counter_kind const entries_applied("replica.entries_applied", "Committed entries applied.");
counter_kind const appends_rejected("replica.appends_rejected",
                                    "Appends of a leader that did not fit this replica's log.");
counter_kind const snapshots_taken("replica.snapshots_taken", "Snapshots of the own state.");
counter_kind const pieces_sent("replica.pieces_sent", "Pieces of snapshots sent to others.");

} // namespace mulberryrudder::control::replica_events
