//! Amounts of resources: the capacity of a worker or the demand of a task.

use std::fmt;

use serde::{Deserialize, Serialize};

/// An amount of processors, memory and accelerators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize, schemars::JsonSchema)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory, in MiB.
    pub memory_mib: u32,
    /// Whole accelerators.
    pub accelerators: u32,
}

impl Resources {
    pub const ZERO: Resources = Resources { cpu_milli: 0, memory_mib: 0, accelerators: 0 };

    /// Creates an amount from whole cores, MiB of memory and accelerators.
    pub const fn new(cores: u32, memory_mib: u32, accelerators: u32) -> Resources {
        Resources { cpu_milli: cores * 1000, memory_mib, accelerators }
    }

    /// Whether every dimension of `self` is at most that of `other`.
    pub fn fits_in(&self, other: &Resources) -> bool {
        self.cpu_milli <= other.cpu_milli
            && self.memory_mib <= other.memory_mib
            && self.accelerators <= other.accelerators
    }

    /// The sum, or `None` if a dimension overflows.
    pub fn checked_add(&self, other: &Resources) -> Option<Resources> {
        Some(Resources {
            cpu_milli: self.cpu_milli.checked_add(other.cpu_milli)?,
            memory_mib: self.memory_mib.checked_add(other.memory_mib)?,
            accelerators: self.accelerators.checked_add(other.accelerators)?,
        })
    }

    /// The sum, with each dimension capped at `u32::MAX`.
    pub fn saturating_add(&self, other: &Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// The amount multiplied by `count`, with each dimension capped at `u32::MAX`.
    pub fn saturating_mul(&self, count: usize) -> Resources {
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        Resources {
            cpu_milli: self.cpu_milli.saturating_mul(count),
            memory_mib: self.memory_mib.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }

    /// The amount multiplied by a factor of at least 0, with each dimension rounded down and capped at `u32::MAX`.
    pub fn scaled(&self, factor: f64) -> Resources {
        let scaled = |amount: u32| (f64::from(amount) * factor) as u32;
        Resources {
            cpu_milli: scaled(self.cpu_milli),
            memory_mib: scaled(self.memory_mib),
            accelerators: scaled(self.accelerators),
        }
    }

    /// The difference, or `None` if `other` does not fit in `self`.
    pub fn checked_sub(&self, other: &Resources) -> Option<Resources> {
        Some(Resources {
            cpu_milli: self.cpu_milli.checked_sub(other.cpu_milli)?,
            memory_mib: self.memory_mib.checked_sub(other.memory_mib)?,
            accelerators: self.accelerators.checked_sub(other.accelerators)?,
        })
    }

    /// The difference, with each dimension at least zero.
    pub fn saturating_sub(&self, other: &Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// The maximum of each dimension.
    pub fn max(&self, other: &Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// The minimum of each dimension.
    pub fn min(&self, other: &Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.min(other.cpu_milli),
            memory_mib: self.memory_mib.min(other.memory_mib),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// The dominant share: the largest fraction that `self` takes of any dimension of `capacity`.
    ///
    /// A dimension that `capacity` does not have counts as 1 if `self` asks for it, and as 0 otherwise.
    pub fn dominant_share(&self, capacity: &Resources) -> f64 {
        let shares = [
            share(self.cpu_milli, capacity.cpu_milli),
            share(self.memory_mib, capacity.memory_mib),
            share(self.accelerators, capacity.accelerators),
        ];
        shares.into_iter().fold(0.0, f64::max)
    }
}

fn share(part: u32, whole: u32) -> f64 {
    match (part, whole) {
        (0, _) => 0.0,
        (_, 0) => 1.0,
        (part, whole) => f64::from(part) / f64::from(whole),
    }
}

impl fmt::Display for Resources {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let cores = f64::from(self.cpu_milli) / 1000.0;
        write!(out, "{cores} cores, {} MiB", self.memory_mib)?;
        if self.accelerators > 0 {
            write!(out, ", {} accelerators", self.accelerators)?;
        }
        Ok(())
    }
}
