//! A server becomes cold again while the platform's store is down.

use std::error::Error;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::client::Connection;
use crate::client::Outcome;
use crate::client::Request;
use crate::hosts;
use crate::hosts::Deployment;
use crate::hosts::Host;
use crate::hosts::address;
use crate::server::Server;
use crate::server::Traits;
use crate::store::Store;
use crate::world::Random;
use crate::world::World;

const SHARDS: u8 = 10;
/// Queries a second from the clients of each zone.
const RATE: f64 = 30.0;
/// Clients of each zone.
const CLIENTS: u64 = 10;
const COLD: Duration = Duration::from_secs(3);
const COLD_PER_S: f64 = 5.0;
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 5.0;
/// How long the store is down, in seconds.
const DOWN_S: f64 = 4.5;
/// The hosts of the small deployment, by zone.
const ZONES: [(&str, u8); 3] = [("kurasini", 3), ("kigamboni", 3), ("mbagala", 2)];

fn config() -> String {
    let names: Vec<String> = (0..SHARDS).map(|shard| format!("\"desk{shard}\"")).collect();
    let service = |name: &String| {
        format!(
            "{{\"name\":{name},\"healthPath\":\"/health\",\"maxConnections\":54,\
             \"coldStartS\":3,\"coldPerS\":{COLD_PER_S}}}"
        )
    };
    let services: Vec<String> = names.iter().map(service).collect();
    format!(
        "{{\"configVersion\":7,\"routes\":[{{\"name\":\"r-stem\",\"host\":\"dar.example\",\
         \"prefix\":\"/stem/\",\"routeType\":\"safe\",\"timeoutMs\":1200,\"targetLatencyMs\":200,\
         \"priority\":1,\"maxAttempts\":2,\"fanoutServices\":[{}],\"topK\":20,\
         \"minShardFraction\":0.85}}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        names.join(","),
        services.join(",")
    )
}

fn start_servers(world: &Arc<World>) -> std::io::Result<Vec<Arc<Server>>> {
    let mut servers = Vec::new();
    for (number, (zone, _)) in (10_u8..).zip(ZONES) {
        for shard in 0..SHARDS {
            let traits = Traits {
                id: format!("i-{shard}-{zone}"),
                service: format!("desk{shard}"),
                zone: zone.to_owned(),
                slots: 2,
                work: Duration::from_millis(9),
                records: 25,
                // Twice the bound of the rule.
                crash_at: ((COLD_PER_S * OVERSHOOT + SLACK) * 2.0) as usize,
            };
            servers.push(Server::start(world, traits, address(number, shard + 1))?);
        }
    }
    Ok(servers)
}

pub fn run(folder: &Path, files: &Path, trouble: bool) -> Result<bool, Box<dyn Error>> {
    let world = Arc::new(World::new());
    let store_at = SocketAddr::new(address(1, 1), 8102);
    let store = Store::start(store_at)?;
    let servers = start_servers(&world)?;
    if !servers.iter().all(|server| server.register(&store)) || !store.put("op/config", &config()) {
        return Err("the store took no entry".into());
    }
    let deployment = Deployment {
        zones: ZONES.map(|(zone, _)| (zone.to_owned(), "dar".to_owned())).to_vec(),
        store: store_at,
        seeds: vec![address(2, 1), address(2, 4), address(2, 7)],
        tables: format!(
            "[configuration]\napply_ms = 5000\n[targets]\nbeat_ms = 1200\nleave_ms = 5000\n[stop]\n\
             grace_ms = 6000\n[budget]\nshare = 0.2\nwindow_s = 10\nallowance = 56\n[quota]\n\
             [cold_targets]\novershoot = {OVERSHOOT}\nslack = {SLACK}\n"
        ),
    };
    let mut hosts = Vec::new();
    for (zone, count) in ZONES {
        for _ in 0..count {
            let number = hosts.len() as u8 + 1;
            let name = format!("front-{zone}-{number}");
            hosts.push(Host::start(&deployment, &name, zone, address(2, number), files)?);
        }
    }
    if !hosts::wait_until_ready(&hosts) {
        return Err("the hosts did not become ready".into());
    }
    // Traffic starts ten seconds after the hosts.
    thread::sleep(Duration::from_secs(8));
    let stop = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for (zone, _) in ZONES {
        let at = hosts.iter().filter(|host| host.zone == zone).map(Host::callers);
        let at: Vec<SocketAddr> = at.collect();
        for number in 0..CLIENTS {
            let (world, stop, at) = (Arc::clone(&world), Arc::clone(&stop), at.clone());
            threads.push(thread::spawn(move || ask(&world, &stop, &at, number)));
        }
    }
    let begin = world.now();
    world.sleep_until(begin + 5.0);
    if trouble {
        world.note("the store is down: it answers 503");
        store.set_down(true);
    }
    world.sleep_until(begin + 6.0);
    let cold = servers.iter().find(|server| server.traits.id == "i-0-mbagala");
    let cold = cold.ok_or("no such server")?;
    cold.turn_cold(&store, COLD);
    world.sleep_until(begin + 5.0 + DOWN_S);
    store.set_down(false);
    world.note("the store serves");
    world.sleep_until(begin + 12.0);
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ended = thread.join();
    }
    let times = world.times(|row| row.starts_with("server i-0-mbagala cold attempt="));
    let in_second =
        |first: f64| times.iter().filter(|at| **at >= first && **at < first + 1.0).count();
    let most = times.iter().map(|first| in_second(*first)).max().unwrap_or(0);
    let limit = COLD_PER_S * OVERSHOOT + SLACK;
    let text = format!(
        "FAILBACK: up to {most} requests in one second at the cold server, {limit} allowed; {} in \
         all; crashed: {}",
        times.len(),
        cold.has_crashed()
    );
    println!("{text}");
    world.note(text);
    world.write(&folder.join("record.txt"));
    Ok(most as f64 <= limit)
}

/// Sends one client's part of a zone's queries, each at its time.
fn ask(world: &Arc<World>, stop: &AtomicBool, hosts: &[SocketAddr], number: u64) {
    let mut random = Random::new(number + 5);
    let period = CLIENTS as f64 / RATE;
    let mut next = world.now() + period * number as f64 / CLIENTS as f64;
    let mut kept: Option<Connection> = None;
    while !stop.load(Ordering::Relaxed) {
        world.sleep_until(next);
        next += period;
        let id = format!("{:08x}{:08x}", random.next() as u32, world.number());
        let path = format!("/stem/{id}");
        let request =
            Request { id, path, host: "dar.example", deadline: Duration::from_millis(1200) };
        let host = hosts[random.below(hosts.len() as u64) as usize];
        let Some(mut connection) = kept.take().or_else(|| Connection::open(host).ok()) else {
            continue;
        };
        let (outcome, keep) = connection.send(world, &request);
        if keep && matches!(outcome, Outcome::Answer(..)) && random.below(10) < 8 {
            kept = Some(connection);
        }
    }
}
