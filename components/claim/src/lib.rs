//! Ownership of partitions. Only the owner of a partition starts new attempts to run its tasks. The owner is recorded in
//! the platform's key-value service, and the record changes only by compare-and-swap.
//!
//! Pure functions: given the record, the state of the hosts and the time, they return the next step.

use std::time::{Duration, Instant};

use model::{CommandId, Epoch, HostId, Incarnation};
use serde::{Deserialize, Serialize};

/// The claim on a partition, as stored in the key-value service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The owner; `None` if the claim was released.
    pub owner: Option<Owner>,
    /// Increases with each change of the owner.
    pub epoch: Epoch,
    /// Unique id of the write. If the answer to a write is lost, reading the claim back shows whether it took effect.
    pub change: CommandId,
}

/// An entry host in one of its incarnations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    pub host: HostId,
    pub incarnation: Incarnation,
}

/// State of a partition as seen by a host.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The stored claim, if there is one.
    pub claim: Option<&'a Claim>,
    /// This host, in its current incarnation.
    pub own: &'a Owner,
    /// The live host that should own the partition, if any host is live.
    pub winner: Option<&'a str>,
    /// Whether the recorded owner is live, in the recorded incarnation.
    pub owner_live: bool,
}

/// What this host does about a partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Keep owning it.
    Keep,
    /// Claim it under this epoch.
    Take(Epoch),
    /// Release the claim, so that the winner can claim the partition at once.
    Release,
    /// Do nothing, as this host should not own it.
    Leave,
}

/// Decides the next step for a partition.
pub fn next_step(view: View<'_>) -> Step {
    let wins = view.winner == Some(view.own.host.as_str());
    let Some(claim) = view.claim else {
        return if wins { Step::Take(1) } else { Step::Leave };
    };
    let next_epoch = claim.epoch + 1;
    match &claim.owner {
        Some(owner) if owner == view.own => match view.winner {
            Some(_) if !wins => Step::Release,
            _ => Step::Keep,
        },
        // A live owner releases the claim itself. Taking it over would let two hosts act for the partition for a while.
        Some(_) if view.owner_live => Step::Leave,
        _ if wins => Step::Take(next_epoch),
        _ => Step::Leave,
    }
}

/// Tracks whether an owner may still act on a claim that it wrote or read earlier.
///
/// After a pause, everything that a host knows may be out of date. So a long gap between two checks ends the authority
/// until the claim is confirmed, either by the key-value service or, if that is unreachable, by every live peer.
#[derive(Clone, Copy, Debug)]
pub struct Authority {
    max_gap: Duration,
    last_check: Instant,
    confirmed: bool,
    /// Whether the authority was ended by [`Authority::revoke`], not by a pause.
    revoked: bool,
}

impl Authority {
    /// Creates a confirmed authority. A gap between checks that is longer than `max_gap` counts as a pause.
    pub fn new(max_gap: Duration, now: Instant) -> Authority {
        Authority { max_gap, last_check: now, confirmed: true, revoked: false }
    }

    /// Returns whether the owner may act. Call this frequently, and immediately before each action.
    pub fn check(&mut self, now: Instant) -> bool {
        if now.saturating_duration_since(self.last_check) > self.max_gap {
            self.confirmed = false;
        }
        self.last_check = now;
        self.confirmed
    }

    /// Ends the authority until the claim is confirmed.
    pub fn revoke(&mut self) {
        self.confirmed = false;
        self.revoked = true;
    }

    /// Whether the authority was revoked and isn't confirmed since.
    pub fn is_revoked(&self) -> bool {
        self.revoked
    }

    /// Records that the claim was confirmed by a request sent at `asked_at`. A confirmation that took longer than the
    /// largest gap is ignored, as this host may have been paused meanwhile.
    pub fn confirm(&mut self, asked_at: Instant, now: Instant) {
        if now.saturating_duration_since(asked_at) <= self.max_gap {
            self.last_check = now;
            self.confirmed = true;
            self.revoked = false;
        }
    }
}
