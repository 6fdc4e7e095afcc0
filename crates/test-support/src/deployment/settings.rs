//! Settings files of a deployment.

use std::fs;

use medlarlug_core::fingerprint::Fingerprint;

use super::{Deployment, OPERATOR_KEY, Upstream};
use crate::relay::Relay;

impl Deployment {
    pub(super) fn start_relays(&mut self) {
        if self.has_upstream_relays {
            let started = self.upstreams.iter().map(|it| (it.id.clone(), Relay::start(it.address)));
            self.upstream_relays = started.collect();
        }
        let Some(network) = &mut self.network else { return };
        for from in &self.instances {
            for to in self.instances.iter().filter(|it| it.id != from.id) {
                network.add(&from.id, &to.id, to.peers, to.internal);
            }
        }
    }

    pub(super) fn write_settings(&self) {
        self.write("deployment.key", "an example of a long deployment key\n");
        let key = Fingerprint::of(OPERATOR_KEY.as_bytes());
        for it in &self.instances {
            self.write(&format!("cluster-{}.yaml", it.id), &self.cluster_file(&it.id));
            let data = match it.has_disk {
                true => format!("data: data-{}\n", it.id),
                false => String::new(),
            };
            let limits = if it.is_entry { self.limits.as_str() } else { "" };
            let text = format!(
                "instance: {0}\ncluster: cluster-{0}.yaml\nkey: [deployment.key]\noperators:\n  \
                 - {{ id: anna, key: {key} }}\n{data}{limits}{1}",
                it.id, self.resources
            );
            self.write(&format!("{}.yaml", it.id), &text);
        }
        for it in &self.upstreams {
            self.write(&format!("{}.yaml", it.id), &self.upstream_settings(it));
        }
    }

    /// Sets the deployment key files in the settings of every process, the signing key first.
    ///
    /// A process reads them at its next start. Missing files are created, each with its own key.
    pub fn set_keys(&self, files: &[&str]) {
        for file in files {
            if !self.folder.path().join(file).exists() {
                self.write(file, &format!("an example of a long key out of {file}\n"));
            }
        }
        let line = format!("key: [{}]", files.join(", "));
        let instances = self.instances.iter().map(|it| &it.id);
        for id in instances.chain(self.upstreams.iter().map(|it| &it.id)) {
            let text = fs::read_to_string(self.settings(id)).expect("a settings file");
            let lines: Vec<&str> = text
                .lines()
                .map(|it| if it.starts_with("key: [") { line.as_str() } else { it })
                .collect();
            self.write(&format!("{id}.yaml"), &(lines.join("\n") + "\n"));
        }
    }

    /// The cluster file for the process `reader`, with relays as the addresses of the others.
    fn cluster_file(&self, reader: &str) -> String {
        let mut text = String::from("zones:\n");
        for (zone, region) in &self.zones {
            text.push_str(&format!("  - {{ id: {zone}, region: {region} }}\n"));
        }
        text.push_str("instances:\n");
        for it in &self.instances {
            let (kind, extra) = match it.is_entry {
                true => ("entry", format!("callers: \"{}\"", it.callers)),
                false => ("keeper", "durable: true".to_owned()),
            };
            let link = self.network.as_ref().and_then(|network| network.get(reader, &it.id));
            let peers = link.map_or(it.peers, |link| link.peers.address());
            let internal = link.map_or(it.internal, |link| link.internal.address());
            text.push_str(&format!(
                "  - {{ id: {}, kind: {kind}, zone: {}, internal: \"{}\", peers: \"{}\", \
                 operators: \"{}\", {extra} }}\n",
                it.id, it.zone, internal, peers, it.operators
            ));
        }
        let keepers = self.instances.iter().filter(|it| !it.is_entry);
        let keepers: Vec<&str> = keepers.map(|it| it.id.as_str()).collect();
        let voters = keepers.join(", ");
        text.push_str(&format!("configuration: [{voters}]\nhomes:\n"));
        let mut regions: Vec<&String> = self.zones.iter().map(|it| &it.1).collect();
        regions.sort();
        regions.dedup();
        for region in regions {
            let configured = self.home_voters.iter().find(|it| it.0 == *region);
            let voters = configured.map_or(voters.clone(), |it| it.1.join(", "));
            text.push_str(&format!("  - {{ region: {region}, voters: [{voters}] }}\n"));
        }
        text
    }

    fn upstream_settings(&self, upstream: &Upstream) -> String {
        let entries = self.instances.iter().filter(|it| it.is_entry && it.zone == upstream.zone);
        let entries: Vec<String> = entries.map(|it| format!("\"{}\"", it.internal)).collect();
        let mut text = format!(
            "key: [deployment.key]\nupstreams:\n  - id: {}\n    zone: {}\n    address: {}\n    \
             control: {}\n    announce_to: [{}]\n    kind: {}\n    slots: {}\n    lag_ms: 100\n",
            upstream.id,
            upstream.zone,
            upstream.address,
            upstream.control,
            entries.join(", "),
            upstream.kind,
            upstream.slots
        );
        if let Some((_, relay)) = self.upstream_relays.iter().find(|it| it.0 == upstream.id) {
            text.push_str(&format!("    announced: {}\n", relay.address()));
        }
        for line in &upstream.extra {
            text.push_str(&format!("    {line}\n"));
        }
        text
    }

    fn write(&self, name: &str, text: &str) {
        fs::write(self.folder.path().join(name), text).expect("a settings file");
    }
}
