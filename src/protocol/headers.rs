//! Names of the headers that the gateway reads and writes.

/// Id of the request that a message belongs to.
pub const REQUEST_ID: &str = "x-request-id";

/// Authentication code of a message between processes, in hexadecimal.
pub const MAC: &str = "x-medlarlug-mac";

/// Time that is left until the deadline of a request, in milliseconds.
pub const DEADLINE: &str = "x-deadline-ms";

/// Priority of a request; a higher one goes first.
pub const PRIORITY: &str = "x-priority";

/// Team on whose behalf a request is forwarded.
pub const TEAM: &str = "x-medlarlug-team";

/// Availability zone that a forwarded request comes from.
pub const ORIGIN: &str = "x-medlarlug-origin";

/// Key under which a caller's call runs at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Index of an adapter that the caller asks for, by name.
pub const ADAPTER: &str = "x-adapter";

/// How a refused request ended.
pub const OUTCOME: &str = "x-medlarlug-outcome";
