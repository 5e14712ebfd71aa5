//! Command-line parser.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use bpaf::positional;
use hawthorn_platform::process::SETTINGS_VARIABLE;
use log::LevelFilter;

/// A subcommand with its options.
#[derive(Clone, Debug)]
pub(crate) enum CliCommand {
    Serve(ServeOptions),
    Route(RouteOptions),
    ExplainLog(ExplainLogOptions),
    Report(ReportOptions),
    Check(CheckOptions),
    Query(QueryOptions),
    Request(RequestOptions),
    Status(StatusOptions),
    Explain(ExplainOptions),
    Apply(ApplyOptions),
    Diff(DiffOptions),
    History(HistoryOptions),
    Import(ImportOptions),
    #[cfg(feature = "demo")]
    Demo,
}

/// Options of `serve`.
#[derive(Clone, Debug)]
pub(crate) struct ServeOptions {
    pub(crate) settings: PathBuf,
    pub(crate) log: LevelFilter,
}

/// Options of `route`.
#[derive(Clone, Debug)]
pub(crate) struct RouteOptions {
    pub(crate) settings: PathBuf,
    pub(crate) log: LevelFilter,
}

/// Options of `explain-log`.
#[derive(Clone, Debug)]
pub(crate) struct ExplainLogOptions {
    pub(crate) request: String,
    pub(crate) files: Vec<PathBuf>,
}

/// Options of `report`.
#[derive(Clone, Debug)]
#[cfg_attr(
    not(feature = "report"),
    expect(dead_code, reason = "only the `report` feature reads all fields")
)]
pub(crate) struct ReportOptions {
    pub(crate) title: String,
    pub(crate) out: PathBuf,
    pub(crate) metrics: Vec<PathBuf>,
    pub(crate) files: Vec<PathBuf>,
}

/// Options of `check`.
#[derive(Clone, Debug)]
pub(crate) struct CheckOptions {
    pub(crate) json: bool,
    pub(crate) path: PathBuf,
}

/// Options of `query`.
#[derive(Clone, Debug)]
pub(crate) struct QueryOptions {
    pub(crate) at: SocketAddr,
    pub(crate) caller: String,
    pub(crate) service: String,
    pub(crate) text: String,
    pub(crate) range: Option<String>,
    pub(crate) limit: u32,
    pub(crate) deadline_ms: u64,
    pub(crate) normal: bool,
    pub(crate) id: Option<String>,
    pub(crate) json: bool,
}

/// Options of `request`.
#[derive(Clone, Debug)]
pub(crate) struct RequestOptions {
    pub(crate) at: SocketAddr,
    pub(crate) caller: String,
    pub(crate) service: String,
    pub(crate) key: u32,
    pub(crate) body: String,
    pub(crate) id: String,
    pub(crate) deadline_ms: u64,
    pub(crate) json: bool,
}

/// Options of `status`.
#[derive(Clone, Debug)]
pub(crate) struct StatusOptions {
    pub(crate) at: SocketAddr,
    pub(crate) json: bool,
}

/// Options of `explain`.
#[derive(Clone, Debug)]
pub(crate) struct ExplainOptions {
    pub(crate) at: SocketAddr,
    pub(crate) target: String,
}

/// Options of `apply`.
#[derive(Clone, Debug)]
pub(crate) struct ApplyOptions {
    pub(crate) platform: SocketAddr,
    pub(crate) author: String,
    pub(crate) base: u64,
    pub(crate) edit_id: Option<String>,
    pub(crate) directory: PathBuf,
}

/// Options of `diff`.
#[derive(Clone, Debug)]
pub(crate) struct DiffOptions {
    pub(crate) platform: SocketAddr,
    pub(crate) revision: Option<u64>,
    pub(crate) json: bool,
    pub(crate) directory: PathBuf,
}

/// Options of `history`.
#[derive(Clone, Debug)]
pub(crate) struct HistoryOptions {
    pub(crate) platform: SocketAddr,
    pub(crate) write: Option<PathBuf>,
    pub(crate) revision: Option<u64>,
}

/// Options of `import`.
#[derive(Clone, Debug)]
pub(crate) struct ImportOptions {
    pub(crate) base: PathBuf,
    pub(crate) register: PathBuf,
}

fn at() -> impl Parser<SocketAddr> {
    long("at").help("A host's caller_address, IP:PORT").argument::<SocketAddr>("ADDRESS")
}

fn platform() -> impl Parser<SocketAddr> {
    long("platform")
        .help("Address of the platform's store, IP:PORT")
        .argument::<SocketAddr>("ADDRESS")
}

fn caller() -> impl Parser<String> {
    long("caller").help("The caller's name in the rules").argument::<String>("NAME")
}

fn service() -> impl Parser<String> {
    long("service").help("The service's name in the inventory").argument::<String>("NAME")
}

fn deadline() -> impl Parser<u64> {
    long("deadline-ms")
        .help("Deadline, in milliseconds from now")
        .argument::<u64>("N")
        .fallback(2_000)
        .display_fallback()
}

