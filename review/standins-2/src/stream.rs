//! A host is stopped while long answers are on their way.

use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client::Connection;
use crate::client::Outcome;
use crate::client::Request;
use crate::hosts;
use crate::hosts::Deployment;
use crate::hosts::Host;
use crate::hosts::address;
use crate::http::Reader;
use crate::store::Store;
use crate::world::Run;
use crate::world::World;

/// An answer of 300 KB that the server sends in twelve pieces, one each 200 ms.
const PIECES: usize = 12;
const PIECE: usize = 25_000;
const PACE: Duration = Duration::from_millis(200);
/// When the clients send, in seconds after SIGTERM.
const SENT_AT: [f64; 4] = [3.3, 3.6, 3.9, 4.2];

/// A server whose answers are long.
fn serve(world: &Arc<World>, stream: TcpStream, id: &str) -> io::Result<()> {
    let mut reader = Reader::new(stream);
    while let Some(head) = reader.head()? {
        let attempt = head.header("hawthornroute-attempt-id").unwrap_or("").to_owned();
        let stamp = format!("{id}.{}", world.number());
        world.note(format!("server {id} runs attempt={attempt}"));
        let body: Vec<u8> =
            (0..PIECES * PIECE).map(|index| (index % 251) as u8 ^ stamp.len() as u8).collect();
        let run = Run { body: body.clone() };
        world.add_run(&stamp, run);
        let text = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nHawthornroute-Attempt-Id: {attempt}\r\n\
             Hawthornroute-Response-Stamp: {stamp}\r\n\r\n",
            body.len()
        );
        reader.send(text.as_bytes())?;
        for piece in body.chunks(PIECE) {
            if let Err(error) = reader.send(piece) {
                world.note(format!("server {id} is cut off attempt={attempt}: {error}"));
                return Err(error);
            }
            thread::sleep(PACE);
        }
        world.note(format!("server {id} has answered attempt={attempt}"));
    }
    Ok(())
}

fn request(world: &World) -> Request {
    let id = format!("5eed{:012x}", world.number());
    Request {
        path: format!("/report/{id}"),
        id,
        host: "dar.example",
        deadline: Duration::from_secs(10),
    }
}

pub fn run(folder: &Path, files: &Path, trouble: bool) -> Result<bool, Box<dyn Error>> {
    let world = Arc::new(World::new());
    let store_at = SocketAddr::new(address(1, 1), 8102);
    let store = Store::start(store_at)?;
    let zones = ["kurasini", "kigamboni", "mbagala"];
    for (number, zone) in (1_u8..).zip(zones) {
        let listener = TcpListener::bind(SocketAddr::new(address(10, number), 0))?;
        let (at, id) = (listener.local_addr()?, format!("i-report{number}"));
        let text = format!(
            "{{\"service\":\"reports\",\"address\":\"{at}\",\"zone\":\"{zone}\",\
             \"configVersion\":\"v1\",\"concurrency\":8,\"state\":\"ready\",\
             \"coldRemainingMs\":0,\"sequence\":1}}"
        );
        store.put(&format!("servers/{id}"), &text);
        let world = Arc::clone(&world);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (world, id) = (Arc::clone(&world), id.clone());
                thread::spawn(move || {
                    let _ended = serve(&world, stream, &id);
                });
            }
        });
    }
    store.put(
        "op/config",
        "{\"configVersion\":7,\"routes\":[{\"name\":\"r-report\",\"host\":\"dar.example\",\
         \"prefix\":\"/report/\",\"routeType\":\"safe\",\"timeoutMs\":10000,\
         \"targetLatencyMs\":4000,\"priority\":2,\"maxAttempts\":2,\"service\":\"reports\"}],\
         \"services\":[{\"name\":\"reports\",\"healthPath\":\"/health\",\"maxConnections\":110}],\
         \"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}",
    );
    let deployment = Deployment {
        zones: zones.iter().map(|zone| ((*zone).to_owned(), "dar".to_owned())).collect(),
        store: store_at,
        seeds: vec![address(2, 1), address(2, 2), address(2, 3)],
        tables: "[configuration]\napply_ms = 3000\n[targets]\nbeat_ms = 1200\nleave_ms = 3000\n\
                 [stop]\ngrace_ms = 6000\n[budget]\nshare = 0.2\nwindow_s = 10\nallowance = 56\n\
                 [quota]\n[cold_targets]\n"
            .to_owned(),
    };
    let mut hosts = Vec::new();
    for (number, zone) in (1_u8..).zip(zones) {
        let name = format!("front-{zone}-1");
        hosts.push(Host::start(&deployment, &name, zone, address(2, number), files)?);
    }
    if !hosts::wait_until_ready(&hosts) {
        return Err("the hosts did not become ready".into());
    }
    thread::sleep(Duration::from_secs(5));
    // Each client sends a request, and keeps its connection.
    let mut clients = Vec::new();
    for sent_at in SENT_AT {
        let (world, at) = (Arc::clone(&world), hosts[0].callers());
        clients.push(thread::spawn(move || -> io::Result<(Connection, f64)> {
            let mut connection = Connection::open(at)?;
            let request = request(&world);
            match connection.send(&world, &request) {
                (Outcome::Answer(head, _), true) if head.status() == 200 => {
                    Ok((connection, sent_at))
                }
                other => Err(io::Error::other(format!("calm request: {other:?}"))),
            }
        }));
    }
    let mut kept = Vec::new();
    for client in clients {
        kept.push(client.join().map_err(|_| "a client ended")??);
    }
    thread::sleep(Duration::from_millis(500));
    let begin = world.now();
    if trouble {
        world.note("SIGTERM to front-kurasini-1");
        hosts[0].signal(hosts::SIGTERM);
    }
    let mut clients = Vec::new();
    for (mut connection, sent_at) in kept {
        let world = Arc::clone(&world);
        clients.push(thread::spawn(move || {
            world.sleep_until(begin + sent_at);
            let request = request(&world);
            (sent_at, request.id.clone(), connection.send(&world, &request).0)
        }));
    }
    let mut lost = 0;
    for client in clients {
        let (sent_at, id, outcome) = client.join().map_err(|_| "a client ended")?;
        let ran = world.rows(|row| row.contains(" runs ") && row.contains(&id)).len();
        let text = match &outcome {
            Outcome::Answer(head, body) => {
                let stamp = head.header("hawthornroute-response-stamp").unwrap_or("");
                let whole = world.run(stamp).is_none_or(|run| run.body == *body);
                if !whole {
                    lost += 1;
                }
                format!("status {} with {} bytes, whole: {whole}", head.status(), body.len())
            }
            Outcome::Broken(error) if ran > 0 => {
                lost += 1;
                format!("LOST, cut off after it was passed on: {error}")
            }
            Outcome::Broken(error) => format!("not passed on: {error}"),
        };
        let text = format!("sent {sent_at} s after SIGTERM, attempt={id}: {text}");
        println!("{text}");
        world.note(text);
    }
    world.note(format!("{lost} requests lost"));
    // The platform kills the process after the grace period.
    world.sleep_until(begin + 6.0);
    world.write(&folder.join("record.txt"));
    Ok(lost == 0)
}
