//! Runs the scripts of the second review.

mod client;
mod failback;
mod hosts;
mod http;
mod json;
mod server;
mod store;
mod stream;
mod world;

use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (case, folder) = (arguments.next(), arguments.next());
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = folder.unwrap_or_else(|| ".".to_owned());
    let folder = Path::new(&folder);
    let files = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    let result = match std::fs::create_dir_all(&files) {
        Err(error) => Err(error.into()),
        Ok(()) => match case.as_deref() {
            Some("stream") => stream::run(folder, &files, trouble),
            Some("failback") => failback::run(folder, &files, trouble),
            _ => Err("usage: review-standins-2 CASE FOLDER".into()),
        },
    };
    let _removed = std::fs::remove_dir_all(&files);
    match result {
        Ok(true) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            println!("the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
