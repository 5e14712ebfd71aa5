//! OpenAPI description of the API for callers and operators.
//!
//! Bodies are read as streams (see [`crate::request::body`]), so dropshot does not know their
//! schemas; they are added from the types.

use hawthorn_types::CallerAnswer;
use hawthorn_types::OnceRequest;
use hawthorn_types::SearchQuery;
use quick_error::quick_error;
use schemars::r#gen::SchemaGenerator;
use schemars::r#gen::SchemaSettings;
use serde_json::Value;
use serde_json::json;

use crate::request::api;
use crate::request::status::FleetReport;

quick_error! {
    /// Reason why the API cannot be described.
    #[derive(Debug)]
    pub enum Error {
        /// Endpoints conflict.
        Endpoints(text: String) {
            display("endpoints: {text}")
        }
        /// The library's description has an unexpected structure.
        Shape(text: String) {
            display("description: {text}")
        }
    }
}

/// An endpoint whose schemas are added.
struct TypedEndpoint {
    path: &'static str,
    method: &'static str,
    body: Option<&'static str>,
    answer: &'static str,
}

const TYPED_ENDPOINTS: [TypedEndpoint; 3] = [
    TypedEndpoint {
        path: "/v1/query",
        method: "post",
        body: Some("SearchQuery"),
        answer: "CallerAnswer",
    },
    TypedEndpoint {
        path: "/v1/request",
        method: "post",
        body: Some("OnceRequest"),
        answer: "CallerAnswer",
    },
    TypedEndpoint { path: "/v1/status", method: "get", body: None, answer: "FleetReport" },
];

/// Returns the description, as committed in docs/openapi.json.
///
/// # Errors
/// If the library's description has an unexpected structure.
pub fn openapi() -> Result<Value, Error> {
    let api = api::describe().map_err(|error| Error::Endpoints(error.to_string()))?;
    let version = semver::Version::new(1, 0, 0);
    let mut description = api
        .openapi("hawthornroute", version)
        .json()
        .map_err(|error| Error::Shape(error.to_string()))?;
    let schemas = schemas()?;
    // Absent while no endpoint has a typed body.
    if description["components"]["schemas"].is_null() {
        description["components"]["schemas"] = json!({});
    }
    let components = description["components"]["schemas"]
        .as_object_mut()
        .ok_or_else(|| Error::Shape("schemas are not an object".into()))?;
    components.extend(schemas);
    for endpoint in TYPED_ENDPOINTS {
        complete(&mut description, &endpoint)?;
    }
    Ok(description)
}

fn schemas() -> Result<serde_json::Map<String, Value>, Error> {
    let mut generator: SchemaGenerator = SchemaSettings::openapi3().into_generator();
    generator.subschema_for::<SearchQuery>();
    generator.subschema_for::<OnceRequest>();
    generator.subschema_for::<CallerAnswer>();
    generator.subschema_for::<FleetReport>();
    let shapes = serde_json::to_value(generator.definitions())
        .map_err(|error| Error::Shape(error.to_string()))?;
    match shapes {
        Value::Object(shapes) => Ok(shapes),
        other => Err(Error::Shape(format!("schemas are {other}"))),
    }
}

fn complete(description: &mut Value, endpoint: &TypedEndpoint) -> Result<(), Error> {
    let operation = description
        .get_mut("paths")
        .and_then(|paths| paths.get_mut(endpoint.path))
        .and_then(|path| path.get_mut(endpoint.method))
        .ok_or_else(|| Error::Shape(format!("no {} {}", endpoint.method, endpoint.path)))?;
    if let Some(body) = endpoint.body {
        operation["requestBody"] = json!({ "content": reference(body), "required": true });
    }
    let answer = json!({ "description": "see the outcome", "content": reference(endpoint.answer) });
    operation["responses"] = json!({ "default": answer });
    Ok(())
}

fn reference(name: &str) -> Value {
    json!({ "application/json": { "schema": { "$ref": format!("#/components/schemas/{name}") } } })
}
