//! Handles messages between the former and the new owner.

use std::time::Duration;

use super::Handover;
use super::bucket::AcquiringState;
use super::bucket::BucketState;
use crate::message::HandoverMessage;
use crate::message::MemberId;

impl Handover {
    /// Handles a message of another host of the zone.
    pub fn receive(&mut self, now: Duration, from: MemberId, message: HandoverMessage) {
        match message {
            HandoverMessage::Request(buckets) => {
                for bucket in buckets {
                    self.handle_request(now, from, bucket);
                }
            }
            HandoverMessage::Acknowledged(buckets) => {
                for bucket in buckets {
                    self.handle_acknowledgement(from, bucket);
                }
            }
            HandoverMessage::Released(buckets) => {
                for bucket in buckets {
                    self.handle_release(from, bucket);
                }
            }
        }
        self.refresh(now);
        self.flush_messages();
    }

    fn handle_request(&mut self, now: Duration, from: MemberId, bucket: u16) {
        let Some(state) = self.buckets.get_mut(usize::from(bucket)) else { return };
        match state {
            BucketState::Remote => {
                self.releases.entry(from).or_default().push(bucket);
                return;
            }
            BucketState::Owned { contested } => {
                self.counters.contested += 1;
                *contested = now + self.options.contest_window;
            }
            BucketState::Yielding { to, .. } | BucketState::Draining { to, .. } => *to = Some(from),
            // Two hosts acquire the bucket from each other, each after a pause: the one that
            // receives a request first is at half and acknowledges it.
            BucketState::Acquiring(_) => {}
        }
        self.acknowledgements.entry(from).or_default().push(bucket);
    }

    fn handle_acknowledgement(&mut self, from: MemberId, bucket: u16) {
        if let Some(acquiring) = self.acquiring_from(from, bucket) {
            acquiring.acknowledged = true;
        }
    }

    fn handle_release(&mut self, from: MemberId, bucket: u16) {
        if self.acquiring_from(from, bucket).is_some() {
            self.buckets[usize::from(bucket)] = BucketState::OWNED;
        }
    }

    fn acquiring_from(&mut self, from: MemberId, bucket: u16) -> Option<&mut AcquiringState> {
        match self.buckets.get_mut(usize::from(bucket)) {
            Some(BucketState::Acquiring(acquiring)) if acquiring.former == Some(from) => {
                Some(acquiring)
            }
            _ => None,
        }
    }
}
