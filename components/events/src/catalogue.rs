//! All events, grouped by number: 1xx process, 2xx membership, 3xx platform, configuration and leadership,
//! 4xx workers, 5xx partitions and tasks, 6xx callers' requests and jobs, 7xx operators' commands.

use crate::{Event, Level};

macro_rules! catalogue {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $level:ident, $text:literal;)*) => {
        $($(#[$doc])* pub const $name: Event = Event { number: $number, level: Level::$level, text: $text };)*
        /// All events in ascending order of their numbers.
        pub const ALL: &[Event] = &[$($name),*];
    };
}

catalogue! {
    /// The process is ready to serve.
    STARTED = 101, Info, "started";
    STOPPING = 102, Info, "planned stop started";
    STOPPED = 103, Info, "stopped";
    /// The rate limit dropped lines of an event.
    LINES_DROPPED = 104, Warning, "log lines of an event were dropped in an earlier second";
    /// The process did not run for longer than the tolerated pause.
    PAUSED = 105, Warning, "the process was paused; confirming its authority again";
    RELOADED = 106, Info, "settings reloaded";
    RELOAD_FAILED = 107, Warning, "settings could not be reloaded; the previous settings stay in force";
    HOST_LIVE = 201, Info, "entry host is live";
    HOST_LEAVING = 202, Info, "entry host is leaving";
    HOST_DEAD = 203, Warning, "entry host is considered dead";
    MESSAGE_REFUSED = 204, Warning, "message on the peer port rejected";
    PLATFORM_FAILED = 301, Warning, "platform call failed";
    WATCH_ENDED = 302, Info, "configuration watch ended; resuming it";
    /// New configuration took effect.
    CONFIG_CHANGED = 303, Debug, "configuration in force";
    /// A stored configuration record could not be decoded.
    RECORD_UNREADABLE = 304, Error, "configuration record is unreadable; the last valid version stays in force";
    /// The platform's list of hosts changed.
    HOST_LIST_CHANGED = 305, Info, "list of hosts changed";
    /// The configuration took effect on this host.
    CONFIG_IN_FORCE = 306, Info, "configuration in force on this host";
    /// The platform answers again after an outage.
    PLATFORM_RECOVERED = 307, Info, "platform answers again";
    /// An entry in the platform's list of workers could not be interpreted as a worker.
    WORKER_ENTRY_INVALID = 308, Warning, "invalid entry in the list of workers; ignoring it";
    /// The set of data centres that receive no new work changed.
    EVACUATED = 309, Info, "set of evacuated data centres changed";
    LEADER_KNOWN = 310, Info, "leader is known";
    LEADER_LOST = 311, Warning, "no leader is known";
    /// The host on record as the leader says that it does not lead.
    LEADER_NOT_LEADING = 312, Info, "the recorded leader is not leading";
    LEADERSHIP_CLAIMED = 313, Info, "leadership claimed";
    LEADERSHIP_CLAIM_FAILED = 314, Info, "leadership claim failed";
    /// A new leader rebuilt its state from the log.
    RECOVERED = 315, Info, "state rebuilt from the log";
    LEADERSHIP_ENDED = 316, Warning, "leadership ended";
    /// Some records were not written before a planned stop.
    FLUSH_FAILED = 317, Warning, "records were not written before the planned stop; workers will list them again";
    /// The lease that keeps the leader record alive is gone.
    LEASE_LOST = 318, Warning, "lease of the leader record was lost; writing the record again";
    /// The outcome of a transaction on the log is not known yet.
    WRITE_UNCONFIRMED = 319, Warning, "log write is not confirmed yet; retrying the transaction";
    /// The leader asks a follower to take over.
    TAKEOVER_REQUESTED = 320, Warning, "asking another host to take over leadership";
    /// The leader asked this host to take over.
    ASKED_TO_TAKE_OVER = 321, Info, "the leader asks this host to take over leadership";
    /// The previous leader no longer grants leases.
    PREDECESSOR_ENDED = 322, Info, "the previous leader is known to have ended";
    /// A newer configuration could not be exchanged between this host and the leader.
    CONFIG_NOT_PASSED = 323, Warning, "configuration could not be transferred between this host and the leader";
    /// Part of the configuration is invalid.
    CONFIG_PART_INVALID = 324, Warning, "invalid part of the configuration; ignoring it";
    /// One of the leader's loops panicked.
    LOOP_FAILED = 325, Error, "a loop of the leader panicked; its term ends";
    /// The follower that was asked to take over does not acknowledge the request.
    TAKEOVER_UNANSWERED = 326, Warning, "the host asked to take over leadership does not respond";
    /// The configuration is known to be the newest again after a while without confirmation.
    CONFIG_CONFIRMED = 327, Info, "configuration is confirmed again";
    /// The leader is cut off from most hosts and from the store; it and its followers aren't ready for callers.
    HOST_ISOLATED = 328, Warning, "the leader is cut off from most hosts and the store; not ready for callers";
    HOST_CONNECTED = 329, Info, "the leader is no longer cut off";
    /// A follower asked the leader why its record is missing.
    LEADER_RECORD_MISSING = 330, Info, "the leader's record is missing";
    /// What the leader did since the last such line.
    LEADER_ACTIVITY = 331, Info, "activity of the leader";
    /// An entry of the platform's list of hosts could not be interpreted as a host.
    HOST_ENTRY_INVALID = 332, Warning, "invalid entry in the list of hosts; ignoring it";
    /// The store doesn't accept a transaction, and wouldn't if it were sent again unchanged.
    LOG_PART_REJECTED = 333, Error, "the store rejects a part of the log";
    WORKER_HELD = 401, Info, "worker held by this host";
    /// Another entry host holds the worker.
    WORKER_SUPERSEDED = 402, Info, "worker is held by another entry host";
    WORKER_SILENT = 403, Warning, "worker does not respond";
    WORKER_RESPONDING = 404, Info, "worker responds again";
    /// The leases on an unresponsive worker expired, so all its tasks have ended.
    WORKER_LEASES_EXPIRED = 405, Warning, "leases on an unresponsive worker have expired; its tasks have ended";
    /// A worker failed tasks of several workloads.
    WORKER_PROBATION = 407, Warning, "worker put on probation";
    /// A worker on probation succeeded.
    WORKER_PROBATION_PASSED = 408, Info, "worker passed its probation";
    /// The worker is in the log and can receive orders.
    WORKER_RECORDED = 409, Info, "worker recorded; it can receive orders";
    /// The worker incarnation ended.
    WORKER_GONE = 410, Info, "worker is gone; nothing is running on it";
    /// Another incarnation runs at the worker's address.
    WORKER_REPLACED = 411, Info, "another incarnation is running at the worker's address";
    /// The run was on a worker incarnation that ended.
    RUN_LOST = 412, Warning, "run lost with its worker";
    /// Another incarnation has the worker's name, or the worker's lists show that it restarted.
    WORKER_RESTARTED = 413, Info, "worker restarted under its former id";
    /// The worker has more unacknowledged ends than it lists at once.
    WORKER_ENDS_TRUNCATED = 414, Info, "worker lists only a part of its ended runs";
    WORKER_ENDS_COMPLETE = 415, Info, "worker lists all its ended runs again";
    PARTITION_OWNED = 501, Info, "partition owned";
    PARTITION_RELEASED = 502, Info, "partition released";
    /// The state of a partition is rebuilt.
    PARTITION_READY = 503, Info, "partition recovered; starting work";
    TASK_STARTED = 504, Debug, "attempt started";
    TASK_ENDED = 505, Debug, "attempt ended";
    TASK_PARKED = 506, Warning, "task parked";
    /// Patient tasks were stopped in favour of urgent work.
    TASK_PREEMPTED = 507, Info, "patient attempts preempted by urgent work";
    /// This host temporarily lost its authority over idempotency keys.
    KEYS_UNCERTAIN = 602, Warning, "host lacks recent contact with a quorum; non-repeatable requests stay unanswered";
    /// A caller's job is recorded.
    JOB_ACCEPTED = 610, Info, "job accepted";
    JOB_REFUSED = 611, Info, "job refused; it did not run";
    JOB_ENDED = 612, Info, "job ended";
    /// An order to start a run was sent to a worker.
    RUN_STARTED = 613, Info, "start order sent";
    /// A worker accepted an order to stop a run.
    RUN_STOPPED = 614, Info, "stop order accepted by the worker";
    /// A worker reported the end of a run.
    RUN_ENDED = 615, Info, "run ended";
    ADVICE = 616, Info, "adviser queried";
    ADVICE_FAILED = 617, Warning, "adviser did not respond";
    REQUEST_ANSWERED = 618, Info, "caller's request answered";
    /// Runs were stopped to free resources for a large urgent task.
    RUNS_PREEMPTED = 619, Info, "runs preempted to free resources for an urgent task";
    /// A caller's request was not admitted.
    CALL_NOT_ADMITTED = 620, Info, "caller's request not admitted; nothing was done";
    /// A job could make progress but does not.
    JOB_STALLED = 621, Warning, "job has no running tasks although resources are free";
    /// A request that the configuration doesn't allow had to wait because the configuration was not confirmed.
    REQUEST_DELAYED = 622, Info, "caller's request waited for a confirmed configuration";
    /// A caller's request was given up because its body was late, or found no memory.
    REQUEST_NOT_RECEIVED = 623, Warning, "caller's request not received; nothing was done";
    /// As many connections are open as the listener allows.
    CONNECTION_REPLACED = 624, Warning, "connection that had waited longest for its client closed for a new one";
    /// An operator's command was carried out.
    COMMAND_DONE = 701, Info, "command carried out";
    /// An operator's command was not carried out.
    COMMAND_NOT_DONE = 702, Info, "command not carried out";
    COMMAND_UNKNOWN = 703, Warning, "outcome of a command is not known yet";
}
