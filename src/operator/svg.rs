//! Draws a time line as a self-contained SVG: one row for each process, time to the right, a label at each moment.

use std::{collections::BTreeMap, fmt::Write};

use crate::observe::Moment;

/// Width of the time axis in pixels.
const AXIS: f64 = 1400.0;

/// Space for the names of processes.
const LEFT: f64 = 190.0;

/// Space for the last labels.
const RIGHT: f64 = 260.0;

/// Height of the title and the axis labels.
const TOP: f64 = 64.0;

/// Height of a lane of labels.
const LANE: f64 = 15.0;

/// Width of a character of a label; the font is monospaced with 10 px.
const GLYPH: f64 = 6.1;

/// Longest label in characters; the whole text is in the tooltip.
const LABEL_MAX: usize = 38;

/// Lanes of a row; labels that fit in none are left to the tooltip.
const LANES_MAX: usize = 12;

/// Moments drawn; more cannot be told apart on one page.
const DRAWN_MAX: usize = 2000;

/// Colours that are told apart by people with colour-vision deficiency (Okabe and Ito).
const COLOURS: [&str; 7] = [
    "#0072b2", "#d55e00", "#009e73", "#cc79a7", "#56b4e9", "#e69f00", "#000000",
];

fn escape(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for c in text.chars() {
        match c {
            '&' => out.push_str("&amp;"),
            '<' => out.push_str("&lt;"),
            '>' => out.push_str("&gt;"),
            '"' => out.push_str("&quot;"),
            // Control characters are not allowed in XML.
            c if c.is_control() => out.push(' '),
            c => out.push(c),
        }
    }
    out
}

fn label(m: &Moment) -> String {
    // The event's number is for catalogues; a drawing shows the name.
    let name = m.event.split_once(' ').map_or(m.event.as_str(), |(_, n)| n);
    let text = if m.text.is_empty() {
        name.to_owned()
    } else {
        format!("{name}: {}", m.text)
    };
    if text.chars().count() <= LABEL_MAX {
        return text;
    }
    text.chars().take(LABEL_MAX - 1).chain(['…']).collect()
}

/// Returns a step of 1, 2 or 5 times a power of ten that divides `span` into at most ten parts.
fn step(span: u64) -> u64 {
    let mut unit = 1;
    loop {
        for factor in [1, 2, 5] {
            if span / (unit * factor) <= 10 {
                return unit * factor;
            }
        }
        unit = unit.saturating_mul(10);
    }
}

/// A moment with its place in a row.
struct Mark<'a> {
    moment: &'a Moment,
    x: f64,
    lane: Option<usize>,
}

/// Puts each label into the first lane in which it does not cover another one.
fn arrange<'a>(moments: &[&'a Moment], x_of: impl Fn(u64) -> f64) -> (Vec<Mark<'a>>, usize) {
    let mut ends: Vec<f64> = Vec::new();
    let mut marks = Vec::with_capacity(moments.len());
    for moment in moments {
        let x = x_of(moment.time_ms);
        let width = label(moment).chars().count() as f64 * GLYPH + 12.0;
        let free = ends.iter().position(|end| *end <= x);
        let lane = match free {
            Some(lane) => Some(lane),
            None if ends.len() < LANES_MAX => {
                ends.push(0.0);
                Some(ends.len() - 1)
            }
            None => None,
        };
        if let Some(lane) = lane {
            ends[lane] = x + width;
        }
        marks.push(Mark { moment, x, lane });
    }
    (marks, ends.len())
}

