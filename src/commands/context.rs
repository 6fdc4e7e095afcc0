//! Common options of commands, and the client and output format made from them.

use std::{fs, net::SocketAddr, path::PathBuf, time::Duration};

use bpaf::Bpaf;
use serde::Serialize;

use crate::commands::{client::OperatorClient, error::CommandError};

/// Options of every command that talks to a process.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct Common {
    /// Operators' address (IP:PORT) of a process; may be repeated, the first one that answers is used
    #[bpaf(argument("ADDR"), env("MEDLARLUG_AT"), many)]
    pub at: Vec<SocketAddr>,
    /// File with the operator's bearer key
    #[bpaf(argument("FILE"), env("MEDLARLUG_KEY_FILE"), optional)]
    pub key_file: Option<PathBuf>,
    /// Timeout for an answer, in seconds
    #[bpaf(argument("SECONDS"), fallback(10), display_fallback)]
    pub timeout: u64,
    /// Print JSON instead of a table
    pub json: bool,
}

/// Client and output format of a command.
pub struct Context {
    /// Client for the processes given by `--at`.
    pub client: OperatorClient,
    /// Whether the output is JSON instead of text.
    pub json: bool,
}

impl Common {
    /// Reads the bearer key and creates the client.
    ///
    /// # Errors
    ///
    /// Fails when no address is given or the key can't be read.
    pub fn context(self) -> Result<Context, CommandError> {
        let key = match self.key_file {
            Some(file) => Some(
                fs::read_to_string(&file)
                    .map_err(|source| CommandError::ReadFile { file, source })?,
            ),
            None => None,
        };
        let timeout = Duration::from_secs(self.timeout.max(1));
        let client = OperatorClient::new(self.at, key.as_deref().map(str::trim), timeout)?;
        Ok(Context { client, json: self.json })
    }
}

impl Context {
    /// Prints `value` as JSON with `--json`, otherwise the text that `table` returns for it.
    pub fn print<T: Serialize>(&self, value: &T, table: impl FnOnce(&T) -> String) {
        if self.json {
            print_json(value);
        } else {
            print!("{}", table(value));
        }
    }
}

/// Prints `value` as indented JSON.
pub fn print_json<T: Serialize>(value: &T) {
    let text = serde_json::to_string_pretty(value).expect("printed types have a JSON form");
    println!("{text}");
}
