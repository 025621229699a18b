//! What the directories of a leader state, which depends on the format of its build.

use pinerill_calls::message::Format;

/// What a leader's directories state about workers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum DirectoryKind {
    /// Everything; also assumed before a leader has answered.
    #[default]
    Complete,
    /// Everything but software versions.
    Unversioned,
    /// Neither software versions nor the age of the directory.
    Undated,
}

impl DirectoryKind {
    /// Returns what the directories of a leader state that answers in this format.
    pub(super) fn of_format(format: Format) -> Self {
        if format >= Format::WORKER_VERSIONS {
            return DirectoryKind::Complete;
        }
        match format >= Format::DIRECTORY_AGE {
            true => DirectoryKind::Unversioned,
            false => DirectoryKind::Undated,
        }
    }
}
