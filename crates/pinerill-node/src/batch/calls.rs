//! Calls to job groups, each in a task of its own.

use std::sync::Arc;
use std::time::Duration;

use pinerill_wire::api::{CallError, CallErrorKind, ControlApi};
use pinerill_wire::message::{AttemptVerdict, RefusalCode, Request, Response};
use tokio::sync::mpsc;

use super::message::{Input, NotAnswered};
use super::shell::ShellInput;

/// Longest wait for an answer before the call is made again.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// What is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum GroupCall {
    /// Items.
    Lease,
    /// Longer leases.
    Renew,
    /// To take so many reports.
    Report(usize),
}

/// Makes calls and hands their answers to the shell.
pub(super) struct GroupCalls {
    api: Arc<dyn ControlApi>,
    inputs: mpsc::UnboundedSender<ShellInput>,
}

impl GroupCalls {
    pub(super) fn new(api: Arc<dyn ControlApi>, inputs: mpsc::UnboundedSender<ShellInput>) -> Self {
        Self { api, inputs }
    }

    /// Starts a call; its answer comes as an input.
    pub(super) fn start(&self, call: GroupCall, request: Request) {
        let Some(group) = group_of(&request) else {
            return;
        };
        let api = self.api.clone();
        let inputs = self.inputs.clone();
        tokio::spawn(async move {
            let answer = api.call_leader(group, request, CALL_TIMEOUT).await;
            let input = input_of(call, group, answer);
            let _ = inputs.send(ShellInput::Planner(input));
        });
    }
}

fn group_of(request: &Request) -> Option<u32> {
    match request {
        Request::LeaseItems(message) => Some(message.group),
        Request::RenewLeases(message) => Some(message.group),
        Request::EndAttempts(message) => Some(message.group),
        _ => None,
    }
}

fn input_of(call: GroupCall, group: u32, answer: Result<Response, CallError>) -> Input {
    let invalid = answer.as_ref().is_err_and(is_invalid);
    if invalid {
        log::error!("group {group} refuses {call:?} as invalid");
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
                // Sent again it would be refused again, and hold up the rest.
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
