//! Reads the settings file.

use std::path::Path;

use settings::Settings;

/// The settings, or all that is wrong with them, a line each.
pub(crate) fn read(path: &Path) -> Result<Settings, String> {
    let shown = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|fault| format!("{shown}: can't be read: {fault}"))?;
    settings::parse(&shown, &text).map_err(|faults| faults.to_string())
}
