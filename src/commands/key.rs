//! `medlarlug key`: handles bearer keys.

use std::io;

use bpaf::Bpaf;
use medlarlug_core::fingerprint::Fingerprint;

use crate::commands::error::CommandError;

/// Commands on bearer keys.
#[derive(Debug, Clone, Bpaf)]
pub enum Key {
    /// Prints the fingerprint of the bearer key on standard input, for a release note or settings
    #[bpaf(command)]
    Hash,
}

impl Key {
    /// Runs the command and prints its result to standard output.
    pub fn exec(self) -> Result<(), CommandError> {
        let key = io::read_to_string(io::stdin()).map_err(CommandError::ReadStdin)?;
        let key = key.trim();
        if key.is_empty() || !key.chars().all(|c| c.is_ascii_graphic()) {
            return Err(CommandError::InvalidKey);
        }
        println!("{}", Fingerprint::of(key.as_bytes()));
        Ok(())
    }
}
