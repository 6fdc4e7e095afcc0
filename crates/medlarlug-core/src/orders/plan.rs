//! Plans the orders that the engines of a zone need.
//!
//! * A model version that the configuration names for the region, and that no engine has loaded, is
//!   loaded by the engine with the fewest loaded versions.
//! * An engine that has loaded a version which the model's item no longer lists loads the listed
//!   ones, and unloads the old one afterwards.
//! * A model that was in the configuration and has been drained is unloaded.
//!
//! A version is unloaded only while the engine reports no requests, so that none is aborted. Models
//! that the configuration has never named are left alone.

use crate::{
    announcement::{Announcement, LoadedModel, UpstreamKind},
    ids::{ModelId, RegionId, VersionId},
    orders::{OrderKind, Task},
    release::{Configuration, Item, item::Model, item::Residency},
};

/// Plans orders from the configuration and the announcements of a zone's engines.
///
/// ```
/// use medlarlug_core::{ids::Revision, orders::Planner, release::Configuration};
///
/// let mut planner = Planner::new("riga".parse().unwrap());
/// let nothing = Configuration::new(Revision(1), Vec::new());
/// assert!(planner.plan(&nothing, &[], &[]).is_empty());
/// ```
#[derive(Debug, Clone)]
pub struct Planner {
    region: RegionId,
    /// Models that any configuration has named since the start, sorted.
    named: Vec<ModelId>,
}

/// An engine as it will be once the orders in flight have been carried out.
struct Engine<'a> {
    announcement: &'a Announcement,
    models: Vec<LoadedModel>,
}

impl Engine<'_> {
    fn has(&self, model: &ModelId, version: &VersionId) -> bool {
        self.models.iter().any(|it| it.model == *model && it.version == *version)
    }

    fn is_idle(&self) -> bool {
        let load = &self.announcement.load;
        load.running == 0 && load.waiting == 0
    }

    /// Applies an operation to the engine and returns the task for it.
    fn assign(&mut self, kind: OrderKind) -> Task {
        self.apply(&kind);
        let (upstream, incarnation) = (self.announcement.id.clone(), self.announcement.incarnation);
        Task { upstream, incarnation, kind }
    }

    fn apply(&mut self, kind: &OrderKind) {
        match kind {
            OrderKind::Load { model, version } if !self.has(model, version) => {
                let (model, version) = (model.clone(), version.clone());
                self.models.push(LoadedModel { model, version, adapters: Vec::new() });
            }
            OrderKind::Unload { model, version } => {
                self.models.retain(|it| it.model != *model || it.version != *version);
            }
            _ => {}
        }
    }
}

impl Planner {
    /// Creates a planner for the engines of one zone of `region`.
    pub fn new(region: RegionId) -> Planner {
        Planner { region, named: Vec::new() }
    }

    /// The tasks that still have to be ordered.
    ///
    /// `announcements` are those of the live engines. `in_flight` are the tasks that were ordered
    /// and may not be reflected in the announcements yet.
    pub fn plan(
        &mut self,
        configuration: &Configuration,
        announcements: &[Announcement],
        in_flight: &[Task],
    ) -> Vec<Task> {
        self.record_named(configuration);
        let mut engines: Vec<Engine> = announcements.iter().filter_map(engine).collect();
        for engine in &mut engines {
            let is_for_engine = |it: &&Task| {
                it.upstream == engine.announcement.id
                    && it.incarnation == engine.announcement.incarnation
            };
            let kinds: Vec<&OrderKind> =
                in_flight.iter().filter(is_for_engine).map(|it| &it.kind).collect();
            kinds.into_iter().for_each(|it| engine.apply(it));
        }
        let mut tasks = Vec::new();
        for engine in &mut engines {
            self.replace_versions(configuration, engine, &mut tasks);
        }
        for model in configuration.models().filter(|it| self.is_served_here(it)) {
            load_missing(model, &mut engines, &mut tasks);
        }
        tasks
    }

    fn record_named(&mut self, configuration: &Configuration) {
        let draining = configuration.draining().iter().filter_map(|it| match it {
            Item::Model(model) => Some(model),
            _ => None,
        });
        for model in configuration.models().chain(draining) {
            if let Err(index) = self.named.binary_search(&model.id) {
                self.named.insert(index, model.id.clone());
            }
        }
    }

    fn is_served_here(&self, model: &Model) -> bool {
        match &model.residency {
            Residency::Regions(regions) => regions.contains(&self.region),
            Residency::Home | Residency::Anywhere => true,
        }
    }

    /// Replaces versions on an engine that are no longer listed by those that are.
    fn replace_versions(
        &self,
        configuration: &Configuration,
        engine: &mut Engine,
        tasks: &mut Vec<Task>,
    ) {
        for old in engine.models.clone() {
            let (model, version) = (old.model, old.version);
            let listed = match configuration.models().find(|it| it.id == model) {
                Some(item) if item.versions.contains(&version) => continue,
                Some(item) => item.versions.clone(),
                None if self.is_withdrawn(configuration, &model) => Vec::new(),
                None => continue,
            };
            let missing: Vec<VersionId> =
                listed.into_iter().filter(|it| !engine.has(&model, it)).collect();
            if missing.is_empty() && engine.is_idle() {
                tasks.push(engine.assign(OrderKind::Unload { model, version }));
                continue;
            }
            for version in missing {
                let model = model.clone();
                tasks.push(engine.assign(OrderKind::Load { model, version }));
            }
        }
    }

    fn is_withdrawn(&self, configuration: &Configuration, model: &ModelId) -> bool {
        let drains = |it: &Item| matches!(it, Item::Model(other) if other.id == *model);
        self.named.binary_search(model).is_ok() && !configuration.draining().iter().any(drains)
    }
}

fn engine(announcement: &Announcement) -> Option<Engine<'_>> {
    match &announcement.kind {
        UpstreamKind::Engine { models } => Some(Engine { announcement, models: models.clone() }),
        UpstreamKind::Service { .. } => None,
    }
}

/// Assigns each listed version that no engine has loaded to the engine with the fewest versions.
fn load_missing(model: &Model, engines: &mut [Engine], tasks: &mut Vec<Task>) {
    for version in &model.versions {
        if engines.iter().any(|it| it.has(&model.id, version)) {
            continue;
        }
        let key = |it: &&mut Engine| (it.models.len(), it.announcement.id.clone());
        if let Some(engine) = engines.iter_mut().min_by_key(key) {
            let (model, version) = (model.id.clone(), version.clone());
            tasks.push(engine.assign(OrderKind::Load { model, version }));
        }
    }
}
