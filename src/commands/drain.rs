//! `medlarlug drain`: starts the graceful shutdown of a process.

use bpaf::Bpaf;
use hyper::Method;
use serde_json::{Value, json};

use crate::commands::{
    context::{Common, common},
    error::CommandError,
};

/// Arguments of `drain`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct Drain {
    #[bpaf(external)]
    common: Common,
}

impl Drain {
    /// Runs the command and prints its result to standard output.
    pub async fn exec(self) -> Result<(), CommandError> {
        let context = self.common.context()?;
        context.client.require_one()?;
        let answer: Value = context.client.send(Method::POST, "/drain", &json!({})).await?;
        context.print(&answer, |_| "draining\n".into());
        Ok(())
    }
}
