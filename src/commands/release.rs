//! `medlarlug release`: checks, applies and shows release notes.

use std::{
    fs,
    path::{Path, PathBuf},
    time::Duration,
};

use bpaf::Bpaf;
use hyper::Method;
use medlarlug_core::{
    ids::Revision,
    release::{Configuration, Item, RawNote},
};
use serde_json::json;
use smol_str::ToSmolStr;
use tokio::time::{Instant, sleep};

use crate::{
    commands::{
        context::{Common, Context, common},
        error::CommandError,
        table::table,
    },
    protocol::operators::{AcceptedNote, Confirmations, ZoneConfirmation},
};

const CONFIRMATION_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Commands on release notes.
#[derive(Debug, Clone, Bpaf)]
pub enum Release {
    /// Checks whether a release note would be accepted, without applying it
    #[bpaf(command)]
    Check {
        #[bpaf(external)]
        common: Common,
        /// The release note (YAML)
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Applies a release note; applying the same note again gives the same answer
    #[bpaf(command)]
    Apply {
        #[bpaf(external)]
        common: Common,
        /// Wait until the revision is in force in every zone
        wait: bool,
        /// Timeout of --wait, in seconds
        #[bpaf(argument("SECONDS"), fallback(30), display_fallback)]
        wait_limit: u64,
        /// The release note (YAML)
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Shows the configuration in force
    #[bpaf(command)]
    Show {
        #[bpaf(external)]
        common: Common,
    },
    /// Lists the accepted release notes
    #[bpaf(command)]
    History {
        #[bpaf(external)]
        common: Common,
    },
}

impl Release {
    /// Runs the command and prints its result to standard output.
    pub async fn exec(self) -> Result<(), CommandError> {
        match self {
            Release::Check { common, file } => check(&common.context()?, &file).await,
            Release::Apply { common, wait, wait_limit, file } => {
                let wait = wait.then_some(Duration::from_secs(wait_limit));
                apply(&common.context()?, &file, wait).await
            }
            Release::Show { common } => show(&common.context()?).await,
            Release::History { common } => history(&common.context()?).await,
        }
    }
}

fn read_note(file: &Path) -> Result<RawNote, CommandError> {
    let text = fs::read_to_string(file)
        .map_err(|source| CommandError::ReadFile { file: file.to_owned(), source })?;
    serde_saphyr::from_str(&text).map_err(|error| CommandError::InvalidFile {
        file: file.to_owned(),
        detail: error.without_snippet().to_smolstr(),
    })
}

async fn check(context: &Context, file: &Path) -> Result<(), CommandError> {
    let note = read_note(file)?;
    let acceptable: AcceptedNote =
        context.client.send(Method::POST, "/release/check", &note).await?;
    context.print(&acceptable, |it| {
        format!("note {} of {} would become revision {}\n", it.number, it.operator, it.revision)
    });
    Ok(())
}

async fn apply(context: &Context, file: &Path, wait: Option<Duration>) -> Result<(), CommandError> {
    let note = read_note(file)?;
    let accepted: AcceptedNote = context.client.send(Method::POST, "/release/apply", &note).await?;
    let line = |it: &AcceptedNote| {
        format!("note {} of {} is revision {}\n", it.number, it.operator, it.revision)
    };
    let Some(timeout) = wait else {
        context.print(&accepted, line);
        return Ok(());
    };
    let confirmations = wait_until_in_effect(context, accepted.revision, timeout).await?;
    context.print(&json!({"accepted": accepted, "zones": confirmations.zones}), |_| {
        let zones: String =
            confirmations.zones.iter().map(|it| zone_line(it, accepted.revision)).collect();
        format!("{}{zones}in force everywhere\n", line(&accepted))
    });
    Ok(())
}

/// The line of one zone in the output of `apply --wait`.
fn zone_line(zone: &ZoneConfirmation, revision: Revision) -> String {
    if zone.revision.is_some_and(|it| it >= revision) {
        return format!("{}: in force\n", zone.zone);
    }
    let missing: Vec<&str> = zone.missing.iter().map(|it| it.as_str()).collect();
    format!("{}: not confirmed by {}; lease run out\n", zone.zone, missing.join(", "))
}

/// Waits until `revision` is in effect in every zone, which it also is once the configuration leases
/// of the instances that have not confirmed it have expired.
async fn wait_until_in_effect(
    context: &Context,
    revision: Revision,
    timeout: Duration,
) -> Result<Confirmations, CommandError> {
    let start = Instant::now();
    let path = format!("/release/confirmations?revision={revision}");
    loop {
        let confirmations: Confirmations = context.client.get(&path).await?;
        let is_behind = |it: &Option<Revision>| it.is_none_or(|known| known < revision);
        let behind: Vec<&str> = confirmations
            .zones
            .iter()
            .filter(|it| is_behind(&it.revision))
            .map(|it| it.zone.as_str())
            .collect();
        if confirmations.everywhere || behind.is_empty() {
            return Ok(confirmations);
        }
        if start.elapsed() >= timeout {
            let zones = behind.join(", ").into();
            return Err(CommandError::NotConfirmed { revision, zones });
        }
        sleep(CONFIRMATION_POLL_INTERVAL).await;
    }
}

async fn show(context: &Context) -> Result<(), CommandError> {
    let configuration: Configuration = context.client.get("/release").await?;
    context.print(&configuration, |it| {
        let rows: Vec<[String; 2]> = it.items().iter().map(item_row).collect();
        format!("revision {}\n{}", it.revision, table(["ITEM", "CONTENT"], &rows))
    });
    Ok(())
}

/// The key of an item and its fields as JSON.
fn item_row(item: &Item) -> [String; 2] {
    let json = serde_json::to_value(item).unwrap_or_default();
    let fields = json.as_object().and_then(|it| it.values().next()).cloned();
    [item.key().to_string(), fields.unwrap_or_default().to_string()]
}

async fn history(context: &Context) -> Result<(), CommandError> {
    let notes: Vec<AcceptedNote> = context.client.get("/release/history").await?;
    context.print(&notes, |all| {
        let row = |it: &AcceptedNote| {
            [it.revision.to_string(), it.number.to_string(), it.operator.to_string()]
        };
        let rows: Vec<[String; 3]> = all.iter().map(row).collect();
        table(["REVISION", "NOTE", "OPERATOR"], &rows)
    });
    Ok(())
}
