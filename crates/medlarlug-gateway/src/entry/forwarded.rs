//! Headers of calls that one region hands over to another.

use hyper::{HeaderMap, header::HeaderValue};
use medlarlug::transport::body::Answer;
use medlarlug_core::gateway::handover::{Handover, Report};
use serde::{Serialize, de::DeserializeOwned};

/// Header of a call that was handed over: a [`Handover`] in JSON.
pub(super) const HANDOVER_HEADER: &str = "medlarlug-forwarded";
/// Header of an answer to such a call: a [`Report`] in JSON.
const REPORT_HEADER: &str = "medlarlug-report";

/// The answer to a call, with what this instance did to get it.
pub(super) struct Reported {
    pub(super) answer: Answer,
    pub(super) report: Report,
}

impl Reported {
    /// The answer for the instance that handed the call over.
    pub(super) fn for_instance(self) -> Answer {
        let Reported { mut answer, report } = self;
        answer.headers_mut().remove(REPORT_HEADER);
        if let Some(report) = encode(&report) {
            answer.headers_mut().insert(REPORT_HEADER, report);
        }
        answer
    }

    /// The answer for the caller, which is not told how it came about.
    pub(super) fn for_caller(self) -> Answer {
        let mut answer = self.answer;
        answer.headers_mut().remove(REPORT_HEADER);
        answer
    }
}

/// What another instance reports with an answer; `None` if there is no readable report.
pub(super) fn report(headers: &HeaderMap) -> Option<Report> {
    let report = headers.get(REPORT_HEADER).and_then(decode);
    if report.is_none() {
        tracing::warn!(
            "an instance answered without a readable report, all attempts count as used"
        );
    }
    report
}

/// The route of a call that was handed over.
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
