//! Reads the settings file.

use std::path::Path;

use settings::Settings;

/// Reads and validates the settings file. The error names the file and lists every fault, one per line.
pub(crate) fn read(path: &Path) -> Result<Settings, String> {
    let file_name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| format!("{file_name}: can't be read: {error}"))?;
    settings::parse(&file_name, &text).map_err(|errors| errors.to_string())
}
