//! Who starts new attempts at the tasks of a partition: the owner named by a record in the platform's
//! key-value service, which changes only by compare-and-swap.
//!
//! Pure: the record, the view of the hosts and the time go in, the next step comes out.

use std::time::{Duration, Instant};

use model::{CommandId, Epoch, HostId, Incarnation};
use serde::{Deserialize, Serialize};

/// The claim on one partition, as it is kept by the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The owner; `None` when it was released.
    pub owner: Option<Owner>,
    /// Grows with each change of the owner.
    pub epoch: Epoch,
    /// Unique id of the change that wrote this; settles a lost answer by reading back.
    pub change: CommandId,
}

/// One life of an entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The host.
    pub host: HostId,
    /// Its life.
    pub incarnation: Incarnation,
}

/// What a host sees when it looks at a partition.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The record, when there is one.
    pub claim: Option<&'a Claim>,
    /// This host, in its present life.
    pub own: &'a Owner,
    /// The live host that should own the partition.
    pub winner: Option<&'a str>,
    /// Whether the recorded owner is live, in the recorded life.
    pub owner_live: bool,
}

/// What to do about a partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Own it on.
    Keep,
    /// Claim it with this epoch.
    Take(Epoch),
    /// Give it up, so that the winner can claim it at once.
    Release,
    /// It is not this host's matter.
    Leave,
}

/// The next step for a partition.
pub fn next_step(view: View<'_>) -> Step {
    let wins = view.winner == Some(view.own.host.as_str());
    let Some(claim) = view.claim else {
        return if wins { Step::Take(1) } else { Step::Leave };
    };
    let next = claim.epoch + 1;
    match &claim.owner {
        Some(owner) if owner == view.own => match view.winner {
            Some(_) if !wins => Step::Release,
            _ => Step::Keep,
        },
        // A live owner gives it up itself; taking it would make two hosts work on one partition for a while.
        Some(_) if view.owner_live => Step::Leave,
        _ if wins => Step::Take(next),
        _ => Step::Leave,
    }
}

/// Whether an owner may act on a claim that it made or read a while ago.
///
/// A host that was paused wakes up wrong about everything, so a gap between two looks at the clock ends the
/// authority until the claim is confirmed: at the platform, or, when that is away, by every live peer.
#[derive(Clone, Copy, Debug)]
pub struct Authority {
    bound: Duration,
    seen_at: Instant,
    confirmed: bool,
}

impl Authority {
    /// Authority just won. `bound` is the longest gap that is not a pause.
    pub fn new(bound: Duration, now: Instant) -> Authority {
        Authority { bound, seen_at: now, confirmed: true }
    }

    /// Looks at the clock. Call often, and immediately before each use. Tells whether the owner may act.
    pub fn check(&mut self, now: Instant) -> bool {
        if now.saturating_duration_since(self.seen_at) > self.bound {
            self.confirmed = false;
        }
        self.seen_at = now;
        self.confirmed
    }

    /// Notes that the claim was confirmed by an exchange that began at `asked_at`.
    pub fn confirm(&mut self, asked_at: Instant, now: Instant) {
        if now.saturating_duration_since(asked_at) <= self.bound {
            self.seen_at = now;
            self.confirmed = true;
        }
    }
}
