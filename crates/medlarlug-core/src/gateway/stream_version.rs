//! The software version to which a stream is bound.

use super::software_version::SoftwareVersion;

/// Which upstreams may write the next event of a stream.
///
/// The first event that a caller receives binds its stream: only upstreams of the version that wrote
/// the event may go on, within the answer and when the caller resumes the stream in another call.
///
/// ```
/// use medlarlug_core::gateway::stream_version::StreamVersion;
///
/// let mut version = StreamVersion::Free;
/// version.bind(Some(&"v1".parse()?));
/// assert!(version.allows(Some(&"v1".parse()?)));
/// assert!(!version.allows(Some(&"v1.1".parse()?)));
/// # Ok::<(), medlarlug_core::gateway::software_version::SoftwareVersionError>(())
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum StreamVersion {
    /// Any upstream: the caller has no event yet.
    #[default]
    Free,
    /// Upstreams of this version.
    Bound(SoftwareVersion),
    /// No upstream: the caller has events from an upstream whose version is unknown.
    Unknown,
}

impl StreamVersion {
    /// Records that the caller receives an event from an upstream of this version.
    pub fn bind(&mut self, software: Option<&SoftwareVersion>) {
        if *self == StreamVersion::Free {
            *self = software.cloned().map_or(StreamVersion::Unknown, StreamVersion::Bound);
        }
    }

    /// Whether an upstream of this version may write the next event.
    pub fn allows(&self, software: Option<&SoftwareVersion>) -> bool {
        match self {
            StreamVersion::Free => true,
            StreamVersion::Bound(version) => software == Some(version),
            StreamVersion::Unknown => false,
        }
    }

    /// The version to which the stream is bound, if it is known.
    pub fn bound(&self) -> Option<&SoftwareVersion> {
        match self {
            StreamVersion::Bound(version) => Some(version),
            StreamVersion::Free | StreamVersion::Unknown => None,
        }
    }
}
