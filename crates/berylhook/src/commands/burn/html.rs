//! The report as a self-contained HTML page.

use std::fmt::Write;

use super::{EntryReport, Percentiles, Report, WindowReport, format_length};

const STYLE: &str = "body{font:15px/1.5 system-ui,sans-serif;margin:2rem auto;max-width:54rem;\
color:#1c2733}h1{font-size:1.4rem}h2{font-size:1.1rem;margin-top:2rem}\
table{border-collapse:collapse;width:100%}th,td{text-align:right;padding:.25rem .6rem;\
border-bottom:1px solid #d8dee4}th:first-child,td:first-child{text-align:left}\
.bad{color:#b3261e;font-weight:600}.note{color:#5b6673}svg{margin-top:.6rem}";

/// Width of a plot.
const PLOT_WIDTH: f64 = 560.0;

/// Height of a bar with its gap.
const BAR_HEIGHT: f64 = 22.0;

/// Width of the labels to the left of the bars.
const LABEL_WIDTH: f64 = 130.0;

/// Burn rates above this use up the error budget before its period ends.
const SUSTAINABLE_BURN_RATE: f64 = 1.0;

/// Renders the page.
pub(super) fn render_page(report: &Report) -> String {
    let mut page = format!(
        "<!doctype html><html lang=en><meta charset=utf-8><title>Service-level burn</title>\
         <style>{STYLE}</style><h1>Service-level burn</h1>\
         <p class=note>{} processes answered. A rate of 1 uses up the error budget exactly; \
         above 1 it runs out early.</p>",
        report.answered
    );
    for name in &report.silent {
        append(
            &mut page,
            format_args!(
                "<p class=bad>{} did not answer; its traffic is missing here.</p>",
                escape(name)
            ),
        );
    }
    for entry in &report.entries {
        write_section(&mut page, entry);
    }
    page.push_str("</html>\n");
    page
}

fn write_section(page: &mut String, entry: &EntryReport) {
    append(page, format_args!("<h2>{}</h2>", escape(&entry.name)));
    if let Some(objectives) = &entry.objectives {
        append(
            page,
            format_args!(
                "<p class=note>Objectives: {}% answered whole; first token within {} ms and tokens \
             at most {} ms apart for {}%.</p>",
                objectives.availability_percent,
                objectives.first_token_ms,
                objectives.token_gap_ms,
                objectives.latency_percent,
            ),
        );
    }
    page.push_str(
        "<table><tr><th>Window<th>Requests<th>Failed<th>Availability<th>First token\
         <th>Token gap</tr>",
    );
    for window in &entry.windows {
        write_row(page, window);
    }
    page.push_str("</table>");
    write_plot(page, entry);
}

fn write_row(page: &mut String, window: &WindowReport) {
    append(
        page,
        format_args!(
            "<tr><td>{}<td>{}<td>{}{}{}{}</tr>",
            format_length(window.length_s),
            window.requests,
            window.failed,
            format_cell(window.availability),
            format_cell(window.first_token),
            format_cell(window.token_gap),
        ),
    );
}

fn format_cell(rate: Option<f64>) -> String {
    match rate {
        None => "<td>&ndash;".to_owned(),
        Some(rate) if rate > SUSTAINABLE_BURN_RATE => format!("<td class=bad>{rate:.2}"),
        Some(rate) => format!("<td>{rate:.2}"),
    }
}

/// Draws the percentiles as bars, with a separate scale for each of the two latencies.
fn write_plot(page: &mut String, entry: &EntryReport) {
    let rows = [
        ("first token", &entry.first_token_ms),
        ("token gap", &entry.token_gap_ms),
    ];
    let height = BAR_HEIGHT * 6.0;
    append(
        page,
        format_args!(
            "<svg width={PLOT_WIDTH} height={height} role=img aria-label=\"latency percentiles\" \
         font-size=12 font-family=system-ui>"
        ),
    );
    let mut top = 0.0;
    for (label, times) in rows {
        top = draw_bars(page, label, times, top);
    }
    page.push_str("</svg>");
}

fn draw_bars(page: &mut String, label: &str, times: &Percentiles, mut top: f64) -> f64 {
    let max_value = times.p99.max(f64::MIN_POSITIVE);
    let max_bar_width = PLOT_WIDTH - LABEL_WIDTH - 90.0;
    for (name, value) in [("p50", times.p50), ("p95", times.p95), ("p99", times.p99)] {
        let width = (value / max_value * max_bar_width).max(1.0);
        append(
            page,
            format_args!(
                "<text x=0 y={}>{label} {name}</text>\
             <rect x={LABEL_WIDTH} y={} width={width:.1} height=14 fill=\"#2a6f97\"/>\
             <text x={:.1} y={}>{value:.1} ms</text>",
                top + 13.0,
                top + 2.0,
                LABEL_WIDTH + width + 6.0,
                top + 13.0,
            ),
        );
        top += BAR_HEIGHT;
    }
    top
}

fn append(page: &mut String, arguments: std::fmt::Arguments<'_>) {
    page.write_fmt(arguments)
        .expect("strings can be written to");
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