fn json() -> impl Parser<bool> {
    long("json").help("Print JSON").switch()
}

fn directory() -> impl Parser<PathBuf> {
    positional::<PathBuf>("DIRECTORY").help("Directory with inventory.toml and rules.toml")
}

fn log_level() -> impl Parser<LevelFilter> {
    long("log")
        .help("Log level: error, warn, info, debug or trace")
        .argument::<LevelFilter>("LEVEL")
        .fallback(LevelFilter::Info)
        .display_fallback()
}

fn serve() -> impl Parser<CliCommand> {
    let settings = long("settings").short('s').help("Settings file, TOML").argument("FILE");
    let log = log_level();
    construct!(ServeOptions { settings, log })
        .map(CliCommand::Serve)
        .to_options()
        .descr("Run a daemon of the tier until SIGTERM or SIGINT")
        .footer("Example: hawthornroute serve --settings /etc/hawthornroute/daemon.toml")
        .command("serve")
}

fn route() -> impl Parser<CliCommand> {
    let settings = long("settings")
        .short('s')
        .env(SETTINGS_VARIABLE)
        .help("Settings file, TOML")
        .argument("FILE");
    let log = log_level();
    construct!(RouteOptions { settings, log })
        .map(CliCommand::Route)
        .to_options()
        .descr("Run a host that routes requests by host and path until SIGTERM or SIGINT")
        .footer("Example: hawthornroute route --settings /etc/hawthornroute/route.toml")
        .command("route")
}

fn explain_log() -> impl Parser<CliCommand> {
    let request = long("request").help("The attempt id of the request").argument::<String>("ID");
    let files = positional::<PathBuf>("FILE").help("Hosts' logs, one file per host").some("a file");
    construct!(ExplainLogOptions { request, files })
        .map(CliCommand::ExplainLog)
        .to_options()
        .descr("Explain one routed request from hosts' logs")
        .footer("Example: hawthornroute explain-log --request 9c41d07be2a35f68 front-*.log")
        .command("explain-log")
}

fn report() -> impl Parser<CliCommand> {
    let title = long("title")
        .help("Title of the page")
        .argument::<String>("TEXT")
        .fallback("hawthornroute".to_owned());
    let out = long("out").help("HTML file to write").argument::<PathBuf>("FILE");
    let metrics = long("metrics")
        .help("A host's saved metrics: scrapes, each after a line '# scraped SECONDS'")
        .argument::<PathBuf>("FILE")
        .many();
    let files = positional::<PathBuf>("FILE").help("Hosts' logs, one file per host").some("a file");
    construct!(ReportOptions { title, out, metrics, files })
        .map(CliCommand::Report)
        .to_options()
        .descr("Render a run of routed requests from hosts' logs and saved metrics as an HTML page")
        .footer("Example: hawthornroute report --out run.html front-*.log")
        .command("report")
}

fn check() -> impl Parser<CliCommand> {
    let json = json();
    let path = positional::<PathBuf>("PATH")
        .help("Directory with inventory.toml and rules.toml, or the settings file of `route`");
    construct!(CheckOptions { json, path })
        .map(CliCommand::Check)
        .to_options()
        .descr(
            "Report all errors in inventory.toml, rules.toml and, if present, daemon.toml; \
             or the first error in the settings of `route`",
        )
        .footer("Example: hawthornroute check examples/dar-port")
        .command("check")
}

fn query() -> impl Parser<CliCommand> {
    let at = at();
    let caller = caller();
    let service = service();
    let text = long("text")
        .help("Words that a matching document contains")
        .argument::<String>("WORDS")
        .fallback(String::new());
    let range = long("range")
        .help("Key range to search, START..END")
        .argument::<String>("RANGE")
        .optional();
    let limit = long("limit")
        .help("Maximum number of matches")
        .argument::<u32>("N")
        .fallback(20)
        .display_fallback();
    let deadline_ms = deadline();
    let normal =
        long("normal").help("Use normal urgency; urgent queries may be served first").switch();
    let id =
        long("id").help("Request id, echoed in the answer").argument::<String>("ID").optional();
    let json = json();
    construct!(QueryOptions {
        at,
        caller,
        service,
        text,
        range,
        limit,
        deadline_ms,
        normal,
        id,
        json
    })
    .map(CliCommand::Query)
    .to_options()
    .descr("Search all shards of a service")
    .footer(
        "Example: hawthornroute query --at 10.1.0.1:8400 --caller bunker-desk \
         --service agent-desk --text 'stem ready'",
    )
    .command("query")
}

