//! Selects the service of a weighted route that receives a request.

use crate::document::WeightedService;

/// Smooth weighted round-robin: the distribution follows the weights over any short run of
/// requests.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    credits: Vec<f64>,
}

impl WeightedRoundRobin {
    /// Selects the service that is furthest below its share; `None` if all weights are zero.
    ///
    /// The capacity of a service is not considered: requests above it are rejected instead of
    /// moved, because operators use weights to bound the load of each service.
    pub fn select(&mut self, services: &[WeightedService]) -> Option<usize> {
        if self.credits.len() != services.len() {
            self.credits = vec![0.0; services.len()];
        }
        let total: f64 = services.iter().map(|service| service.weight.max(0.0)).sum();
        if total <= 0.0 {
            return None;
        }
        for (credit, service) in self.credits.iter_mut().zip(services) {
            *credit += service.weight.max(0.0) / total;
        }
        let selected =
            (0..services.len()).max_by(|a, b| self.credits[*a].total_cmp(&self.credits[*b]))?;
        self.credits[selected] -= 1.0;
        Some(selected)
    }
}
