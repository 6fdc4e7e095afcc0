//! Names of the HTTP headers that the gateway reads and writes.

/// Id of the request that an HTTP request or answer belongs to.
pub const REQUEST_ID: &str = "x-request-id";

/// Message authentication code of the body of a request between processes, in hexadecimal.
pub const MAC: &str = "x-medlarlug-mac";

/// Time remaining until the deadline of a request, in milliseconds.
pub const DEADLINE: &str = "x-deadline-ms";

/// Priority of a request; a higher number is served first.
pub const PRIORITY: &str = "x-priority";

/// Team on whose behalf a request is forwarded.
pub const TEAM: &str = "x-medlarlug-team";

/// Availability zone that a forwarded request comes from.
pub const ORIGIN: &str = "x-medlarlug-origin";

/// Key that a caller chooses; calls with the same key run at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Name of the adapter that the caller requests.
pub const ADAPTER: &str = "x-adapter";

/// Whether a refused request ran; see [`Outcome`](medlarlug_core::record::Outcome).
pub const OUTCOME: &str = "x-medlarlug-outcome";
