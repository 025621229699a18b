//! Watches between this node and a leader of an older build.
//!
//! Such a leader names directories and processes by digests of its own format, or by places in
//! its own changes, and does not tell what this build asks for. This turns what it tells into
//! the present form, and remembers how it named it.

use pinerill_calls::digest::Digest;
use pinerill_calls::directory::{Directory, DirectoryChange, DirectoryMismatch, DirectoryUpdate};
use pinerill_calls::formats::{older_processes_digest, DirectoryPosition};
use pinerill_calls::message::{Format, Processes, WatchRequest, WatchResponse};
use pinerill_calls::packed::Packed;

/// What a leader of an older build told last.
#[derive(Debug, Default)]
pub struct OlderLeader {
    format: Option<Format>,
    directory: Option<ToldDirectory>,
    processes: Option<ToldProcesses>,
}

#[derive(Debug)]
struct ToldDirectory {
    /// As that leader names it.
    named: Digest,
    /// Its place in that leader's changes, which format 4 tells instead.
    place: Option<DirectoryPosition>,
    directory: Directory,
}

#[derive(Debug)]
struct ToldProcesses {
    /// As that leader names them.
    named: Digest,
    /// As this build names them.
    present: Digest,
}

impl OlderLeader {
    /// A watch in the leader's names, with the place of the directory that is held: what the
    /// leader did not tell itself is not named.
    pub fn asked(
        &self,
        format: Format,
        mut watch: WatchRequest,
    ) -> (WatchRequest, Option<DirectoryPosition>) {
        let told = self.format == Some(format);
        let directory = self
            .directory
            .as_ref()
            .filter(|one| told && watch.directory == Some(one.directory.digest()));
        let processes = self.processes.as_ref();
        let processes = processes.filter(|one| told && watch.processes == Some(one.present));
        watch.directory = directory.map(|one| one.named);
        watch.processes = processes.map(|one| one.named);
        (watch, directory.and_then(|one| one.place))
    }

    /// The present form of an answer.
    pub fn take_in(
        &mut self,
        format: Format,
        place: Option<DirectoryPosition>,
        mut response: WatchResponse,
    ) -> WatchResponse {
        if self.format != Some(format) {
            *self = OlderLeader {
                format: Some(format),
                ..OlderLeader::default()
            };
        }
        if let Some(packed) = response.directory.take() {
            let update = packed.unpack().ok();
            let told = update.and_then(|update| self.take_directory(format, place, update).ok());
            response.directory = told.as_ref().map(Packed::new);
        }
        response.processes = response
            .processes
            .and_then(|processes| self.take_processes(format, processes));
        response
    }

    /// The whole directory that an update leads to. After one that doesn't fit, nothing is
    /// held, so that the whole is asked for.
    fn take_directory(
        &mut self,
        format: Format,
        place: Option<DirectoryPosition>,
        update: DirectoryUpdate,
    ) -> Result<DirectoryUpdate, DirectoryMismatch> {
        let held = self.directory.take();
        let named = update.digest;
        let directory = match update.change {
            DirectoryChange::Whole(workers) => Directory::new(workers),
            change => {
                let held = held.as_ref().map(|one| &one.directory);
                Directory::apply_change(held, change)?
            }
        };
        let by_digest = format >= Format::DIGESTS;
        if by_digest && directory.digest_in_format(format) != named {
            return Err(DirectoryMismatch);
        }
        let told = DirectoryUpdate {
            digest: directory.digest(),
            change: DirectoryChange::Whole(directory.workers().to_vec()),
        };
        self.directory = Some(ToldDirectory {
            named,
            place,
            directory,
        });
        Ok(told)
    }

    /// The processes, if they are others than were told last.
    fn take_processes(&mut self, format: Format, processes: Processes) -> Option<Processes> {
        let present = Digest::of(&processes);
        let known = self.processes.as_ref().map(|one| one.present);
        self.processes = Some(ToldProcesses {
            named: older_processes_digest(format, &processes),
            present,
        });
        (known != Some(present)).then_some(processes)
    }
}
