//! A picture of replicas over time.

use std::fmt::Write as _;

use super::{figures::Sample, observe::Plan};

/// Size of the plot, and its margins.
const WIDTH: f64 = 720.0;
const HEIGHT: f64 = 300.0;
const LEFT: f64 = 50.0;
const TOP: f64 = 40.0;

/// Number that a curve shows, and its colour.
type Curve = (fn(&Sample) -> usize, &'static str);

const CURVES: [Curve; 2] = [(|s| s.copies, "#8bd"), (|s| s.serving, "#136")];

/// Draws copies and replicas in service beside the bound and the baselines.
pub(super) fn draw(plan: &Plan, samples: &[Sample]) -> String {
    let last = samples.last().map_or(1, |s| s.ms) as f64;
    let bound = plan.bound as f64;
    let times: Vec<_> = plan
        .baselines
        .iter()
        .map(|(n, r)| (n.as_str(), r * bound))
        .collect();
    // A baseline far outside would leave no room for the curve; it is named at the edge.
    let span = times
        .iter()
        .map(|t| t.1)
        .filter(|t| *t < 4.0 * bound)
        .fold(last.max(bound), f64::max)
        * 1.05;
    let x = |ms: f64| LEFT + ms / span * WIDTH;
    let y = |n: usize| TOP + HEIGHT * (1.0 - n as f64 / plan.hosts.len().max(1) as f64);
    let (right, bottom) = (LEFT + WIDTH, TOP + HEIGHT);
    let mut out = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{0}\" height=\"{1}\" viewBox=\"0 0 {0} {1}\" \
         font-family=\"sans-serif\" font-size=\"11\">\n<rect width=\"100%\" height=\"100%\" fill=\"#fff\"/>\n\
         <text x=\"{LEFT}\" y=\"16\">replicas of {2} over seconds; light: every chunk held, dark: in service</text>\n",
        right + 120.0,
        bottom + 30.0,
        plan.version,
    );
    for part in 0..=4 {
        let n = plan.hosts.len() * part / 4;
        let _ = writeln!(
            out,
            "<line x1=\"{LEFT}\" y1=\"{0:.1}\" x2=\"{right}\" y2=\"{0:.1}\" stroke=\"#ddd\"/>\
             <text x=\"10\" y=\"{0:.1}\">{n}</text>",
            y(n)
        );
    }
    let step = ((span / 10_000.0).ceil() as usize).max(1);
    for s in (0..=(span / 1000.0) as usize).step_by(step) {
        let _ = writeln!(
            out,
            "<text x=\"{:.1}\" y=\"{}\">{s}</text>",
            x(s as f64 * 1000.0),
            bottom + 16.0
        );
    }
    for (count, colour) in CURVES {
        let points: String = samples
            .iter()
            .map(|s| format!("{:.1},{:.1} ", x(s.ms as f64), y(count(s))))
            .collect();
        let _ = writeln!(
            out,
            "<polyline points=\"{points}\" fill=\"none\" stroke=\"{colour}\" stroke-width=\"2\"/>"
        );
    }
    let lines = [("bound", bound)].into_iter().chain(times);
    for (i, (name, ms)) in lines.enumerate() {
        let colour = ["#282", "#c33", "#a60"][i % 3];
        let label = TOP + 14.0 * (i + 1) as f64;
        let at = x(ms.min(span));
        if ms <= span {
            let _ = writeln!(out, "<line x1=\"{at:.1}\" y1=\"{TOP}\" x2=\"{at:.1}\" y2=\"{bottom}\" stroke=\"{colour}\" stroke-dasharray=\"5 3\"/>");
        }
        let _ = writeln!(
            out,
            "<text x=\"{:.1}\" y=\"{label}\" fill=\"{colour}\">{name} {:.1} s</text>",
            at + 4.0,
            ms / 1000.0
        );
    }
    out + "</svg>\n"
}
