//! Headers of calls that are forwarded to another instance.

use hyper::{HeaderMap, header::HeaderValue};
use medlarlug::transport::body::Answer;
use medlarlug_core::gateway::{
    handover::{Handover, HandoverReport},
    software_version::SoftwareVersion,
};
use serde::{Serialize, de::DeserializeOwned};

/// Header of a forwarded call: a [`Handover`] in JSON.
pub(super) const HANDOVER_HEADER: &str = "medlarlug-forwarded";
/// Header of the answer to a forwarded call: a [`HandoverReport`] in JSON.
const REPORT_HEADER: &str = "medlarlug-report";
/// Header of the answer to a forwarded call, if it is a stream: the [`SoftwareVersion`] of the
/// upstream that writes it, in JSON.
const SOFTWARE_HEADER: &str = "medlarlug-software";

/// The answer to a call, with the number of attempts that this instance made.
pub(super) struct Reported {
    pub(super) answer: Answer,
    pub(super) report: HandoverReport,
    /// Software version of the upstream that writes the stream, if the answer is one.
    pub(super) software: Option<SoftwareVersion>,
}

impl Reported {
    /// An answer that is no stream.
    pub(super) fn new(answer: Answer, report: HandoverReport) -> Reported {
        Reported { answer, report, software: None }
    }

    /// The answer for the instance that forwarded the call, with the report.
    pub(super) fn for_instance(self) -> Answer {
        let Reported { mut answer, report, software } = self;
        remove_internal(answer.headers_mut());
        if let Some(report) = encode(&report) {
            answer.headers_mut().insert(REPORT_HEADER, report);
        }
        if let Some(software) = software.as_ref().and_then(encode) {
            answer.headers_mut().insert(SOFTWARE_HEADER, software);
        }
        answer
    }

    /// The answer for the caller, without the report.
    pub(super) fn for_caller(self) -> Answer {
        let mut answer = self.answer;
        remove_internal(answer.headers_mut());
        answer
    }
}

/// Removes the headers that only instances send to each other.
fn remove_internal(headers: &mut HeaderMap) {
    headers.remove(REPORT_HEADER);
    headers.remove(SOFTWARE_HEADER);
}

/// The software version of the upstream that writes a stream of another instance; `None` if it is
/// missing or can't be parsed.
pub(super) fn software(headers: &HeaderMap) -> Option<SoftwareVersion> {
    headers.get(SOFTWARE_HEADER).and_then(decode)
}

/// The report in the answer of another instance; `None` if it is missing or can't be parsed.
pub(super) fn report(headers: &HeaderMap) -> Option<HandoverReport> {
    let report = headers.get(REPORT_HEADER).and_then(decode);
    if report.is_none() {
        tracing::warn!(
            "no valid report in the answer of another instance; all attempts count as used"
        );
    }
    report
}

/// The route of a forwarded call; `None` if it is missing or can't be parsed.
pub(super) fn handover(headers: &HeaderMap) -> Option<Handover> {
    headers.get(HANDOVER_HEADER).and_then(decode)
}

pub(super) fn encode(message: &impl Serialize) -> Option<HeaderValue> {
    let text = serde_json::to_vec(message).ok()?;
    HeaderValue::from_bytes(&text).ok()
}

fn decode<T: DeserializeOwned>(value: &HeaderValue) -> Option<T> {
    serde_json::from_slice(value.as_bytes()).ok()
}
