//! Translates watches between this node and a leader of an older build.
//!
//! Such a leader identifies directories and processes by digests of its own format, or by positions
//! in its own sequence of changes. Its responses are translated to the present format, and its
//! identifiers are kept, so that the next watch request can name what this node already has.

use pinerill_calls::digest::Digest;
use pinerill_calls::directory::{Directory, DirectoryChange, DirectoryMismatch, DirectoryUpdate};
use pinerill_calls::formats::{older_processes_digest, DirectoryPosition};
use pinerill_calls::message::{Format, Processes, WatchRequest, WatchResponse};
use pinerill_calls::packed::Packed;

/// State received from a leader of an older build, with the identifiers that the leader uses.
#[derive(Debug, Default)]
pub struct OlderLeader {
    format: Option<Format>,
    directory: Option<ReceivedDirectory>,
    processes: Option<ReceivedProcesses>,
}

#[derive(Debug)]
struct ReceivedDirectory {
    /// Digest of the directory in the leader's format.
    leader_digest: Digest,
    /// Position in the leader's sequence of changes, which format 4 uses instead of a digest.
    position: Option<DirectoryPosition>,
    directory: Directory,
}

#[derive(Debug)]
struct ReceivedProcesses {
    /// Digest of the processes in the leader's format.
    leader_digest: Digest,
    /// Digest of the processes in the present format.
    own_digest: Digest,
}

impl OlderLeader {
    /// Translates the digests of a watch request to those of the leader's format, and returns the
    /// position of the known directory with it. A digest is removed if the state did not come from
    /// a leader of this format, so that the leader sends that state in full.
    pub fn translate_request(
        &self,
        format: Format,
        mut watch: WatchRequest,
    ) -> (WatchRequest, Option<DirectoryPosition>) {
        let same_format = self.format == Some(format);
        let directory = self
            .directory
            .as_ref()
            .filter(|one| same_format && watch.directory == Some(one.directory.digest()));
        let processes = self.processes.as_ref();
        let processes =
            processes.filter(|one| same_format && watch.processes == Some(one.own_digest));
        watch.directory = directory.map(|one| one.leader_digest);
        watch.processes = processes.map(|one| one.leader_digest);
        (watch, directory.and_then(|one| one.position))
    }

    /// Translates a watch response to the present format. A directory update that can't be applied
    /// is dropped.
    pub fn translate_response(
        &mut self,
        format: Format,
        position: Option<DirectoryPosition>,
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
            let translated = update
                .and_then(|update| self.apply_directory_update(format, position, update).ok());
            response.directory = translated.as_ref().map(Packed::new);
        }
        response.processes = response
            .processes
            .and_then(|processes| self.store_processes(format, processes));
        response
    }

    /// Applies a directory update and returns the resulting directory as a full update. If the
    /// update does not apply, the stored directory is dropped, so that the next watch requests it
    /// in full.
    fn apply_directory_update(
        &mut self,
        format: Format,
        position: Option<DirectoryPosition>,
        update: DirectoryUpdate,
    ) -> Result<DirectoryUpdate, DirectoryMismatch> {
        let previous = self.directory.take();
        let leader_digest = update.digest;
        let directory = match update.change {
            DirectoryChange::Whole(workers) => Directory::new(workers),
            change => {
                let previous = previous.as_ref().map(|one| &one.directory);
                Directory::apply_change(previous, change)?
            }
        };
        let by_digest = format >= Format::DIGESTS;
        if by_digest && directory.digest_in_format(format) != leader_digest {
            return Err(DirectoryMismatch);
        }
        let full_update = DirectoryUpdate {
            digest: directory.digest(),
            change: DirectoryChange::Whole(directory.workers().to_vec()),
        };
        self.directory = Some(ReceivedDirectory {
            leader_digest,
            position,
            directory,
        });
        Ok(full_update)
    }

    /// Stores the processes. Returns `None` if they are the same as those received before.
    fn store_processes(&mut self, format: Format, processes: Processes) -> Option<Processes> {
        let own_digest = Digest::of(&processes);
        let known = self.processes.as_ref().map(|one| one.own_digest);
        self.processes = Some(ReceivedProcesses {
            leader_digest: older_processes_digest(format, &processes),
            own_digest,
        });
        (known != Some(own_digest)).then_some(processes)
    }
}
