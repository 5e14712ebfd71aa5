//! Simulated targets with a few slots.

use std::collections::VecDeque;

use super::Event;
use super::Simulation;
use hawthorn_decide::AttemptResult;
use hawthorn_decide::TickTime;
use hawthorn_types::AttemptId;
use hawthorn_types::target::TargetRefusal;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct JobKey {
    pub front: usize,
    pub attempt: u64,
}

#[derive(Clone, Debug)]
pub struct Job {
    pub key: JobKey,
    pub service: u64,
    pub serial: u64,
    pub started: u64,
}

#[derive(Debug, Default)]
pub struct TargetSim {
    running: Vec<Job>,
    waiting: VecDeque<Job>,
    hung: Vec<JobKey>,
    pub received: Vec<u64>,
}

impl Simulation {
    pub(super) fn on_arrive(&mut self, target: u32, job: Job) {
        let behaviour = self.behaviours[target as usize];
        let sim = &mut self.targets[target as usize];
        sim.received.push(self.now);
        if self.now >= behaviour.hangs_from && self.now < behaviour.hangs_until {
            sim.hung.push(job.key);
            return;
        }
        let refusal = match self.now {
            now if now >= behaviour.drains_from => Some(TargetRefusal::Draining),
            now if now < behaviour.cold_until => Some(TargetRefusal::Cold),
            _ => None,
        };
        if let Some(refusal) = refusal {
            return self.end(target, job.key, AttemptResult::Refused(refusal));
        }
        if sim.running.len() >= usize::from(self.site.slots) {
            self.over_limit += 1;
            if self.sheds {
                let result = AttemptResult::Refused(TargetRefusal::Shedding);
                return self.end(target, job.key, result);
            }
            sim.waiting.push_back(job);
            return;
        }
        self.start(target, job);
    }

    fn start(&mut self, target: u32, mut job: Job) {
        job.started = self.now;
        let done = self.now + job.service;
        let serial = job.serial;
        self.targets[target as usize].running.push(job);
        self.push(done, Event::Done { target, serial });
    }

    pub(super) fn on_done(&mut self, target: u32, serial: u64) {
        let sim = &mut self.targets[target as usize];
        let Some(position) = sim.running.iter().position(|job| job.serial == serial) else {
            return;
        };
        let job = sim.running.swap_remove(position);
        self.slot_time += self.now - job.started;
        self.end(target, job.key, AttemptResult::Answered);
        self.start_next(target);
    }

    fn start_next(&mut self, target: u32) {
        if let Some(job) = self.targets[target as usize].waiting.pop_front() {
            self.start(target, job);
        }
    }

    pub(super) fn on_cancel(&mut self, target: u32, key: JobKey) {
        let sim = &mut self.targets[target as usize];
        sim.hung.retain(|hung| *hung != key);
        if let Some(position) = sim.waiting.iter().position(|job| job.key == key) {
            sim.waiting.remove(position);
        } else if let Some(position) = sim.running.iter().position(|job| job.key == key) {
            let job = sim.running.swap_remove(position);
            self.slot_time += self.now - job.started;
            self.start_next(target);
        } else {
            return;
        }
        self.end(target, key, AttemptResult::Cancelled);
    }

    fn end(&mut self, target: u32, key: JobKey, result: AttemptResult) {
        self.push(self.now + self.site.latency, Event::Ended { target, key, result });
    }

    pub(super) fn on_ended(&mut self, _target: u32, key: JobKey, result: AttemptResult) {
        if self.baseline.is_some() {
            return self.close_piece(key.attempt, result == AttemptResult::Answered);
        }
        self.fronts[key.front].complete(TickTime(self.now), AttemptId(key.attempt), result);
        self.process_actions(key.front);
    }
}
