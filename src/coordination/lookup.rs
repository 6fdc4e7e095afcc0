//! What became of a request.

use std::time::Duration;

use medlarlug_core::{home::RecordLookup, ids::RequestId, record::RequestRecord};

use crate::coordination::{calls, calls::CallError, node::Node};

/// What a request without a record may be.
pub const NOT_FOUND_TITLE: &str = "no record: the id was never given out, or its instance stopped within \
                            the last batch of records before it was sent";

/// What is known of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum RecordStatus {
    /// Its record.
    Recorded(RequestRecord),
    /// The record is no longer kept.
    Expired,
    /// The home group has no such record.
    NotFound,
}

/// Asks the home group that keeps the record of `id`.
///
/// # Errors
///
/// Fails when the group can't be reached within `limit`.
pub async fn record_status(
    node: &Node,
    id: &RequestId,
    limit: Duration,
) -> Result<RecordStatus, CallError> {
    match calls::look_up_record(node, id, limit).await? {
        RecordLookup::Found(record) => Ok(RecordStatus::Recorded(record)),
        RecordLookup::Expired => Ok(RecordStatus::Expired),
        RecordLookup::Pending => Ok(RecordStatus::NotFound),
    }
}
