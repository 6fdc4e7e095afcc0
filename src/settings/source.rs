//! Parses settings files and checks single values.

use std::{
    fmt::Display,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    str::FromStr,
};

use medlarlug_core::units::Rate;
use serde::de::DeserializeOwned;
use serde_saphyr::Spanned;
use smol_str::{SmolStr, ToSmolStr, format_smolstr};

use crate::settings::error::{Fault, LineFault, SettingsError};

/// A value with its line in the file.
pub(super) type Lined<T> = Spanned<T>;

/// A text with its line in the file.
pub(super) type Text = Spanned<SmolStr>;

/// Parses `file` as the raw struct `R` and converts it to the checked type `T`.
pub(super) fn load<R, T>(file: &Path) -> Result<T, SettingsError>
where
    R: DeserializeOwned,
    T: TryFrom<R, Error = LineFault>,
{
    let raw: R = read(file)?;
    T::try_from(raw).map_err(|fault| fault.in_file(file.to_owned()))
}

/// Parses `file` as the raw struct `R`.
pub(super) fn read<R: DeserializeOwned>(file: &Path) -> Result<R, SettingsError> {
    let text = fs::read_to_string(file).map_err(|error| SettingsError {
        file: file.to_owned(),
        line: 0,
        fault: Fault::Read(error),
    })?;
    serde_saphyr::from_str(&text).map_err(|error| malformed(&error, &text).in_file(file.to_owned()))
}

fn malformed(error: &serde_saphyr::Error, text: &str) -> LineFault {
    let error = error.without_snippet();
    let line = error.location().map_or(1, |location| location.line());
    let field = field_at(text, line);
    LineFault { line, fault: Fault::Malformed { field, detail: error.to_smolstr() } }
}

/// The YAML key on `line` of `text`; `settings` if there is none.
fn field_at(text: &str, line: u64) -> SmolStr {
    let index = usize::try_from(line.saturating_sub(1)).unwrap_or(usize::MAX);
    let content = text.lines().nth(index).unwrap_or_default();
    let key = content.split(':').next().unwrap_or_default();
    let key = key.trim_matches(|c: char| c.is_whitespace() || c == '-' || c == '{');
    if key.is_empty() { "settings".into() } else { key.into() }
}

/// A fault at the line of `value`.
pub(super) fn fault<T>(value: &Lined<T>, fault: Fault) -> LineFault {
    LineFault { line: value.referenced.line(), fault }
}

/// The fault that `value` is not valid; `valid` describes the valid values.
pub(super) fn invalid<T: Display>(field: &str, value: &Lined<T>, valid: &str) -> LineFault {
    let text = value.value.to_smolstr();
    fault(value, Fault::Invalid { field: field.into(), text, valid: valid.into() })
}

/// The fault that `value` is used more than once.
pub(super) fn duplicate<T: Display>(field: &str, value: &Lined<T>) -> LineFault {
    fault(value, Fault::Duplicate { field: field.into(), text: value.value.to_smolstr() })
}

/// The fault that `value` is not among the ids in `known`.
pub(super) fn unknown(field: &str, value: &Text, known: &[SmolStr]) -> LineFault {
    let known = if known.is_empty() { "none".into() } else { known.join(", ").into() };
    fault(value, Fault::Unknown { field: field.into(), text: value.value.clone(), known })
}

/// Parses an id.
pub(super) fn id<T: FromStr>(field: &str, text: &Text) -> Result<T, LineFault> {
    let valid = "1 to 63 characters out of a-z, 0-9, `-` and `_`, beginning with a letter or digit";
    text.value.parse().map_err(|_| invalid(field, text, valid))
}

/// Parses an address to which other processes can connect.
pub(super) fn address(field: &str, text: &Text) -> Result<SocketAddr, LineFault> {
    let valid = "IP:PORT with an address that others can reach and a port from 1 to 65535";
    let error = || invalid(field, text, valid);
    let address: SocketAddr = text.value.parse().map_err(|_| error())?;
    if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
        return Err(error());
    }
    Ok(address)
}

/// Checks a whole number against an inclusive range.
pub(super) fn bounded(
    field: &str,
    value: &Lined<u64>,
    min: u64,
    max: u64,
) -> Result<u64, LineFault> {
    if (min..=max).contains(&value.value) {
        return Ok(value.value);
    }
    Err(invalid(field, value, &format_smolstr!("a whole number from {min} to {max}")))
}

/// Checks a rate per second.
pub(super) fn rate(field: &str, value: &Lined<f64>) -> Result<Rate, LineFault> {
    let valid = "a number above zero, in events a second";
    Rate::try_from(value.value).map_err(|_| invalid(field, value, valid))
}

/// Resolves `path` relative to the folder that contains `file`.
pub(super) fn resolve_beside(file: &Path, path: &str) -> PathBuf {
    file.parent().unwrap_or(Path::new("")).join(path)
}
