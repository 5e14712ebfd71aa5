//! Which part of a weighted route a request goes to.

use crate::document::WeightedService;

/// Deals requests out by weight, evenly over any short run of requests.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    credits: Vec<f64>,
}

impl WeightedRoundRobin {
    /// The part whose share is furthest behind.
    ///
    /// A part that has no room keeps its share: its requests are refused, not
    /// moved, as operators weigh parts to bound what each is sent.
    pub fn select(&mut self, parts: &[WeightedService]) -> Option<usize> {
        if self.credits.len() != parts.len() {
            self.credits = vec![0.0; parts.len()];
        }
        let total: f64 = parts.iter().map(|part| part.weight.max(0.0)).sum();
        if total <= 0.0 {
            return None;
        }
        for (credit, part) in self.credits.iter_mut().zip(parts) {
            *credit += part.weight.max(0.0) / total;
        }
        let chosen =
            (0..parts.len()).max_by(|a, b| self.credits[*a].total_cmp(&self.credits[*b]))?;
        self.credits[chosen] -= 1.0;
        Some(chosen)
    }
}
