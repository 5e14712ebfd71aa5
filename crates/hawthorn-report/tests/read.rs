//! Parsing of log lines and saved metrics.

use hawthorn_report::line;
use hawthorn_report::scrape;
use hawthorn_report::timeline;
use hawthorn_report::timeline::RunTimeline;

/// Lines come directly from a host, from a log collector, from a collector that prefixes only
/// the first of several lines, or are not lines of events.
#[test]
fn parses_lines_with_and_without_a_collector() {
    struct Case {
        name: &'static str,
        text: &'static str,
        /// Time, host and event number of each parsed line.
        parsed: &'static [(f64, &'static str, u16)],
    }
    let cases = [
        Case {
            name: "directly from a host, without a start",
            text: "63486.5 INFO E630 request-ended: request=a1 outcome=answered\n",
            parsed: &[(63486.5, "file", 630)],
        },
        Case {
            name: "directly from a host, with two starts and their wall-clock times",
            text: "10.5 INFO E600 host-started: host=a zone=z unix_ms=1000500\n\
                   12.5 INFO E601 host-ready: version=1\n\
                   3.0 INFO E600 host-started: host=a zone=z unix_ms=1009000\n\
                   3.5 INFO E601 host-ready: version=1\n",
            parsed: &[
                (1000.5, "file", 600),
                (1002.5, "file", 601),
                (1009.0, "file", 600),
                (1009.5, "file", 601),
            ],
        },
        Case {
            name: "from a collector, several lines at once",
            text: "  -9.5 front-1 80.1 INFO E600 host-started: host=a zone=z unix_ms=5\n\
                   80.2 INFO E601 host-ready: version=1\n\
                   1.5 front-2 70.1 WARN E612 store-lost: error=\"no answer: reset\"\n",
            parsed: &[(-9.5, "front-1", 600), (-9.5, "front-1", 601), (1.5, "front-2", 612)],
        },
        Case {
            name: "not lines of events",
            text: "\nERROR Everything E630 is: x=1\nbuilt in 3 s\n4.2 INFO E6x0 odd: a=1\n\
                   4.2 INFO E\n4.2 INFO E630\n4.2 INFO E630 request-ended\n",
            parsed: &[],
        },
    ];
    for case in cases {
        let parsed: Vec<_> =
            line::lines(case.text, "file").map(|line| (line.at, line.host, line.number)).collect();
        assert_eq!(parsed, case.parsed, "{}", case.name);
    }
}

#[test]
fn quoted_values_may_contain_spaces() {
    let text = "1.0 ERROR E605 duty-failed: duty=accept error=\"no room: (os error 24)\" n=2";
    let line = line::read(text, "a").expect("the line of an event");
    assert_eq!(line.value("duty"), Some("accept"));
    assert_eq!(line.value("error"), Some("no room: (os error 24)"));
    assert_eq!(line.numeric("n"), Some(2.0));
    assert_eq!(line.value("none"), None);
}

/// Requests without anything unusual are sampled, all others are logged. Counts and latencies
/// use the sampling weight, so that they describe all requests.
#[test]
fn a_timeline_weights_sampled_requests() {
    let text = "\
        1.2 a 1 INFO E630 request-ended: request=1 route=r outcome=answered ms=10.0 weight=64\n\
        1.4 a 1 INFO E630 request-ended: request=2 route=r outcome=partial ms=90.0 weight=1\n\
        1.4 a 1 INFO E631 attempt-ended: request=2 service=s target=t zone=z end=broken\n\
        1.5 b 1 INFO E631 attempt-ended: request=2 service=s target=t zone=z end=answered\n\
        1.6 b 1 INFO E636 parts-missing: request=2 shards=s1:late,s2:skipped\n\
        1.7 b 1 INFO E636 parts-missing: request=3 shards=s1:late\n\
        2.1 b 1 INFO E610 routes-in-force: version=3 routes=1\n\
        2.2 a 1 INFO E610 routes-in-force: version=4 routes=1\n\
        2.3 b 1 WARN E622 zone-reach: zone=west reachable=false\n";
    let mut run = RunTimeline::default();
    line::lines(text, "file").for_each(|line| run.add(&line));
    assert_eq!(run.outcomes[&1]["answered"], 64.0);
    assert_eq!(run.outcomes[&1]["partial"], 1.0);
    assert_eq!(timeline::quantile(&run.latencies["r"][&1], 0.5), Some(10.0));
    assert_eq!(timeline::quantile(&run.latencies["r"][&1], 0.99), Some(90.0));
    assert_eq!(run.failed_attempts[&1]["broken"], 1.0);
    assert_eq!(run.missing[&("s1".to_owned(), "late".to_owned())], 2);
    assert_eq!(run.versions[&2], (3, 4));
    assert_eq!(run.span(), Some((1, 2)));
    assert_eq!(run.annotations.len(), 1);
    let worst = run.worst_targets(5);
    assert_eq!((worst[0].0, worst[0].1.failures(), worst[0].1.hosts.len()), ("t", 1, 1));
}

/// A host restarts between two scrapes and its counters reset. The rate is computed from zero
/// and is never negative.
#[test]
fn rates_handle_counter_resets() {
    let text = "# scraped 10\n# HELP x\nreq_total{o=\"a\"} 100\nother 7\n\
                # scraped 20\nreq_total{o=\"a\"} 150\nother 9\n\
                # scraped 30\nreq_total{o=\"a\"} 20\nother 1\n";
    let scrapes = scrape::read(text);
    assert_eq!(scrapes.len(), 3);
    let rates = scrape::rates(&scrapes, "req_total");
    let series = &rates["req_total{o=\"a\"}"];
    assert_eq!(
        series.iter().map(|rate| (rate.at, rate.rate)).collect::<Vec<_>>(),
        [(15.0, 5.0), (25.0, 2.0)]
    );
    assert_eq!(rates.len(), 1);
}
