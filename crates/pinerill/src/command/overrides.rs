//! Flags that go before environment and settings file.

use clap::Args;
use pinerill_types::settings::Override;

use crate::exit::WrongInput;

/// Overrides of single settings.
#[derive(Args)]
pub struct OverrideArguments {
    /// Overrides one setting, such as `node.zone=ain-sebaa`; may be repeated.
    #[arg(long = "set", value_name = "FIELD=VALUE")]
    overrides: Vec<String>,
    /// Overrides log.level.
    #[arg(long)]
    log_level: Option<String>,
}

impl OverrideArguments {
    /// The overrides, the one that counts last.
    ///
    /// # Errors
    /// When one is not of the form `FIELD=VALUE`.
    pub fn parse(&self) -> anyhow::Result<Vec<Override>> {
        let mut overrides = Vec::new();
        for text in &self.overrides {
            let (field, value) = text
                .split_once('=')
                .ok_or_else(|| WrongInput(format!("--set {text}: use FIELD=VALUE")))?;
            overrides.push(Override {
                field: field.to_owned(),
                value: value.to_owned(),
            });
        }
        if let Some(level) = &self.log_level {
            overrides.push(Override {
                field: "log.level".to_owned(),
                value: level.clone(),
            });
        }
        Ok(overrides)
    }
}
