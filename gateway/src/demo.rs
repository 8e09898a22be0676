//! The main job, shown: a primary and two replicas as stand-ins on loopback, discovery, a gateway as a process of
//! its own, and some requests, each with its answer. It ends by itself.

use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, ExitCode, Stdio};
use std::thread;
use std::time::Duration;

use yewroute_standin::client::{bind, execute, named, parse, sync};
use yewroute_standin::{answers, entry, list, rows, startup, Client, Discovery, Do, Host};

const SETTINGS: &str = include_str!("demo.json");
const EDGE: &str = "postgres()\nhosts(protocol = \"extended\")\n";
const VIEW: &str = "SELECT doc FROM items WHERE id = $1 /* id=$2,c=flight-view,d=$3,cluster=2 */";
const CHECK_IN: &str =
    "INSERT INTO items (id, doc) VALUES ($1, $2) RETURNING doc /* id=$3,c=check-in,d=$4,k=$5,cluster=2 */";
/// A drain is heeded within this time of its news.
const HEEDED: Duration = Duration::from_millis(250);

/// Runs it; a failure says what did not come as it should.
pub fn run() -> ExitCode {
    match show() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the demonstration failed: {error}");
            ExitCode::FAILURE
        }
    }
}

/// A db host that answers with its own name and the row's.
fn host(name: &'static str, primary: bool) -> Host {
    Host::start(move |query| {
        if query == "SHOW load" {
            return Do::Say(answers::report(primary, 0));
        }
        let key = query.split('\'').nth(1).unwrap_or_default();
        let (role, tag) = if primary { ("primary", "INSERT 0 1") } else { ("replica", "SELECT 1") };
        let tag = if query.starts_with("SELECT") { "SELECT 1" } else { tag };
        Do::Say(rows(role, tag, &[Some(format!("{key} from {name}").as_bytes())]))
    })
}

/// The gateway's process, ended with this.
struct Gateway(Child);

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn start(known: &str, discovery: SocketAddr, folder: &std::path::Path) -> io::Result<(Gateway, SocketAddr)> {
    let (config, edge) = (folder.join("config.json"), folder.join("edge.star"));
    let text = format!(
        r#"{{"name":"demo","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"1",
        "limits":{{"memory_mb":64,"sockets":256}},"known":{known},"settings":{SETTINGS}}}"#
    );
    std::fs::write(&config, text)?;
    std::fs::write(&edge, EDGE)?;
    let mut command = Command::new(std::env::current_exe()?);
    command.arg("run").arg("--edge").arg(edge).env("EDGE_CONFIG", config).stderr(Stdio::piped());
    for variable in ["EDGE_NAME", "EDGE_LISTEN", "EDGE_DISCOVERY"] {
        command.env_remove(variable);
    }
    let mut child = command.spawn()?;
    let log = child.stderr.take();
    let gateway = Gateway(child);
    let mut lines = BufReader::new(log.ok_or(io::ErrorKind::BrokenPipe)?).lines();
    let first = lines.next().ok_or(io::ErrorKind::UnexpectedEof)??;
    let addr = first.rsplit("addr=").next().and_then(|addr| addr.parse().ok());
    let addr = addr.ok_or_else(|| io::Error::other(first))?;
    thread::spawn(move || lines.for_each(drop));
    Ok((gateway, addr))
}

fn show() -> io::Result<()> {
    let hosts = [host("primary", true), host("replica-1", false), host("replica-2", false)];
    let of = |n: usize, role: &str, state: &str| entry(&format!("s-{n}"), &hosts[n], role, state, 0);
    let known =
        list(41, true, &[of(0, "primary", "Ready"), of(1, "replica", "Ready"), of(2, "replica", "Ready")]);
    let discovery = Discovery::start(&[]);
    let folder = tempfile::tempdir()?;
    let (gateway, addr) = start(&known, discovery.addr, folder.path())?;
    println!("a primary and two replicas on loopback; a gateway before them at {addr}\n");

    let mut client = Client::connect(addr)?;
    client.write(&startup());
    client.answer();
    println!("simple queries");
    for n in 0..3 {
        let text =
            format!("SELECT doc FROM items WHERE id = 'PNR{n}' /* id=s{n},c=flight-view,d=900,cluster=2 */");
        told(&text, b"TDCZ", &client.ask(&text), &client)?;
    }
    let text = "INSERT INTO items (id, doc) VALUES ('PNR7', 'seat 4A') RETURNING doc \
                /* id=s9,c=check-in,d=900,k=key9,cluster=2 */";
    told(text, b"TDCZ", &client.ask(text), &client)?;

    println!("\nprepared statements, in one pipeline");
    client.write(
        &[parse("view", VIEW, &[]), parse("in", CHECK_IN, &[]), named(b'D', b'S', "view"), sync()].concat(),
    );
    told("Parse view, Parse in, Describe view", b"11tTZ", &client.answer(), &client)?;
    let view = bind("", "view", &[Some("PNR1"), Some("e1"), Some("900")]);
    let check_in = bind("", "in", &[Some("PNR1"), Some("seat 12F"), Some("e2"), Some("900"), Some("key1")]);
    client.write(&[view, execute("", 0), check_in, execute("", 0), sync()].concat());
    told("Bind view, Execute, Bind in, Execute", b"2DC2DCZ", &client.answer(), &client)?;

    println!("\nreplica-1 drains");
    let drain = list(42, false, &[of(1, "replica", "Terminating")]);
    discovery.news.send(drain).map_err(io::Error::other)?;
    thread::sleep(HEEDED);
    let before = hosts[1].asked().len();
    for n in 0..4 {
        let text =
            format!("SELECT doc FROM items WHERE id = 'PNR{n}' /* id=d{n},c=flight-view,d=900,cluster=2 */");
        told(&text, b"TDCZ", &client.ask(&text), &client)?;
    }
    let after = hosts[1].asked().len();
    if after != before {
        return Err(io::Error::other(format!("{} reads went to a host that drains", after - before)));
    }
    println!("\nrequests that reached each host: {:?}", hosts.each_ref().map(|host| host.asked().len()));
    drop(gateway);
    Ok(())
}

/// Prints a request and its answer.
fn told(asked: &str, wanted: &[u8], came: &[u8], client: &Client) -> io::Result<()> {
    if came != wanted {
        let (came, wanted) = (came.escape_ascii(), wanted.escape_ascii());
        return Err(io::Error::other(format!("{asked}: {came} came, not {wanted}; {}", client.error)));
    }
    let values: Vec<_> =
        client.rows.iter().map(|row| String::from_utf8_lossy(&row[6..]).into_owned()).collect();
    println!("  {asked}\n    -> {}", if values.is_empty() { "done".to_owned() } else { values.join(", ") });
    Ok(())
}
