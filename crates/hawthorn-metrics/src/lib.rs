//! Instruments of a process and their text at its metrics address.
//!
//! What is counted is the matter of whoever makes instruments of the meter; here
//! is only how they come to be shown.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

use opentelemetry::metrics::Meter;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;
use quick_error::quick_error;

quick_error! {
    /// Why metrics could not be set up.
    #[derive(Debug)]
    pub enum Error {
        /// The exporter refused its registry.
        Exporter(text: String) {
            display("metrics exporter: {text}")
        }
    }
}

/// All instruments of a process, as they are shown.
#[derive(Clone, Debug)]
pub struct MetricExporter {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl MetricExporter {
    /// An exporter without instruments yet.
    ///
    /// # Errors
    /// When the exporter cannot be built.
    pub fn new() -> Result<Self, Error> {
        let registry = Registry::new();
        let reader = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|error| Error::Exporter(error.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(reader).build();
        Ok(Self { registry, provider })
    }

    /// Makes instruments that this exporter shows.
    pub fn meter(&self) -> Meter {
        self.provider.meter("hawthornroute")
    }

    /// All of them in Prometheus' text format.
    pub fn text(&self) -> String {
        let mut text = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            Ok(()) => String::from_utf8_lossy(&text).into_owned(),
            Err(error) => format!("# metrics could not be encoded: {error}\n"),
        }
    }
}
