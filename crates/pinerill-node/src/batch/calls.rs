//! Calls from the batch shell to job group leaders.
//!
//! Each call runs in its own task and delivers its result to the shell as a
//! planner input.

use std::sync::Arc;
use std::time::Duration;

use pinerill_wire::api::{CallError, CallErrorKind, ControlApi};
use pinerill_wire::message::{AttemptVerdict, RefusalCode, Request, Response};
use tokio::sync::mpsc;

use super::message::{Input, NotAnswered};
use super::shell::ShellInput;

/// Timeout of one call. The planner retries a call that timed out.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// The kind of a call, which decides how its response becomes an input.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum GroupCall {
    /// Lease items that wait in the group.
    Lease,
    /// Extend leases that the node holds.
    Renew,
    /// Report the ends of this number of attempts.
    Report(usize),
}

/// Sends calls to job groups and forwards their responses to the shell.
pub(super) struct GroupCalls {
    api: Arc<dyn ControlApi>,
    inputs: mpsc::UnboundedSender<ShellInput>,
}

impl GroupCalls {
    pub(super) fn new(api: Arc<dyn ControlApi>, inputs: mpsc::UnboundedSender<ShellInput>) -> Self {
        Self { api, inputs }
    }

    /// Starts a call in the background. Its response arrives at the shell as an
    /// input. A request that is not addressed to a job group is ignored.
    pub(super) fn start(&self, call: GroupCall, request: Request) {
        let Some(group) = target_group(&request) else {
            return;
        };
        let api = self.api.clone();
        let inputs = self.inputs.clone();
        tokio::spawn(async move {
            let answer = api.call_leader(group, request, CALL_TIMEOUT).await;
            let input = planner_input(call, group, answer);
            let _ = inputs.send(ShellInput::Planner(input));
        });
    }
}

fn target_group(request: &Request) -> Option<u32> {
    match request {
        Request::LeaseItems(message) => Some(message.group),
        Request::RenewLeases(message) => Some(message.group),
        Request::EndAttempts(message) => Some(message.group),
        _ => None,
    }
}

fn planner_input(call: GroupCall, group: u32, answer: Result<Response, CallError>) -> Input {
    let invalid = answer.as_ref().is_err_and(is_invalid);
    if invalid {
        log::error!("job group {group} rejected a {call:?} call as invalid");
    }
    match call {
        GroupCall::Lease => Input::Leased {
            group,
            result: match answer {
                Ok(Response::LeaseItems(response)) => Ok(response.items),
                _ if invalid => Ok(Vec::new()),
                _ => Err(NotAnswered),
            },
        },
        GroupCall::Renew => Input::Renewed {
            group,
            result: match answer {
                Ok(Response::RenewLeases(response)) => Ok(response.lost),
                _ => Err(NotAnswered),
            },
        },
        GroupCall::Report(count) => Input::Reported {
            group,
            result: match answer {
                Ok(Response::EndAttempts(response)) if response.verdicts.len() == count => {
                    Ok(response.verdicts)
                }
                // A retry would be rejected again and would block the reports
                // behind it, so the reports count as answered.
                _ if invalid => Ok(vec![AttemptVerdict::Unknown; count]),
                _ => Err(NotAnswered),
            },
        },
    }
}

fn is_invalid(error: &CallError) -> bool {
    match &error.kind {
        CallErrorKind::Refused(refusal) => refusal.code == RefusalCode::Invalid,
        CallErrorKind::NotSent | CallErrorKind::Unknown => false,
    }
}
