//! Metric instruments of a process, exported in the Prometheus text format.
//!
//! The instruments themselves are defined by the users of the meter; this crate only
//! exports them.
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
    /// Failure to set up metrics.
    #[derive(Debug)]
    pub enum Error {
        /// The exporter could not be built on the registry.
        Exporter(text: String) {
            display("metrics exporter: {text}")
        }
    }
}

/// Exports all instruments of a process.
#[derive(Clone, Debug)]
pub struct MetricExporter {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl MetricExporter {
    /// Creates an exporter without instruments.
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

    /// Returns the meter whose instruments are exported.
    pub fn meter(&self) -> Meter {
        self.provider.meter("hawthornroute")
    }

    /// Renders all instruments in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut text = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            Ok(()) => String::from_utf8_lossy(&text).into_owned(),
            Err(error) => format!("# metrics could not be encoded: {error}\n"),
        }
    }
}
