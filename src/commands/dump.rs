//! `medlarlug dump`: prints the complete state of a process.

use bpaf::Bpaf;
use serde_json::Value;

use crate::commands::{
    context::{Common, common, print_json},
    error::CommandError,
};

/// Arguments of `dump`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct Dump {
    #[bpaf(external)]
    common: Common,
}

impl Dump {
    /// Runs the command and prints its result to standard output.
    pub async fn exec(self) -> Result<(), CommandError> {
        let context = self.common.context()?;
        let dump: Value = context.client.get("/dump").await?;
        print_json(&dump);
        Ok(())
    }
}
