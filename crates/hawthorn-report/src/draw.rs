//! Drawings of a run as SVG.

use plotters::prelude::ChartBuilder;
use plotters::prelude::IntoDrawingArea;
use plotters::prelude::LineSeries;
use plotters::prelude::PathElement;
use plotters::prelude::RGBColor;
use plotters::prelude::SVGBackend;
use plotters::prelude::SeriesLabelPosition;
use plotters::prelude::WHITE;
use quick_error::quick_error;

/// Width and height of a drawing, in pixels: several fit under each other on a screen.
const SIZE: (u32, u32) = (1100, 260);
/// Room above the highest value.
const HEADROOM: f64 = 1.08;
/// Colours that are told apart on white, also by most who see few.
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
const MARK_COLOUR: RGBColor = RGBColor(200, 200, 200);

quick_error! {
    /// Why a drawing failed.
    #[derive(Debug)]
    pub enum Error {
        /// The drawing library refused.
        Library(text: String) {
            display("drawing: {text}")
        }
    }
}

/// A line of a drawing.
#[derive(Clone, Debug)]
pub(crate) struct DrawnSeries {
    pub(crate) name: String,
    pub(crate) points: Vec<(f64, f64)>,
}

/// A drawing of several lines over the seconds of a run.
#[derive(Clone, Debug)]
pub(crate) struct Drawing<'a> {
    pub(crate) title: &'a str,
    pub(crate) unit: &'a str,
    pub(crate) span: (f64, f64),
    pub(crate) series: Vec<DrawnSeries>,
    /// Seconds at which something happened to the run itself.
    pub(crate) marks: &'a [f64],
}

fn refused(error: impl std::fmt::Display) -> Error {
    Error::Library(error.to_string())
}

/// Draws it as the text of an SVG.
pub(crate) fn draw(drawing: &Drawing<'_>) -> Result<String, Error> {
    let mut svg = String::new();
    let highest = drawing.series.iter().flat_map(|series| &series.points);
    let highest = highest.map(|(_, value)| *value).fold(1.0, f64::max) * HEADROOM;
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(refused)?;
        let (begin, end) = drawing.span;
        let mut chart = ChartBuilder::on(&area)
            .caption(format!("{} ({})", drawing.title, drawing.unit), ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(56)
            .build_cartesian_2d(begin..end.max(begin + 1.0), 0.0..highest)
            .map_err(refused)?;
        chart.configure_mesh().light_line_style(WHITE).x_desc("s").draw().map_err(refused)?;
        for at in drawing.marks {
            let line = LineSeries::new([(*at, 0.0), (*at, highest)], MARK_COLOUR);
            chart.draw_series(line).map_err(refused)?;
        }
        for (series, colour) in drawing.series.iter().zip(COLOURS.iter().cycle()) {
            let line = LineSeries::new(series.points.iter().copied(), *colour);
            chart
                .draw_series(line)
                .map_err(refused)?
                .label(&series.name)
                .legend(|(x, y)| PathElement::new([(x, y), (x + 14, y)], *colour));
        }
        if !drawing.series.is_empty() {
            chart
                .configure_series_labels()
                .position(SeriesLabelPosition::UpperLeft)
                .background_style(WHITE)
                .border_style(MARK_COLOUR)
                .draw()
                .map_err(refused)?;
        }
        area.present().map_err(refused)?;
    }
    Ok(svg)
}
