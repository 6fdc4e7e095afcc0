//! A call as its caller sent it, parsed once.

use std::time::Duration;

use bytes::Bytes;
use hyper::{HeaderMap, Method, header, http::request};
use medlarlug_core::{
    fingerprint::Fingerprint,
    gateway::{
        authentication::Identity,
        placement::{Demand, PromptPart},
    },
    suspects::RequestContents,
};
use smol_str::SmolStr;

use crate::headers::HeaderNames;

/// A call with the parsed headers that decisions depend on.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) method: Method,
    /// Path and query, as sent.
    pub(super) target: SmolStr,
    pub(super) host: SmolStr,
    /// The id that the caller gave the call; empty if it sent none.
    pub(super) id: SmolStr,
    /// Id of the call that brought the first event of the stream that this call resumes; `None` if
    /// the caller names none.
    pub(super) resumed_call: Option<SmolStr>,
    /// Time for which the caller waits; `None` if it did not say.
    pub(super) deadline: Option<Duration>,
    pub(super) demand: Demand,
    /// Fingerprint of the key in `Authorization`, if there is one.
    pub(super) key: Option<Fingerprint>,
    /// Whether `key` was accepted as that of a team, or the call needs none.
    is_checked: bool,
    /// The headers to pass on to the hop.
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// Fingerprints of the request and of the parts of its prompt, by which contents that crash
    /// upstreams are recognized; set with the body.
    pub(super) contents: RequestContents,
}

impl Call {
    /// Parses the head of a request; the body is added by [`Call::set_body`].
    pub(super) fn read(parts: request::Parts, names: &HeaderNames) -> Call {
        let request::Parts { method, uri, mut headers, .. } = parts;
        let text = |name: &header::HeaderName| {
            headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
        };
        let host = text(&header::HOST);
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let host = host.to_ascii_lowercase().into();
        let id = text(&names.call_id).into();
        let resumed_call = Some(text(&names.resumed_call).trim()).filter(|it| !it.is_empty());
        let resumed_call = resumed_call.map(SmolStr::from);
        let deadline = text(&names.deadline).trim().parse().ok().map(Duration::from_millis);
        let demand = parse_demand(text(&names.prompt_parts), text(&names.token_counts));
        let target = uri.path_and_query().map_or("/", |target| target.as_str()).into();
        // Before the headers that `Connection` lists are removed.
        let key = bearer_key(&headers).map(Fingerprint::of);
        strip(&mut headers, names);
        Call {
            method,
            target,
            host,
            id,
            resumed_call,
            deadline,
            demand,
            key,
            is_checked: false,
            headers,
            body: Bytes::new(),
            contents: RequestContents::new(Fingerprint(0), Vec::new()),
        }
    }

    /// Removes the key, and the name of a team that the caller sent, and sets the name of the accepted
    /// team. Leaves the headers as they are if there are no teams.
    pub(super) fn set_identity(&mut self, identity: &Identity, names: &HeaderNames) {
        let team = match identity {
            Identity::Unchecked => return,
            Identity::Anonymous => None,
            Identity::Team(accepted) => Some(accepted),
        };
        self.headers.remove(header::AUTHORIZATION);
        self.headers.remove(&names.team);
        self.is_checked = true;
        // A forwarded call has a fingerprint from its first instance instead of a key.
        self.key = team.map(|it| it.key);
        let name = team.and_then(|it| header::HeaderValue::from_str(it.team.name.as_str()).ok());
        if let Some(name) = name {
            self.headers.insert(names.team.clone(), name);
        }
    }

    /// Stores the body and computes the fingerprints of the request and of the parts of its prompt.
    /// The last part belongs to this request alone, so the fingerprint of the request covers it.
    pub(super) fn set_body(&mut self, body: Bytes) {
        // With teams, the fingerprint of the key, which is known at both instances of a forwarded call.
        let digest = self.key.filter(|_| self.is_checked).map(|key| key.0.to_be_bytes());
        let sent = self.headers.get(header::AUTHORIZATION).map(|it| it.as_bytes());
        let key = digest.as_ref().map(|it| &it[..]).or(sent).unwrap_or_default();
        let fields = [
            self.method.as_str().as_bytes(),
            self.host.as_bytes(),
            self.target.as_bytes(),
            key,
            &body,
        ];
        let whole = fingerprint(&fields);
        let shared = self.demand.parts.split_last().map_or(&[][..], |(_, shared)| shared);
        let parts = shared.iter().map(|it| fingerprint(&[PROMPT_PART, &it.id.to_le_bytes()]));
        self.contents = RequestContents::new(whole, parts.collect());
        self.body = body;
    }

    /// The path without its query.
    pub(super) fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

/// The key in `Authorization: Bearer KEY`; `None` without one or with another scheme.
fn bearer_key(headers: &HeaderMap) -> Option<&[u8]> {
    let value = headers.get(header::AUTHORIZATION)?.as_bytes();
    let (scheme, key) = value.split_at_checked(BEARER.len())?;
    let is_bearer = scheme.eq_ignore_ascii_case(BEARER);
    Some(key.trim_ascii()).filter(|key| is_bearer && !key.is_empty())
}

/// Scheme of the keys, with the space that follows it. Schemes are compared in any case (RFC 9110,
/// section 11.1).
const BEARER: &[u8] = b"Bearer ";

/// First field of the fingerprint of a prompt part; distinguishes it from a request.
const PROMPT_PART: &[u8] = b"prompt part";

/// The fingerprint of several fields. Each is preceded by its length, so that the same bytes divided
/// otherwise give another fingerprint.
fn fingerprint(fields: &[&[u8]]) -> Fingerprint {
    let mut content = Vec::with_capacity(fields.iter().map(|it| it.len() + 8).sum());
    for field in fields {
        content.extend_from_slice(&(field.len() as u64).to_le_bytes());
        content.extend_from_slice(field);
    }
    Fingerprint::of(&content)
}

/// Removes the headers that apply to one connection only, and those that only the system sets.
fn strip(headers: &mut HeaderMap, names: &HeaderNames) {
    strip_connection(headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    headers.remove(&names.deadline);
    headers.remove(&names.expected_upstream);
    headers.remove(&names.priority);
    headers.remove(super::forwarded::HANDOVER_HEADER);
    for name in &names.reserved {
        headers.remove(name);
    }
}

/// Removes the headers that apply to one connection only (RFC 9110, section 7.6.1).
pub(super) fn strip_connection(headers: &mut HeaderMap) {
    let listed: Vec<header::HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed {
        headers.remove(name);
    }
    let fixed = [
        header::CONNECTION,
        header::TRANSFER_ENCODING,
        header::TE,
        header::TRAILER,
        header::UPGRADE,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
        header::HeaderName::from_static("keep-alive"),
        header::HeaderName::from_static("proxy-connection"),
    ];
    for name in fixed {
        headers.remove(name);
    }
}

/// Parses what a call demands of an engine. Prompt parts that can't be parsed are left out, and
/// counts that can't be parsed are 0.
fn parse_demand(parts: &str, counts: &str) -> Demand {
    let parts = parts.split(',').filter_map(|part| {
        let (id, tokens) = part.trim().split_once(':')?;
        let id = u64::from_str_radix(id, 16).ok()?;
        Some(PromptPart { id, tokens: tokens.parse().ok()? })
    });
    let mut counts = counts.split(',').map(|count| count.trim().parse().unwrap_or(0));
    let prompt = counts.next().unwrap_or(0);
    let output = counts.next().unwrap_or(0);
    Demand { parts: parts.collect(), prompt_tokens: prompt, output_tokens: output, priority: 0 }
}
