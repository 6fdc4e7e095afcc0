//! Configurations as the operator sends them.

/// Host of the routes that callers use.
pub const HOST: &str = "ficu95.example";
/// Prefix of the route of bookings (`unsafe`).
pub const BOOKING: &str = "/pule252/";
/// Prefix of the route of look-ups (`safe`).
pub const LOOKUP: &str = "/puxa403/";
/// Prefix of the route of questions (`streaming`).
pub const QUESTION: &str = "/pufi791/";

/// A configuration with the routes of bookings, look-ups and questions, and with `more` further routes.
pub fn document(version: u64, more: usize) -> String {
    let route = |name: &str, host: &str, prefix: &str, kind: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{host}\",\"pathPrefix\":\"{prefix}\",\
             \"routeType\":\"{kind}\",\"timeoutMs\":15000,\"targetLatencyMs\":2000,\
             \"priority\":2,\"service\":\"desk\",\"maxAttempts\":1,\"sessionAffinity\":false,\
             \"resumable\":false,\"gapTargetMs\":600,\"homeRegions\":[]}}"
        )
    };
    let mut routes = vec![
        route("r-booking", HOST, BOOKING, "unsafe"),
        route("r-lookup", HOST, LOOKUP, "safe"),
        route("r-question", HOST, QUESTION, "streaming"),
    ];
    routes.extend((0..more).map(|number| {
        let name = format!("r-big{number:05}");
        route(&name, HOST, &format!("/big{number:05}/"), "safe")
    }));
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"desk\",\
         \"healthPath\":\"/healthz\",\"maxConnections\":100,\"protocol\":\"h1\",\"tls\":false,\
         \"coldStartS\":3.0,\"coldPerS\":2.7}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(",")
    )
}

/// The version of a configuration that was read back.
pub fn version_of(document: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(document).ok()?;
    let digits = text.strip_prefix("{\"version\":")?;
    digits.split(',').next()?.parse().ok()
}