fn request() -> impl Parser<CliCommand> {
    let at = at();
    let caller = caller();
    let service = service();
    let key = long("key").help("Key that selects the shard").argument::<u32>("N");
    let body = long("body").help("Body of the request").argument::<String>("TEXT");
    let id = long("id")
        .help("Request id, SECONDS-REST; a retry of the request has the same id")
        .argument::<String>("ID");
    let deadline_ms = deadline();
    let json = json();
    construct!(RequestOptions { at, caller, service, key, body, id, deadline_ms, json })
        .map(CliCommand::Request)
        .to_options()
        .descr("Run a non-idempotent request at most once")
        .footer(
            "Example: hawthornroute request --at 10.1.0.1:8400 --caller bunker-desk \
             --service agent-desk --key 4711 --body 'confirm order 88' --id $(date +%s)-88",
        )
        .command("request")
}

fn status() -> impl Parser<CliCommand> {
    let at = at();
    let json = json();
    construct!(StatusOptions { at, json })
        .map(CliCommand::Status)
        .to_options()
        .descr("Show the fleet, the configuration in force and drift, from one host's view")
        .footer("Example: hawthornroute status --at 10.1.0.1:8400")
        .command("status")
}

fn explain() -> impl Parser<CliCommand> {
    let at = at();
    let target = positional::<String>("TARGET").help("A target's name or asset number");
    construct!(ExplainOptions { at, target })
        .map(CliCommand::Explain)
        .to_options()
        .descr("Explain the wanted state of a target")
        .footer("Example: hawthornroute explain --at 10.1.0.1:8400 agent-desk-07-a")
        .command("explain")
}

fn apply() -> impl Parser<CliCommand> {
    let platform = platform();
    let author = long("author").help("Author of the edit").argument::<String>("NAME");
    let base = long("base")
        .help("Revision that the edit is based on, as shown by diff; 0 for the first edit")
        .argument::<u64>("REVISION");
    let edit_id = long("edit-id")
        .help("Retry an edit with an unknown outcome, by the id that it printed")
        .argument::<String>("ID")
        .optional();
    let directory = directory();
    construct!(ApplyOptions { platform, author, base, edit_id, directory })
        .map(CliCommand::Apply)
        .to_options()
        .descr("Check a configuration and put it into force")
        .footer(
            "Example: hawthornroute apply --platform 10.1.0.9:2379 --author asha --base 41 dar-port",
        )
        .command("apply")
}

fn diff() -> impl Parser<CliCommand> {
    let platform = platform();
    let revision = long("revision")
        .help("Compare with an earlier revision instead of the one in force")
        .argument::<u64>("REVISION")
        .optional();
    let json = json();
    let directory = directory();
    construct!(DiffOptions { platform, revision, json, directory })
        .map(CliCommand::Diff)
        .to_options()
        .descr("Show what a configuration would change")
        .footer("Example: hawthornroute diff --platform 10.1.0.9:2379 dar-port")
        .command("diff")
}

fn history() -> impl Parser<CliCommand> {
    let platform = platform();
    let write = long("write")
        .help("Write the revision's inventory.toml and rules.toml into this directory")
        .argument::<PathBuf>("DIRECTORY")
        .optional();
    let revision =
        long("revision").help("Show this revision only").argument::<u64>("REVISION").optional();
    construct!(HistoryOptions { platform, write, revision })
        .map(CliCommand::History)
        .to_options()
        .descr("List the earlier configurations that the store still has")
        .footer("Example: hawthornroute history --platform 10.1.0.9:2379 --revision 41 --write old")
        .command("history")
}

fn import() -> impl Parser<CliCommand> {
    let base = long("base")
        .help("An inventory.toml that provides the zones and services")
        .argument::<PathBuf>("FILE");
    let register = positional::<PathBuf>("REGISTER").help("The asset register, CSV");
    construct!(ImportOptions { base, register })
        .map(CliCommand::Import)
        .to_options()
        .descr("Generate an inventory from an asset register and print it to standard output")
        .footer(
            "Example: hawthornroute import --base examples/dar-port/inventory.toml \
             examples/dar-port/asset-register.csv > inventory.toml",
        )
        .command("import")
}

#[cfg(feature = "demo")]
fn demo() -> impl Parser<CliCommand> {
    bpaf::pure(CliCommand::Demo)
        .to_options()
        .descr("Run a tier on loopback against stand-ins, for at most ten seconds")
        .command("demo")
}

/// Builds the parser of the command line.
pub(crate) fn command() -> OptionParser<CliCommand> {
    let serve = serve();
    let route = route();
    let explain_log = explain_log();
    let report = report();
    let check = check();
    let query = query();
    let request = request();
    let status = status();
    let explain = explain();
    let apply = apply();
    let diff = diff();
    let history = history();
    let import = import();
    let parser = construct!([
        serve,
        route,
        explain_log,
        report,
        check,
        query,
        request,
        status,
        explain,
        apply,
        diff,
        history,
        import
    ]);
    #[cfg(feature = "demo")]
    let parser = {
        let demo = demo();
        construct!([parser, demo])
    };
    parser
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("A query tier over many shards")
        .footer(
            "Exit codes: 0 success; 1 not run or not accepted; 2 usage; 3 unknown whether it ran; \
             4 answer incomplete; 5 ran and failed; 6 unreachable",
        )
}
