//! Prints the OpenAPI description, for docs/openapi.json.

use std::error::Error;

use hawthorn_daemon::request::describe;

fn main() -> Result<(), Box<dyn Error>> {
    println!("{}", serde_json::to_string_pretty(&describe::openapi()?)?);
    Ok(())
}
