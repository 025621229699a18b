//! What a scenario is.

use async_trait::async_trait;

use super::stage::Stage;
use crate::rehearsal::RehearsalOptions;

/// One failure, brought about under load.
#[async_trait]
pub trait Scenario: Send + Sync {
    /// Its name on the command line.
    fn name(&self) -> &'static str;

    /// What is done, for the row.
    fn what(&self) -> &'static str;

    /// What its fleet starts with.
    fn options(&self) -> RehearsalOptions {
        RehearsalOptions::default()
    }

    /// Fail points with which its checks must find something, if there are
    /// any; compiled only under the feature `failpoints` of `pinerill`.
    fn defect(&self) -> Option<&'static str> {
        None
    }

    /// Brings the failure about. Processes that were killed or stopped are
    /// started again before the end, since the stage stops all in a planned
    /// way.
    ///
    /// # Errors
    /// When a step could not be done; a broken promise is no error but a
    /// violation that the stage notes.
    async fn play(&self, stage: &mut Stage) -> anyhow::Result<()>;
}
