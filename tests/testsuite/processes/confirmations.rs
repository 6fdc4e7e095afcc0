//! The report to operators of the zones in which a revision is in effect.

use medlarlug_core::release::item::Residency;
use nix::sys::signal::Signal;
use serde_json::Value;
use test_support::{
    deployment::{Deployment, wait_for},
    note, region,
};

use crate::processes::fixture::{items, two_regions};

fn confirmations(deployment: &Deployment, at: &str, revision: u64) -> Value {
    deployment.operator_get(at, &format!("/release/confirmations?revision={revision}")).json
}

fn apply_next(deployment: &Deployment, name: &str) -> u64 {
    let base = deployment.operator_get("entry-1", "/status").json["revision"].as_u64();
    let added = vec![region(name, &[])];
    let reply = deployment.apply("entry-1", &note(base.expect("a revision"), added));
    reply.json["revision"].as_u64().unwrap_or_else(|| panic!("{}", reply.text))
}

/// The instances of a zone that have not confirmed the revision.
fn missing(report: &Value, zone: &str) -> Option<Value> {
    let zones = report["zones"].as_array()?;
    zones.iter().find(|it| it["zone"] == zone).map(|it| it["missing"].clone())
}

#[test]
fn unresponsive_instance_is_named_until_its_lease_has_expired() {
    let deployment = two_regions().start();
    deployment.configure(items(Residency::Anywhere));
    let first = apply_next(&deployment, "latgale");
    wait_for("the confirmation of every instance", || {
        confirmations(&deployment, "keeper-1", first)["everywhere"] == true
    });
    let all = confirmations(&deployment, "entry-1", first);

    deployment.signal("entry-2", Signal::SIGSTOP);
    let second = apply_next(&deployment, "zemgale");
    let early = confirmations(&deployment, "entry-1", second);
    let mut late = Value::Null;
    wait_for("the end of the lease of the unresponsive instance", || {
        late = confirmations(&deployment, "keeper-1", second);
        late["everywhere"] == true
    });

    assert_eq!(missing(&all, "liepaja-a"), Some(serde_json::json!([])), "{all}");
    assert_eq!(early["everywhere"], false, "{early}");
    assert_eq!(missing(&late, "riga-a"), Some(serde_json::json!([])), "{late}");
    assert_eq!(missing(&late, "liepaja-a"), Some(serde_json::json!(["entry-2"])), "{late}");
    assert_eq!(late["leases_ms"], 0, "{late}");
}
