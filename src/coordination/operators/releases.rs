//! Requests that check, apply and list release notes.

use std::time::Duration;

use hyper::{Request, body::Incoming};
use medlarlug_core::{
    configuration_group::{Accepted, Command, Refusal, Reply},
    ids::OperatorId,
    release::{Configuration, NoteError, RawNote, ReleaseNote},
};

use crate::{
    coordination::{
        calls,
        operators::{LOOK_UP_TIMEOUT, OperatorApi, call_error_answer, ok, read_body, refuse},
    },
    protocol::{GroupId, GroupReply, GroupRequest, operators::AcceptedNote},
    transport::body::Answer,
};

/// Maximum size of the body of a release note.
pub const MAX_NOTE_BYTES: usize = 8 * 1024 * 1024;

/// Time-out of the commit of a release note.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(8);

/// The configuration in effect at this process; empty until a first revision is known.
pub(super) fn configuration(api: &OperatorApi) -> Configuration {
    let current = api.node.configuration();
    current.map(|it| it.configuration.clone()).unwrap_or_default()
}

fn accepted_note(accepted: &Accepted) -> AcceptedNote {
    AcceptedNote {
        number: accepted.number,
        operator: accepted.operator.clone(),
        revision: accepted.revision,
    }
}

pub(super) async fn history(api: &OperatorApi) -> Answer {
    let group = GroupId::Configuration;
    match calls::submit(&api.node, &group, GroupRequest::History, LOOK_UP_TIMEOUT).await {
        Ok(GroupReply::History(notes)) => {
            let notes: Vec<AcceptedNote> = notes.iter().map(accepted_note).collect();
            ok(&notes)
        }
        Ok(_) => refuse(500, "mismatch", "the configuration group sent another kind of reply"),
        Err(error) => call_error_answer(&error),
    }
}

async fn read_note(request: Request<Incoming>) -> Result<ReleaseNote, Answer> {
    let bytes = read_body(request, MAX_NOTE_BYTES).await?;
    let raw: RawNote = serde_json::from_slice(&bytes)
        .map_err(|error| refuse(400, "no-release-note", &error.to_string()))?;
    ReleaseNote::try_from(raw).map_err(|error| note_refused(&error))
}

fn note_refused(error: &NoteError) -> Answer {
    let status = match error {
        NoteError::Stale { .. } => 409,
        _ => 422,
    };
    refuse(status, "note-refused", &error.to_string())
}

pub(super) async fn check(api: &OperatorApi, request: Request<Incoming>) -> Answer {
    let note = match read_note(request).await {
        Ok(note) => note,
        Err(answer) => return answer,
    };
    let current = configuration(api);
    match note.apply(&current) {
        Ok(next) => ok(&AcceptedNote {
            number: note.number(),
            operator: note.operator().clone(),
            revision: next.revision,
        }),
        Err(error) => note_refused(&error),
    }
}

pub(super) async fn apply(
    api: &OperatorApi,
    operator: &OperatorId,
    request: Request<Incoming>,
) -> Answer {
    let note = match read_note(request).await {
        Ok(note) => note,
        Err(answer) => return answer,
    };
    if note.operator() != operator {
        let title = format!("the note names {}, the key is {operator}'s", note.operator());
        return refuse(403, "foreign-operator", &title);
    }
    match calls::submit_configuration_command(&api.node, Command::Apply(note), COMMIT_TIMEOUT).await
    {
        Ok(Reply::Accepted(accepted)) => {
            tracing::info!(%operator, number = %accepted.number, revision = %accepted.revision,
                "release note accepted");
            ok(&accepted_note(&accepted))
        }
        Ok(Reply::Refused(refusal)) => release_refused(&refusal),
        Ok(reply) => {
            tracing::error!(?reply, "unexpected reply to a release note");
            refuse(500, "mismatch", "the configuration group sent another kind of reply")
        }
        Err(error) => call_error_answer(&error),
    }
}

fn release_refused(refusal: &Refusal) -> Answer {
    match refusal {
        Refusal::Note(error) => note_refused(error),
        Refusal::Conflict { .. } => refuse(409, "number-taken", &refusal.to_string()),
        Refusal::Moving { .. } => refuse(409, "team-moving", &refusal.to_string()),
    }
}
