//! All events. Hundreds group them: 1xx the process, 2xx membership, 3xx the platform and configuration,
//! 4xx workers, 5xx partitions and tasks, 6xx callers' requests, 7xx operators.

use crate::{Event, Level};

macro_rules! catalogue {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $level:ident, $text:literal;)*) => {
        $($(#[$doc])* pub const $name: Event = Event { number: $number, level: Level::$level, text: $text };)*
        /// Every event, in the order of the numbers.
        pub const ALL: &[Event] = &[$($name),*];
    };
}

catalogue! {
    /// The process serves.
    STARTED = 101, Info, "started";
    /// A planned stop began.
    STOPPING = 102, Info, "planned stop begins";
    /// The process ends.
    STOPPED = 103, Info, "stopped";
    /// More lines of a kind came up than are written in a second.
    LINES_LEFT_OUT = 104, Warning, "lines of an event were left out in an earlier second";
    /// The process did not run for longer than its bound.
    PAUSED = 105, Warning, "the process was paused; authority is confirmed anew";
    /// The settings were read again.
    RELOADED = 106, Info, "settings read again";
    /// The settings can't be read.
    RELOAD_FAILED = 107, Warning, "settings can't be read again; the old ones stay";
    /// An entry host is live.
    HOST_LIVE = 201, Info, "entry host is live";
    /// An entry host is leaving.
    HOST_LEAVING = 202, Info, "entry host is leaving";
    /// An entry host is dead.
    HOST_DEAD = 203, Warning, "entry host is taken for dead";
    /// A message on the peer port was refused.
    MESSAGE_REFUSED = 204, Warning, "message on the peer port refused";
    /// A platform call failed.
    PLATFORM_FAILED = 301, Warning, "platform call failed";
    /// The watch on the configuration ended.
    WATCH_ENDED = 302, Info, "watch on the configuration ended; it is resumed";
    /// New configuration is in force.
    CONFIGURATION = 303, Debug, "configuration in force";
    /// A record in the configuration can't be read.
    RECORD_UNREADABLE = 304, Error, "record in the configuration can't be read; the last good one stays";
    /// The platform's list changed.
    LIST_CHANGED = 305, Info, "list of hosts changed";
    /// The configuration is in force on this host.
    CONFIG_IN_FORCE = 306, Info, "configuration in force on this host";
    /// The platform answers again.
    PLATFORM_BACK = 307, Info, "platform answers again";
    /// An entry among those of the workers names none.
    ENTRY_UNUSABLE = 308, Warning, "an entry in the list of workers makes no sense; it names none";
    /// Other data centres are evacuated than before.
    EVACUATED = 309, Info, "data centres to which nothing new is sent have changed";
    /// The leader is known.
    LEADER_KNOWN = 310, Info, "leader known";
    /// No leader is known.
    LEADER_LOST = 311, Warning, "no leader is known";
    /// Who was taken for the leader is none.
    LEADER_DENIES = 312, Info, "the recorded leader does not lead";
    /// This host has claimed leadership.
    CLAIMED = 313, Info, "leadership claimed";
    /// A claim failed.
    CLAIM_FAILED = 314, Info, "claim of leadership failed";
    /// The log was read.
    RECOVERED = 315, Info, "book rebuilt from the log";
    /// Another host leads.
    DEPOSED = 316, Warning, "leadership ended";
    /// Records were not written before a planned stop.
    FLUSH_FAILED = 317, Warning, "records not written before the planned stop; the workers list them again";
    /// The leader's record has vanished.
    LEASE_LOST = 318, Warning, "lease of the leader's record is gone; it is written anew";
    /// What became of a transaction is not known yet.
    WRITE_UNSETTLED = 319, Warning, "part of the log not written yet; the transaction is repeated";
    /// The leader gives up in a follower's favour.
    YIELDED = 320, Warning, "another host is asked to lead";
    /// The leader asks this host to replace it.
    TAKE_OVER_ASKED = 321, Info, "the leader asks this host to replace it";
    /// The leader before gives no leases any more.
    PREDECESSOR_ENDED = 322, Info, "the leader before is known to have ended";
    /// A newer configuration couldn't be passed between this host and the leader.
    CONFIG_NOT_PASSED = 323, Warning, "configuration not passed between this host and the leader";
    /// The configuration has a part that makes no sense.
    CONFIG_FAULT = 324, Warning, "a part of the configuration makes no sense and is left out";
    /// One of the leader's loops has panicked.
    LOOP_FAILED = 325, Error, "a loop of the leader failed; its reign ends";
    /// A follower that is to replace the leader takes no note of it.
    YIELD_UNANSWERED = 326, Warning, "the host that was asked to lead doesn't answer";
    /// A worker is held.
    WORKER_HELD = 401, Info, "worker held";
    /// Another host holds the worker.
    WORKER_SUPERSEDED = 402, Info, "worker is held by another entry host";
    /// A worker does not answer.
    WORKER_SILENT = 403, Warning, "worker does not answer";
    /// A worker answers again.
    WORKER_BACK = 404, Info, "worker answers again";
    /// All tasks of a silent worker have surely ended.
    WORKER_LAPSED = 405, Warning, "leases on a silent worker have lapsed; its tasks have ended";
    /// A worker fails tasks of different workloads.
    WORKER_PROBATION = 407, Warning, "worker on probation";
    /// A worker passed its trial.
    WORKER_TRUSTED = 408, Info, "worker passed its trial";
    /// A worker may get orders.
    WORKER_RECORDED = 409, Info, "worker recorded; it may get orders";
    /// A worker's life is over.
    WORKER_GONE = 410, Info, "worker gone; nothing of it runs";
    /// Another life is at a worker's address.
    WORKER_REPLACED = 411, Info, "another life is at the worker's address";
    /// A run was on a worker whose life is over.
    RUN_LOST = 412, Warning, "a run went with its worker";
    /// Another life of a worker has its name, or the worker's lists show that it has started again.
    WORKER_RESTARTED = 413, Info, "worker is back under its former id";
    /// A partition is owned.
    PARTITION_OWNED = 501, Info, "partition owned";
    /// A partition was given up.
    PARTITION_RELEASED = 502, Info, "partition released";
    /// A partition's view is rebuilt.
    PARTITION_READY = 503, Info, "partition recovered; it starts work";
    /// An attempt was started.
    TASK_STARTED = 504, Debug, "attempt started";
    /// An attempt ended.
    TASK_ENDED = 505, Debug, "attempt ended";
    /// A task is parked.
    TASK_PARKED = 506, Warning, "task parked";
    /// Patient tasks were stopped for urgent work.
    TASK_PREEMPTED = 507, Info, "patient attempts stopped for urgent work";
    /// The home of keys has lost its authority for a while.
    KEYS_UNCERTAIN = 602, Warning, "a quorum has not heard this host lately; unrepeatable requests get no answer from it";
    /// A caller's job is kept.
    JOB_ACCEPTED = 610, Info, "job accepted";
    /// A caller's job was not taken.
    JOB_REFUSED = 611, Info, "job refused; it has not run";
    /// A caller's job has ended.
    JOB_ENDED = 612, Info, "job ended";
    /// An order to start a run was sent.
    RUN_STARTED = 613, Info, "start ordered";
    /// A worker took an order to stop a run.
    RUN_STOPPED = 614, Info, "stop taken by the worker";
    /// A worker reported the end of a run.
    RUN_ENDED = 615, Info, "run ended";
    /// The adviser was asked.
    ADVICE = 616, Info, "adviser asked";
    /// The adviser didn't answer.
    ADVICE_FAILED = 617, Warning, "adviser did not answer";
    /// A caller's request was answered.
    REQUEST_ANSWERED = 618, Info, "caller's request answered";
    /// Runs are stopped so that a large urgent task finds room.
    ROOM_MADE = 619, Info, "runs stopped to make room for an urgent task";
    /// A caller's request isn't let in.
    CALL_NOT_ADMITTED = 620, Info, "caller's request not let in; nothing was done";
    /// A job could go on and doesn't.
    JOB_STALLED = 621, Warning, "a job has nothing running although there is room";
    /// An operator's command was carried out.
    COMMAND_DONE = 701, Info, "command done";
    /// An operator's command was refused.
    COMMAND_REFUSED = 702, Info, "command not done";
    /// The outcome of an operator's command is not known.
    COMMAND_UNKNOWN = 703, Warning, "outcome of a command not known yet";
}
