//! Look-up of the record of a request.

use std::time::Duration;

use medlarlug_core::{home::RecordLookup, ids::RequestId, record::RequestRecord};

use crate::coordination::{calls, calls::CallError, node::Node};

/// Title of the answer for a request without a record.
pub const NOT_FOUND_TITLE: &str = "no record: the id was never given out, or its instance stopped \
                                   within the last batch of records before it was sent";

/// The result of looking up a request.
#[derive(Debug, Clone, PartialEq)]
pub enum RecordStatus {
    /// The record of the request.
    Recorded(RequestRecord),
    /// The record's retention time has passed.
    Expired,
    /// The home group has no record of the request; it may still arrive.
    NotFound,
}

/// Reads the record of `id` from the home group that stores it.
///
/// # Errors
///
/// Fails if no reply arrives within `time_limit`; see [`CallError`].
pub async fn record_status(
    node: &Node,
    id: &RequestId,
    time_limit: Duration,
) -> Result<RecordStatus, CallError> {
    match calls::look_up_record(node, id, time_limit).await? {
        RecordLookup::Found(record) => Ok(RecordStatus::Recorded(record)),
        RecordLookup::Expired => Ok(RecordStatus::Expired),
        RecordLookup::Pending => Ok(RecordStatus::NotFound),
    }
}
