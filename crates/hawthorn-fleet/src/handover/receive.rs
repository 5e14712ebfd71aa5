//! Messages between the former and the new owner.

use std::time::Duration;

use super::Handover;
use super::bucket::BucketState;
use super::bucket::TakingState;
use crate::message::HandoverMessage;
use crate::message::MemberId;

impl Handover {
    /// Takes a message of another host of the zone.
    pub fn receive(&mut self, now: Duration, from: MemberId, message: HandoverMessage) {
        match message {
            HandoverMessage::Request(buckets) => {
                for bucket in buckets {
                    self.take_ask(now, from, bucket);
                }
            }
            HandoverMessage::Acknowledged(buckets) => {
                for bucket in buckets {
                    self.take_note(from, bucket);
                }
            }
            HandoverMessage::Released(buckets) => {
                for bucket in buckets {
                    self.take_release(from, bucket);
                }
            }
        }
        self.refresh(now);
        self.flush();
    }

    fn take_ask(&mut self, now: Duration, from: MemberId, bucket: u16) {
        let Some(state) = self.buckets.get_mut(usize::from(bucket)) else { return };
        match state {
            BucketState::Foreign => {
                self.released.entry(from).or_default().push(bucket);
                return;
            }
            BucketState::Owned { contested } => {
                self.counters.contested += 1;
                *contested = now + self.options.contest_window;
            }
            BucketState::Yielding { to, .. } | BucketState::Draining { to, .. } => *to = Some(from),
            // Two hosts take over from each other, each after standing still:
            // the one that was asked first is at half and says so.
            BucketState::Taking(_) => {}
        }
        self.noted.entry(from).or_default().push(bucket);
    }

    fn take_note(&mut self, from: MemberId, bucket: u16) {
        if let Some(taking) = self.taking_from(from, bucket) {
            taking.noted = true;
        }
    }

    fn take_release(&mut self, from: MemberId, bucket: u16) {
        if self.taking_from(from, bucket).is_some() {
            self.buckets[usize::from(bucket)] = BucketState::OWNED;
        }
    }

    fn taking_from(&mut self, from: MemberId, bucket: u16) -> Option<&mut TakingState> {
        match self.buckets.get_mut(usize::from(bucket)) {
            Some(BucketState::Taking(taking)) if taking.former == Some(from) => Some(taking),
            _ => None,
        }
    }
}
