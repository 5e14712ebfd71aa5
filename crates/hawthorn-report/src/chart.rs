//! Line charts as SVG.

use plotters::prelude::ChartBuilder;
use plotters::prelude::IntoDrawingArea;
use plotters::prelude::LineSeries;
use plotters::prelude::PathElement;
use plotters::prelude::RGBColor;
use plotters::prelude::SVGBackend;
use plotters::prelude::SeriesLabelPosition;
use plotters::prelude::WHITE;
use quick_error::quick_error;

/// Width and height of a chart in pixels, so that several fit on a screen below each other.
const CHART_SIZE: (u32, u32) = (1100, 260);
/// Upper end of the value axis, as a multiple of the highest value.
const HEADROOM: f64 = 1.08;
/// Colours that are distinguishable on white, also with most forms of colour blindness.
const COLOURS: [RGBColor; 8] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(230, 159, 0),
    RGBColor(86, 180, 233),
    RGBColor(120, 94, 240),
    RGBColor(90, 90, 90),
];
const ANNOTATION_COLOUR: RGBColor = RGBColor(200, 200, 200);

quick_error! {
    /// Why a chart could not be rendered.
    #[derive(Debug)]
    pub enum Error {
        /// The charting library failed.
        Library(text: String) {
            display("cannot render chart: {text}")
        }
    }
}

/// One line of a chart.
#[derive(Clone, Debug)]
pub(crate) struct ChartSeries {
    pub(crate) name: String,
    pub(crate) points: Vec<(f64, f64)>,
}

/// Several lines over the seconds of a run.
#[derive(Clone, Debug)]
pub(crate) struct LineChart<'a> {
    pub(crate) title: &'a str,
    pub(crate) unit: &'a str,
    pub(crate) span: (f64, f64),
    pub(crate) series: Vec<ChartSeries>,
    /// Seconds of the run's annotations, drawn as vertical lines.
    pub(crate) annotations: &'a [f64],
}

fn library_error(error: impl std::fmt::Display) -> Error {
    Error::Library(error.to_string())
}

/// Renders a chart as SVG text.
pub(crate) fn render(chart: &LineChart<'_>) -> Result<String, Error> {
    let mut svg = String::new();
    let highest = chart.series.iter().flat_map(|series| &series.points);
    let highest = highest.map(|(_, value)| *value).fold(1.0, f64::max) * HEADROOM;
    {
        let area = SVGBackend::with_string(&mut svg, CHART_SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(library_error)?;
        let (begin, end) = chart.span;
        let mut context = ChartBuilder::on(&area)
            .caption(format!("{} ({})", chart.title, chart.unit), ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(56)
            .build_cartesian_2d(begin..end.max(begin + 1.0), 0.0..highest)
            .map_err(library_error)?;
        context
            .configure_mesh()
            .light_line_style(WHITE)
            .x_desc("s")
            .draw()
            .map_err(library_error)?;
        for at in chart.annotations {
            let line = LineSeries::new([(*at, 0.0), (*at, highest)], ANNOTATION_COLOUR);
            context.draw_series(line).map_err(library_error)?;
        }
        for (series, colour) in chart.series.iter().zip(COLOURS.iter().cycle()) {
            let line = LineSeries::new(series.points.iter().copied(), *colour);
            context
                .draw_series(line)
                .map_err(library_error)?
                .label(&series.name)
                .legend(|(x, y)| PathElement::new([(x, y), (x + 14, y)], *colour));
        }
        if !chart.series.is_empty() {
            context
                .configure_series_labels()
                .position(SeriesLabelPosition::UpperLeft)
                .background_style(WHITE)
                .border_style(ANNOTATION_COLOUR)
                .draw()
                .map_err(library_error)?;
        }
        area.present().map_err(library_error)?;
    }
    Ok(svg)
}
