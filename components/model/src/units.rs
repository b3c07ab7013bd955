//! Reads amounts with units, as people write them in settings and plans.

use std::time::Duration;

use bytesize::ByteSize;
use thiserror::Error;

/// An amount whose unit is missing or not known.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum UnitError {
    /// Not a duration with a unit.
    #[error("`{0}` is not a duration with a unit, such as `250ms`, `10s` or `2h`")]
    Duration(String),
    /// Not a size with a unit.
    #[error("`{0}` is not a size with a unit, such as `64KiB`, `512MiB` or `4GiB`")]
    Size(String),
}

/// Reads a duration such as `250ms`.
pub fn parse_duration(text: &str) -> Result<Duration, UnitError> {
    humantime::parse_duration(text).map_err(|_| UnitError::Duration(text.to_owned()))
}

/// Reads a size such as `4GiB`, in bytes. A bare number is refused: its unit would be a guess.
pub fn parse_size(text: &str) -> Result<u64, UnitError> {
    let fault = || UnitError::Size(text.to_owned());
    if text.trim().chars().all(|c| c.is_ascii_digit() || c == '.') {
        return Err(fault());
    }
    text.parse::<ByteSize>().map(|size| size.as_u64()).map_err(|_| fault())
}
