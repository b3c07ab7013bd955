//! Parses durations and sizes with units, as written in settings and plan files.

use std::time::Duration;

use bytesize::ByteSize;
use thiserror::Error;

/// The unit is missing or unknown, or the text is no number.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum UnitError {
    /// Not a duration with a unit.
    #[error("`{0}` is not a duration with a unit, such as `250ms`, `10s` or `2h`")]
    Duration(String),
    /// Not a size with a unit.
    #[error("`{0}` is not a size with a unit, such as `64KiB`, `512MiB` or `4GiB`")]
    Size(String),
}

/// Parses a duration such as `250ms`.
///
/// # Errors
/// [`UnitError::Duration`] if `text` is not a number with a known unit of time.
pub fn parse_duration(text: &str) -> Result<Duration, UnitError> {
    humantime::parse_duration(text).map_err(|_| UnitError::Duration(text.to_owned()))
}

/// Parses a size such as `4GiB` and returns it in bytes.
///
/// # Errors
/// [`UnitError::Size`] if `text` is not a number with a known unit. A number without a unit is rejected too, because
/// the unit would have to be guessed.
pub fn parse_size(text: &str) -> Result<u64, UnitError> {
    let error = || UnitError::Size(text.to_owned());
    if text.trim().chars().all(|c| c.is_ascii_digit() || c == '.') {
        return Err(error());
    }
    text.parse::<ByteSize>().map(|size| size.as_u64()).map_err(|_| error())
}
