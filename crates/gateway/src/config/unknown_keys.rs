//! Finds keys of a configuration that nothing reads.

use std::path::Path;

use damsonbeam_settings::SettingsFile;

use super::{Config, ConfigFile};

/// Returns the paths of the unknown keys outside `settings`, and of those below `settings`. `config check` rejects the
/// former and only notes the latter, since the platform may add settings.
pub fn unknown_keys(text: &str) -> (Vec<String>, Vec<String>) {
    let (mut own, mut settings) = (Vec::new(), Vec::new());
    let mut text = serde_json::Deserializer::from_str(text);
    let raw: Result<ConfigFile, _> =
        serde_ignored::deserialize(&mut text, |path| own.push(path.to_string()));
    if let Ok(raw) = raw {
        let settings_file: Result<SettingsFile, _> =
            serde_ignored::deserialize(raw.settings, |path| {
                settings.push(format!("settings.{path}"))
            });
        settings_file.ok();
    }
    (own, settings)
}

/// Checks a file for `damsonbeam config check`; returns the notes on a valid configuration.
///
/// # Errors
/// Returns the problem for which `serve` would reject the file and the unknown keys outside `settings`, one line each.
pub fn check_file(path: &Path) -> Result<Vec<String>, Vec<String>> {
    let text = std::fs::read_to_string(path).map_err(|e| vec![e.to_string()])?;
    let (own, settings) = unknown_keys(&text);
    let mut problems: Vec<String> = own
        .iter()
        .map(|k| format!("{k}: unknown key, not read"))
        .collect();
    match Config::parse(&text, |key| std::env::var(key).ok()) {
        Ok(config) if problems.is_empty() => {
            let unread = settings
                .iter()
                .map(|k| format!("{k}: not read by the gateway"));
            Ok(config.notes.into_iter().chain(unread).collect())
        }
        Ok(_) => Err(problems),
        Err(error) => {
            let reason = error.to_string();
            problems.insert(0, reason.trim_start_matches("NODE_CONFIG: ").to_string());
            Err(problems)
        }
    }
}