/// Draws moments that are in order of time.
pub fn render(moments: &[Moment]) -> String {
    let shown = &moments[moments.len().saturating_sub(DRAWN_MAX)..];
    let start = shown.iter().map(|m| m.time_ms).min().unwrap_or(0);
    let end = shown.iter().map(|m| m.time_ms).max().unwrap_or(0);
    let span = (end - start).max(1);
    let x_of = |ms: u64| LEFT + ms.saturating_sub(start) as f64 / span as f64 * AXIS;
    let mut rows: BTreeMap<&str, Vec<&Moment>> = BTreeMap::new();
    for m in shown {
        rows.entry(m.process.as_str()).or_default().push(m);
    }
    let mut body = String::new();
    let mut y = TOP;
    for (i, (process, row)) in rows.iter().enumerate() {
        let (marks, lanes) = arrange(row, x_of);
        let height = lanes.max(1) as f64 * LANE + 16.0;
        draw_row(
            &mut body,
            process,
            &marks,
            y,
            height,
            COLOURS[i % COLOURS.len()],
        );
        y += height;
    }
    frame(&body, moments.len(), shown.len(), start, span, y)
}

fn draw_row(
    out: &mut String,
    process: &str,
    marks: &[Mark<'_>],
    y: f64,
    height: f64,
    colour: &str,
) {
    let line = y + height - 8.0;
    // Writing to a `String` does not fail.
    let _ = writeln!(
        out,
        "<text x=\"8\" y=\"{:.1}\" class=\"name\" fill=\"{colour}\">{}</text>\
         <line x1=\"{LEFT}\" y1=\"{line:.1}\" x2=\"{:.1}\" y2=\"{line:.1}\" stroke=\"#bbb\"/>",
        line + 4.0,
        escape(process),
        LEFT + AXIS + RIGHT,
    );
    for m in marks {
        let moment = m.moment;
        let scope = match (&moment.scope.request, &moment.scope.version) {
            (Some(r), _) => format!("\n{r}"),
            (None, Some(v)) => format!("\n{v}"),
            (None, None) => String::new(),
        };
        let title = escape(&format!(
            "{} {} {}",
            moment.time_ms, moment.event, moment.text
        ));
        let _ = write!(
            out,
            "<g><title>{title}{}</title><circle cx=\"{:.1}\" cy=\"{line:.1}\" r=\"3.5\" fill=\"{colour}\"/>",
            escape(&scope),
            m.x
        );
        if let Some(lane) = m.lane {
            let at = line - 6.0 - lane as f64 * LANE;
            let _ = write!(
                out,
                "<line x1=\"{0:.1}\" y1=\"{line:.1}\" x2=\"{0:.1}\" y2=\"{1:.1}\" stroke=\"{colour}\" stroke-width=\"0.6\"/>\
                 <text x=\"{2:.1}\" y=\"{at:.1}\">{3}</text>",
                m.x,
                at - 8.0,
                m.x + 3.0,
                escape(&label(moment)),
            );
        }
        out.push_str("</g>\n");
    }
}

/// Adds the title, the axis and the grid around the rows.
fn frame(body: &str, all: usize, shown: usize, start: u64, span: u64, bottom: f64) -> String {
    let width = LEFT + AXIS + RIGHT;
    let height = bottom + 16.0;
    let mut out = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height:.0}\" \
         viewBox=\"0 0 {width} {height:.0}\">\n<style>text{{font:10px monospace;fill:#222}}\
         .name{{font-weight:bold;font-size:12px}}.head{{font-size:13px}}</style>\n\
         <rect width=\"100%\" height=\"100%\" fill=\"#fff\"/>\n"
    );
    let left_out = if shown < all {
        format!(", the last {shown} of {all} drawn")
    } else {
        String::new()
    };
    let _ = writeln!(
        out,
        "<text x=\"8\" y=\"20\" class=\"head\">{all} moments{left_out}; {span} ms from {start} Unix ms; \
         each host's own clock</text>"
    );
    for i in 0..=span / step(span) {
        let at = i * step(span);
        let x = LEFT + at as f64 / span as f64 * AXIS;
        let _ = writeln!(
            out,
            "<line x1=\"{x:.1}\" y1=\"48\" x2=\"{x:.1}\" y2=\"{bottom:.1}\" stroke=\"#e4e4e4\"/>\
             <text x=\"{x:.1}\" y=\"42\">+{at} ms</text>"
        );
    }
    out + body + "</svg>\n"
}
