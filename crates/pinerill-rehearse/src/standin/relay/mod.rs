//! Relays of the links between zones: each passes one TCP address on to
//! another, and delays, cuts or freezes it as its admin port is told.

pub mod link;
pub mod pump;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

use anyhow::Context;
use clap::Args;
use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::{get, post, put, routes, State};

use super::http::{self, Failure};
use link::{Link, LinkState};

/// Flags of a relay process.
#[derive(Args, Debug, Clone)]
pub struct RelayArguments {
    /// Address of the admin port.
    #[arg(long)]
    pub admin: SocketAddr,
    /// A link, `name=listen,target`; may be given again.
    #[arg(long = "link")]
    pub links: Vec<LinkArguments>,
    /// One-way delay of every link at start, in microseconds.
    #[arg(long, default_value_t = 1_000)]
    pub delay_us: u64,
}

/// One link: what is sent to `listen` goes to `target`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LinkArguments {
    /// Its name at the admin port.
    pub name: String,
    /// Address to listen at.
    pub listen: SocketAddr,
    /// Address to pass on to.
    pub target: SocketAddr,
}

impl FromStr for LinkArguments {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> anyhow::Result<Self> {
        let wanted = "want name=listen,target";
        let (name, addresses) = text.split_once('=').context(wanted)?;
        let (listen, target) = addresses.split_once(',').context(wanted)?;
        Ok(Self {
            name: name.to_string(),
            listen: listen.parse().context("listen address")?,
            target: target.parse().context("target address")?,
        })
    }
}

type Links = BTreeMap<String, Arc<Link>>;

/// Relays until SIGTERM or SIGINT. Fails when an address is taken.
pub async fn run(arguments: RelayArguments) -> anyhow::Result<()> {
    let mut links = Links::new();
    for link in arguments.links {
        let name = link.name.clone();
        let state = LinkState {
            delay_us: arguments.delay_us,
            ..LinkState::default()
        };
        let link = Link::open(link, state).await?;
        links.insert(name, link);
    }
    let server = http::server(arguments.admin).manage(links);
    let routes = routes![list, put_state, put_all, reset];
    http::serve_until_stopped(server.mount("/", routes)).await
}

#[get("/links")]
fn list(links: &State<Links>) -> Json<BTreeMap<String, LinkState>> {
    let states = links
        .iter()
        .map(|(name, link)| (name.clone(), link.state()));
    Json(states.collect())
}

#[put("/links/<name>", data = "<state>")]
fn put_state(links: &State<Links>, name: &str, state: Json<LinkState>) -> Result<Status, Failure> {
    find(links, name)?.set_state(state.into_inner());
    Ok(Status::NoContent)
}

/// Sets every link whose name starts with `prefix`.
#[put("/links?<prefix>", data = "<state>")]
fn put_all(links: &State<Links>, prefix: &str, state: Json<LinkState>) -> Status {
    for (name, link) in links.iter() {
        if name.starts_with(prefix) {
            link.set_state(state.clone().into_inner());
        }
    }
    Status::NoContent
}

#[post("/links/<name>/reset")]
fn reset(links: &State<Links>, name: &str) -> Result<Status, Failure> {
    find(links, name)?.reset();
    Ok(Status::NoContent)
}

fn find<'a>(links: &'a Links, name: &str) -> Result<&'a Arc<Link>, Failure> {
    let unknown = || Failure::new(404, "unknown_link", format!("no link {name}"));
    links.get(name).ok_or_else(unknown)
}
