//! Evacuates availability zones on requests of operators.

use super::super::Output;
use super::super::evacuation::{EvacuatedZones, EvacuationEvent};
use super::super::fleet::Worker;
use super::Scheduler;
use crate::types::{NodeName, Time, ZoneName};

impl Scheduler {
    /// Number of availability zones that operators have requested to evacuate.
    pub fn evacuated_zones(&self) -> usize {
        self.evacuation.zones()
    }

    /// Applies a read of the operators' requests.
    pub(super) fn update_zones(&mut self, now: Time, read: &EvacuatedZones, out: &mut Vec<Output>) {
        let (revision, read_age) = (read.revision, now.since(read.read_at));
        let changed = self.evacuation.apply(read);
        self.pass_due = true;
        if changed.is_empty() {
            return;
        }
        for worker in self.workers.values_mut() {
            let evacuation = &self.evacuation;
            let zone = worker.report.as_ref().map(|report| &report.zone);
            worker.evacuated = zone.is_some_and(|zone| evacuation.is_evacuated(zone));
        }
        self.full_pass_due = true;
        for (zone, evacuated) in changed {
            let event = EvacuationEvent::Zone {
                workers: self.workers_in(&zone),
                zone,
                evacuated,
                incomplete: !self.unreported.is_empty(),
                revision,
                read_age,
            };
            out.push(Output::Evacuation(event));
        }
    }

    /// Notes whether a worker's reported zone is evacuated.
    pub(super) fn update_zone_of(&mut self, node: &NodeName) {
        if let Some(worker) = self.workers.get_mut(node)
            && let Some(report) = &worker.report
        {
            worker.evacuated = self.evacuation.is_evacuated(&report.zone);
        }
    }

    /// Whether the last read of the operators' requests permits starts.
    pub(super) fn zones_permit_starts(&mut self, now: Time, out: &mut Vec<Output>) -> bool {
        let (permitted, event) = self.evacuation.permits_starts(now);
        out.extend(event.map(Output::Evacuation));
        permitted
    }

    fn workers_in(&self, zone: &ZoneName) -> usize {
        let in_zone = |worker: &&Worker| {
            let report = worker.report.as_ref();
            report.is_some_and(|report| report.zone == *zone)
        };
        self.workers.values().filter(in_zone).count()
    }
}
