//! Extended queries on real sockets: the hard cases, each with the gateway as a process among stand-ins.

mod common;

use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use client::{bind, execute, named, parse, sync};
use common::*;

const EDGE: &str = "postgres()\nhosts(protocol = 'extended')";
const SIMPLE_HOSTS: &str = "postgres()\nhosts(protocol = 'simple')";
const VIEW: &str = "SELECT doc FROM items WHERE id = $1 /* id=$2,c=view,d=$3,cluster=2 */";
const ORDER: &str =
    "INSERT INTO items (id, doc) VALUES ($1, $2) RETURNING doc /* id=$3,c=order,d=$4,k=$5,cluster=2 */";

fn id() -> String {
    static MADE: AtomicU32 = AtomicU32::new(0);
    format!("e{}", MADE.fetch_add(1, Ordering::SeqCst))
}

fn view(wait: &str) -> Vec<u8> {
    bind("", "v", &[Some("7f3a"), Some(&id()), Some(wait)])
}

fn order(key: &str) -> Vec<u8> {
    bind("", "o", &[Some("7f3a"), Some("doc"), Some(&id()), Some("1500"), Some(key)])
}

/// A client with both statements prepared.
fn prepared(gateway: &Gateway) -> Client {
    let mut client = gateway.client();
    client.write(&[parse("v", VIEW, &[]), parse("o", ORDER, &[]), sync()].concat());
    assert_eq!(client.answer(), b"11Z", "{}", client.error);
    client
}

fn run(client: &mut Client, bind: &[u8]) -> Vec<u8> {
    client.write(&[bind, &execute("", 0), &sync()].concat());
    client.answer()
}

#[test]
fn a_pipeline_is_answered_message_by_message_in_its_order() {
    let primary = Host::start(|query| match query {
        "SHOW load" => well(true, query),
        query => {
            Do::Say(rows("primary", "INSERT 0 1", &[Some(query.split('\'').nth(3).unwrap().as_bytes())]))
        }
    });
    let replica = Host::start(|query| match query {
        "SHOW load" => well(false, query),
        query => Do::Say(rows("replica", "SELECT 1", &[Some(query.split('\'').nth(1).unwrap().as_bytes())])),
    });
    let gateway = Gateway::with_edge(&pair(&primary, &replica), EDGE);
    let mut client = gateway.client();
    // Everything at once, byte by byte, a simple query among it.
    let mut bytes = [parse("v", VIEW, &[]), parse("", ORDER, &[]), named(b'D', b'S', "v")].concat();
    let mut wanted = b"11tT".to_vec();
    let mut values: Vec<String> = Vec::new();
    for n in 0..5 {
        let key = format!("key{n}");
        bytes.extend(bind("", "v", &[Some(&key), Some(&id()), Some("900")]));
        bytes.extend([named(b'D', b'P', ""), execute("", 0)].concat());
        bytes.extend(bind("", "", &[Some("row"), Some(&key), Some(&id()), Some("900"), Some(&key)]));
        bytes.extend(execute("", 0));
        wanted.extend(b"2TDC2DC");
        values.extend([key.clone(), key]);
    }
    bytes.extend([sync(), frame(b'Q', b"\0"), named(b'C', b'S', "v"), sync()].concat());
    wanted.extend(b"ZIZ3Z");
    for chunk in bytes.chunks(7) {
        client.write(chunk);
    }
    let mut seen = client.answer();
    let served: Vec<String> =
        client.rows.iter().map(|row| String::from_utf8_lossy(&row[6..]).into_owned()).collect();
    let plain: Vec<&str> =
        served.iter().map(|row| row.trim_start_matches(['\0', '\u{4}', '\u{3}'])).collect();
    assert_eq!(plain, values, "each reply is the one made for its request");
    seen.extend(client.answer());
    seen.extend(client.answer());
    assert_eq!(String::from_utf8(seen).unwrap(), String::from_utf8(wanted).unwrap(), "{}", client.error);
    // Byte for byte at the db host, but for the waiting time.
    let executed = primary.executed();
    assert_eq!((executed.len(), replica.executed().len()), (5, 5));
    for one in executed {
        assert_eq!(one.text, ORDER);
        let wait: u32 = String::from_utf8(one.parameters[3].clone().unwrap()).unwrap().parse().unwrap();
        assert!((1..=900).contains(&wait), "{wait}");
    }
    let parses = primary.messages().matches('P').count();
    assert!(parses <= primary.connections.load(Ordering::SeqCst) as usize, "once on a connection");
}

#[test]
fn a_check_in_cut_off_after_bind_by_its_client_is_neither_taken_nor_sent() {
    let (primary, replica) = (Host::well(true), Host::well(false));
    let gateway = Gateway::with_edge(&pair(&primary, &replica), EDGE);
    let mut client = prepared(&gateway);
    client.write(&order("1"));
    assert_eq!(client.message(), Some(b'2'));
    // All of Execute but its last byte.
    client.write(&execute("", 0)[..9]);
    drop(client);
    let mut other = prepared(&gateway);
    assert_eq!(run(&mut other, &order("2")), b"2DCZ", "{}", other.error);
    assert_eq!(primary.executed().len(), 1);
}

#[test]
fn a_check_in_whose_execute_breaks_at_the_host_is_resent_only_with_its_key_and_fails_if_it_may_have_run() {
    let breaks = AtomicU32::new(0);
    let primary = Host::start(move |query| match query {
        "SHOW load" => well(true, query),
        query if query.contains("k=once") && breaks.fetch_add(1, Ordering::SeqCst) == 0 => Do::Break,
        query if query.contains("k=never") => Do::Nothing,
        query => well(true, query),
    });
    let replica = Host::well(false);
    let gateway = Gateway::with_edge(&pair(&primary, &replica), EDGE);
    let mut client = prepared(&gateway);
    // Broken after its last byte: it may have run, and its key lets it go once more within its window.
    assert_eq!(run(&mut client, &order("once")), b"2DCZ", "{}", client.error);
    let keys: Vec<_> = primary.executed().iter().map(|e| e.parameters[4].clone().unwrap()).collect();
    assert_eq!(keys, [b"once".to_vec(), b"once".to_vec()]);
    // Never answered: failed, in time, and never a refusal.
    let start = Instant::now();
    assert_eq!(run(&mut client, &order("never")), b"2EZ");
    assert!(client.error.contains("|C40003|"), "{}", client.error);
    assert!(start.elapsed() < Duration::from_millis(1600));
    assert!(replica.executed().is_empty());
}

#[test]
fn an_error_mid_pipeline_leaves_the_rest_unsent_up_to_sync() {
    let primary = Host::start(|query| match query {
        query if query.contains("k=bad") => Do::Say(answers::error("23505", "duplicate key")),
        query => well(true, query),
    });
    let replica = Host::well(false);
    let gateway = Gateway::with_edge(&pair(&primary, &replica), EDGE);
    let mut client = prepared(&gateway);
    let pipeline = [
        [order("good"), execute("", 0)].concat(),
        [order("bad"), execute("", 0)].concat(),
        [order("skipped"), execute("", 0), parse("v", VIEW, &[]), frame(b'Q', b"SELECT 1\0")].concat(),
        sync(),
        [order("after"), execute("", 0), sync()].concat(),
    ];
    client.write(&pipeline.concat());
    assert_eq!(client.answer(), b"2DC2EZ");
    assert!(client.error.contains("|C23505|Mduplicate key|"), "the host's own word: {}", client.error);
    assert_eq!(client.answer(), b"2DCZ");
    let keys: Vec<_> = primary.executed().iter().map(|e| e.parameters[4].clone().unwrap()).collect();
    assert_eq!(
        keys,
        [b"good".to_vec(), b"bad".to_vec(), b"after".to_vec()],
        "sent once each, none tried again"
    );
}

#[test]
fn a_request_refused_mid_pipeline_leaves_the_rest_unsent_up_to_sync() {
    let (primary, replica) = (Host::well(true), Host::well(false));
    let gateway = Gateway::with_edge(&pair(&primary, &replica), EDGE);
    let mut client = prepared(&gateway);
    let nowhere = ORDER.replace("cluster=2", "cluster=3");
    client.write(&[parse("n", &nowhere, &[]), sync()].concat());
    assert_eq!(client.answer(), b"1Z");
    let refused = bind("", "n", &[Some("7f3a"), Some("doc"), Some(&id()), Some("1500"), Some("k")]);
    client.write(&[refused, execute("", 0), order("skipped"), execute("", 0), sync()].concat());
    assert_eq!(client.answer(), b"2EZ");
    assert!(client.error.contains("|C53300|") && client.error.contains("|D2000|"), "{}", client.error);
    assert!(primary.executed().is_empty());
    assert_eq!(run(&mut client, &order("after")), b"2DCZ");
}

#[test]
fn a_sync_that_never_comes_ends_the_connection_and_what_it_holds() {
    let (primary, replica) = (Host::well(true), Host::well(false));
    let edge = "postgres(pipeline_idle_ms = 300)\nhosts(protocol = 'extended')";
    let gateway = Gateway::with_edge(&pair(&primary, &replica), edge);
    let mut client = prepared(&gateway);
    client.write(&[order("1"), execute("", 0)].concat());
    // Answered without its Sync; then nothing more comes.
    assert_eq!([client.message(), client.message(), client.message()], [Some(b'2'), Some(b'D'), Some(b'C')]);
    let start = Instant::now();
    assert_eq!(client.answer(), b"E");
    assert!(client.error.contains("|C25P03|"), "{}", client.error);
    assert!((Duration::from_millis(200)..Duration::from_millis(1500)).contains(&start.elapsed()));
    // One that is between pipelines is left alone.
    let mut idle = prepared(&gateway);
    thread::sleep(Duration::from_millis(700));
    assert_eq!(run(&mut idle, &view("900")), b"2DCZ");
}

#[test]
fn a_statement_closed_and_a_client_gone_while_an_execute_is_out_change_nothing_for_others() {
    let slow = |role: &'static str| {
        move |query: &str| match query {
            "SHOW load" => well(role == "primary", query),
            _ => Do::SayLater(Duration::from_millis(150), served(role)),
        }
    };
    let (primary, replica) = (Host::start(slow("primary")), Host::start(slow("replica")));
    let gateway = Gateway::with_edge(&pair(&primary, &replica), EDGE);
    let mut client = prepared(&gateway);
    client.write(&[order("1"), execute("", 0), named(b'C', b'S', "o"), sync()].concat());
    assert_eq!(client.answer(), b"2DC3Z");
    client.write(&[order("1"), sync()].concat());
    assert_eq!(client.answer(), b"EZ");
    assert!(client.error.contains("|C26000|"), "{}", client.error);
    // Gone with two of its three requests unanswered: the second was never sent.
    let mut gone = prepared(&gateway);
    gone.write(&[order("a"), execute("", 0), order("b"), execute("", 0), sync()].concat());
    until(|| primary.executed().len() == 2, || gateway.log());
    drop(gone);
    let mut other = prepared(&gateway);
    assert_eq!(run(&mut other, &order("2")), b"2DCZ");
    let keys: Vec<_> = primary.executed().iter().map(|e| e.parameters[4].clone().unwrap()).collect();
    assert_eq!(keys, [b"1".to_vec(), b"a".to_vec(), b"2".to_vec()]);
}

#[test]
fn a_host_that_lost_its_statements_has_them_prepared_again_within_the_attempt() {
    let (primary, replica) = (Host::well(true), Host::well(false));
    let gateway = Gateway::with_edge(&pair(&primary, &replica), EDGE);
    let mut client = prepared(&gateway);
    let mut keys = Vec::new();
    for n in 0..20 {
        keys.push(format!("key{n}").into_bytes());
        assert_eq!(run(&mut client, &order(&format!("key{n}"))), b"2DCZ", "{}", client.error);
        primary.forget();
    }
    let ran: Vec<_> = primary.executed().iter().map(|e| e.parameters[4].clone().unwrap()).collect();
    assert_eq!(ran, keys, "each once: it never ran without its statement");
    // A probe may hold the connection, and a new one has nothing to lose; but not every time.
    let binds = primary.messages().matches('B').count();
    assert!(binds > keys.len() + 10, "{}", primary.messages());
}

#[test]
fn a_plan_that_no_longer_holds_is_prepared_anew_and_no_other() {
    let stale = AtomicBool::new(false);
    let primary = Host::start(move |query| match query {
        query if query.contains("k=stale") && !stale.swap(true, Ordering::SeqCst) => {
            Do::Say(answers::error("0A000", "cached plan must not change result type"))
        }
        query => well(true, query),
    });
    let replica = Host::well(false);
    let gateway = Gateway::with_edge(&pair(&primary, &replica), EDGE);
    let mut client = prepared(&gateway);
    client.write(&[parse("other", &ORDER.replace("items", "seats"), &[]), sync()].concat());
    assert_eq!(client.answer(), b"1Z");
    let other = |key: &str| bind("", "other", &[Some("a"), Some("b"), Some(&id()), Some("1500"), Some(key)]);
    let good =
        [bind("p", "other", &[Some("a"), Some("b"), Some(&id()), Some("1500"), Some("1")]), execute("p", 0)];
    client.write(&[good.concat(), order("stale"), execute("", 0), sync()].concat());
    assert_eq!(client.answer(), b"2DC2EZ");
    assert!(client.error.contains("|C0A000|"), "the driver is told: {}", client.error);
    assert_eq!(run(&mut client, &order("2")), b"2DCZ", "{}", client.error);
    assert_eq!(run(&mut client, &other("3")), b"2DCZ", "{}", client.error);
    let names: Vec<_> = primary.executed().into_iter().map(|e| e.name).collect();
    assert_ne!(names[1], names[2], "prepared anew");
    assert_eq!(names[0], names[3], "the other one of that pipeline is as it was");
}

#[test]
fn a_statement_works_on_whichever_host_is_picked() {
    // The replica turns every read away, so each is retried at the primary, where it was never prepared.
    let primary = Host::well(true);
    let replica = Host::start(|query| match query {
        "SHOW load" => well(false, query),
        _ => Do::Say(answers::error("72000", "behind")),
    });
    let gateway = Gateway::with_edge(&pair(&primary, &replica), EDGE);
    let mut client = prepared(&gateway);
    assert_eq!(run(&mut client, &view("900")), b"2DCZ", "{}", client.error);
    assert_eq!((replica.executed().len(), primary.executed().len()), (1, 1));
    assert_eq!(primary.executed()[0].text, VIEW);
}

#[test]
fn news_of_a_drain_between_parse_and_execute_sends_the_request_elsewhere() {
    let (primary, replica) = (Host::well(true), Host::well(false));
    let gateway = Gateway::with_edge(&pair(&primary, &replica), EDGE);
    let mut client = prepared(&gateway);
    assert_eq!(run(&mut client, &view("900")), b"2DCZ");
    assert_eq!(replica.executed().len(), 1);
    client.write(&view("900"));
    assert_eq!(client.message(), Some(b'2'));
    let drain = entry("s-b", &replica, "replica", "Terminating", 0);
    gateway.news.send(list(42, false, &[drain])).unwrap();
    thread::sleep(Duration::from_millis(250));
    let before = replica.messages();
    client.write(&[execute("", 0), sync()].concat());
    assert_eq!(client.answer(), b"DCZ");
    assert_eq!((replica.messages(), primary.executed().len()), (before, 1), "not one message more");
}

#[test]
fn a_lost_statement_is_not_prepared_again_at_a_host_that_drains() {
    let (primary, replica) = (Host::well(true), Host::well(false));
    let gateway = Gateway::with_edge(&pair(&primary, &replica), EDGE);
    let mut client = prepared(&gateway);
    assert_eq!(run(&mut client, &view("900")), b"2DCZ");
    replica.forget();
    let drain = entry("s-b", &replica, "replica", "Terminating", 0);
    gateway.news.send(list(42, false, &[drain])).unwrap();
    thread::sleep(Duration::from_millis(250));
    assert_eq!(run(&mut client, &view("900")), b"2DCZ");
    assert_eq!((replica.executed().len(), primary.executed().len()), (1, 1));
}

#[test]
fn a_host_that_restarts_between_parse_and_bind_is_no_matter() {
    let broken = AtomicBool::new(false);
    let primary = Host::start(move |query| match query {
        query if query.contains("k=first") => Do::SayAndBreak(served("primary")),
        query if query.contains("k=second") && !broken.swap(true, Ordering::SeqCst) => Do::Break,
        query => well(true, query),
    });
    let replica = Host::well(false);
    let gateway = Gateway::with_edge(&pair(&primary, &replica), EDGE);
    let mut client = prepared(&gateway);
    for key in ["first", "second", "third"] {
        run(&mut client, &order(key));
    }
    assert_eq!(run(&mut client, &order("fourth")), b"2DCZ", "{}", client.error);
    let names: Vec<_> = primary.executed().into_iter().map(|e| e.name).collect();
    assert!(names.iter().all(|name| *name == names[0]), "one statement, one name: {names:?}");
}

#[test]
fn ten_thousand_statements_of_one_client_end_in_a_plain_error() {
    let (primary, replica) = (Host::well(true), Host::well(false));
    let gateway = Gateway::with_edge(&pair(&primary, &replica), EDGE);
    let mut client = gateway.client();
    let mut refused = 0;
    for n in 0..10_000 {
        let text = VIEW.replace("items", &format!("items{n}"));
        client.write(&[parse(&format!("s{n}"), &text, &[]), sync()].concat());
        match client.answer().as_slice() {
            b"1Z" => assert!(n < 512),
            answer => {
                assert_eq!(answer, b"EZ");
                refused += 1;
            }
        }
    }
    assert_eq!(refused, 10_000 - 512);
    assert!(client.error.contains("|C53400|Mmore than 512 prepared statements"), "{}", client.error);
    // What it has goes on working, and so does everyone else.
    let bound = bind("", "s511", &[Some("a"), Some(&id()), Some("900")]);
    assert_eq!(run(&mut client, &bound), b"2DCZ");
    assert_eq!(run(&mut prepared(&gateway), &view("900")), b"2DCZ");
}

#[test]
fn a_parameter_said_to_be_two_gigabytes_is_an_error_and_takes_nothing() {
    let (primary, replica) = (Host::well(true), Host::well(false));
    let gateway = Gateway::with_edge(&pair(&primary, &replica), EDGE);
    let mut client = prepared(&gateway);
    let mut body = b"\0v\0\0\0\0\x03".to_vec();
    body.extend(i32::MAX.to_be_bytes());
    body.extend(b"abc");
    client.write(&[frame(b'B', &body), execute("", 0), sync()].concat());
    assert_eq!(client.answer(), b"EZ");
    assert!(client.error.contains("|C08P01|Ma parameter longer than its message|"), "{}", client.error);
    // A message of 2 GB ends the connection, before any of it has come.
    client.write(&[b"B", &i32::MAX.to_be_bytes()[..]].concat());
    assert_eq!(client.answer(), b"E");
    assert!(client.error.contains("|C08P01|"), "{}", client.error);
}

#[test]
fn a_statement_whose_group_is_not_known_before_bind_is_described() {
    let (primary, replica) = (Host::well(true), Host::well(false));
    let gateway = Gateway::with_edge(&pair(&primary, &replica), EDGE);
    let mut client = gateway.client();
    let text = VIEW.replace("c=view", "c=$4").replace("cluster=2", "cluster=$5");
    client.write(&[parse("any", &text, &[]), named(b'D', b'S', "any"), sync()].concat());
    assert_eq!(client.answer(), b"1tTZ", "{}", client.error);
    assert_eq!(replica.messages() + &primary.messages(), "PDS");
    let values = [Some("7f3a"), Some("x1"), Some("900"), Some("view"), Some("2")];
    client.write(&[bind("", "any", &values), named(b'D', b'P', ""), execute("", 0), sync()].concat());
    assert_eq!(client.answer(), b"2TDCZ", "{}", client.error);
    // Known by now: no host is asked again, not even for another client.
    let mut other = gateway.client();
    other.write(&[parse("mine", &text, &[]), named(b'D', b'S', "mine"), sync()].concat());
    assert_eq!(other.answer(), b"1tTZ");
    assert_eq!((replica.messages() + &primary.messages()).matches('D').count(), 1);
    // Told anew each time: a class that is not there is an error of this Execute alone.
    let values = [Some("7f3a"), Some("x2"), Some("900"), Some("none"), Some("2")];
    assert_eq!(run(&mut client, &bind("", "any", &values)), b"2EZ");
    assert!(client.error.contains("|C22023|Mno such class|"), "{}", client.error);
}

#[test]
fn no_client_sees_what_another_has_prepared_or_bound() {
    let (primary, replica) = (Host::well(true), Host::well(false));
    let gateway = Gateway::with_edge(&pair(&primary, &replica), EDGE);
    let mut one = prepared(&gateway);
    one.write(&[bind("p", "v", &[Some("a"), Some("b"), Some("1")]), frame(b'H', b"")].concat());
    assert_eq!(one.message(), Some(b'2'));
    let mut other = gateway.client();
    for message in [view("900"), named(b'D', b'S', "v"), named(b'D', b'P', "p"), execute("p", 0)] {
        other.write(&[message, sync()].concat());
        assert_eq!(other.answer(), b"EZ");
        assert!(other.error.contains("|C26000|") || other.error.contains("|C34000|"), "{}", other.error);
    }
    // The same name is another statement there.
    other.write(&[parse("v", ORDER, &[]), sync()].concat());
    assert_eq!(other.answer(), b"1Z");
    assert_eq!(run(&mut one, &view("900")), b"2DCZ");
}

#[test]
fn rows_behind_a_limit_come_without_a_further_request() {
    let replica = Host::start(|query| match query {
        "SHOW load" => well(false, query),
        _ => Do::Say(rows("replica", "SELECT 5", &[Some(b"a"), None, Some(b"c"), Some(b"d"), Some(b"e")])),
    });
    let primary = Host::well(true);
    let gateway = Gateway::with_edge(&pair(&primary, &replica), EDGE);
    let mut client = prepared(&gateway);
    let limited = [execute("", 2), execute("", 2), execute("", 2), execute("", 2)].concat();
    client.write(&[view("900"), limited, sync()].concat());
    assert_eq!(client.answer(), b"2DDsDDsDCCZ", "{}", client.error);
    assert_eq!((client.rows.len(), client.rows[1].as_slice()), (5, &b"\0\x01\xff\xff\xff\xff"[..]));
    assert_eq!(replica.executed().len(), 1);
    // The portal is over with its pipeline.
    client.write(&[execute("", 2), sync()].concat());
    assert_eq!(client.answer(), b"EZ");
    assert!(client.error.contains("|C34000|"), "{}", client.error);
}

#[test]
fn hosts_of_simple_queries_get_literals_or_nothing() {
    let (primary, replica) = (Host::well(true), Host::well(false));
    let gateway = Gateway::with_edge(&pair(&primary, &replica), SIMPLE_HOSTS);
    let mut client = gateway.client();
    client.write(&[parse("o", ORDER, &[25, 17]), sync()].concat());
    assert_eq!(client.answer(), b"1Z");
    let text_results = |values: &[Option<&str>]| {
        let mut bind = bind("", "o", values);
        let end = bind.len() - 4;
        bind.truncate(end);
        bind.extend([0, 0]);
        bind[1..5].copy_from_slice(&u32::try_from(end + 1).unwrap().to_be_bytes());
        bind
    };
    let values = [Some("it's $1 \\ /*"), None, Some("x1"), Some("900"), Some("k1")];
    client.write(&[text_results(&values), named(b'D', b'P', ""), execute("", 0), sync()].concat());
    assert_eq!(client.answer(), b"2TDCZ", "{}", client.error);
    assert_eq!(client.rows[0], b"\0\x01\0\0\0\x06\\x6869", "bytea as text, as the client wants it");
    let asked = primary.asked();
    let (statement, comment) = asked[0].split_once(" /* ").unwrap();
    let wanted =
        "INSERT INTO items (id, doc) VALUES ( E'it''s $1 \\\\ /*'::text,  NULL::bytea) RETURNING doc";
    assert_eq!(statement, wanted);
    assert!(comment.starts_with("id=x1,c=order,d=") && comment.ends_with(",k=k1,cluster=2 */"), "{comment}");
    // What has no such form is turned down before anything is sent.
    for bad in [
        bind("", "o", &[Some("a"), None, Some("x2"), Some("900"), Some("k2")]),
        text_results(&[Some("a"), None, Some("x3"), Some("900"), Some("k,d=9")]),
        text_results(&[Some("a\0b"), None, Some("x4"), Some("900"), Some("k4")]),
        named(b'D', b'S', "o"),
    ] {
        client.write(&[bad, sync()].concat());
        assert_eq!(client.answer(), b"EZ");
        assert!(client.error.contains("|C0A000|"), "{}", client.error);
    }
    assert_eq!(primary.asked().len(), 1);
}

#[test]
fn without_an_operators_file_extended_queries_are_turned_down() {
    let (primary, replica) = (Host::well(true), Host::well(false));
    let gateway = Gateway::pair(&primary, &replica);
    let mut client = gateway.client();
    client.write(&[parse("v", VIEW, &[]), view("900"), execute("", 0), sync()].concat());
    assert_eq!(client.answer(), b"EZ");
    assert!(client.error.contains("|C0A000|"), "{}", client.error);
    assert_eq!(client.ask(&statement("view", 900, "")), b"TDCZ");
    assert!(replica.messages() == "Q" && primary.messages().is_empty());
}

#[test]
fn a_faulty_operators_file_changes_nothing_at_a_reload_and_a_good_one_counts_for_new_clients() {
    let (primary, replica) = (Host::well(true), Host::well(false));
    let gateway = Gateway::with_edge(&pair(&primary, &replica), EDGE);
    let mut client = prepared(&gateway);
    gateway.reload_edge("postgres()\nhosts(protocol = 'morse')");
    gateway.logs("edge.star:2:1: hosts: protocol:");
    gateway.reload_edge("postgres(statement_table_kib = 65536)");
    gateway.logs("an eighth of limits.memory_mb");
    assert_eq!(run(&mut prepared(&gateway), &view("900")), b"2DCZ");
    gateway.reload_edge("postgres(extended = False)\nhosts(protocol = 'extended')");
    gateway.logs("SIGHUP: configuration read again");
    assert_eq!(run(&mut client, &view("900")), b"2DCZ", "it was welcomed on other terms");
    let mut new = gateway.client();
    new.write(&[parse("v", VIEW, &[]), sync()].concat());
    assert_eq!(new.answer(), b"EZ");
}

#[test]
fn a_host_that_tells_of_parse_and_bind_long_before_its_rows_is_not_spoilt() {
    let replica = Host::eager(|query| match query {
        "SHOW load" => well(false, query),
        _ => Do::SayLater(Duration::from_millis(300), served("replica")),
    });
    let primary = Host::well(true);
    let gateway = Gateway::with_edge(&pair(&primary, &replica), EDGE);
    let mut client = prepared(&gateway);
    assert_eq!(run(&mut client, &view("1100")), b"2DCZ", "{}", client.error);
    assert!(!gateway.log().contains("spoilt"), "{}", gateway.log());
    // The answer to one Execute does not wait for the next of its pipeline.
    client.write(&[view("1100"), execute("", 0), view("1100"), execute("", 0), sync()].concat());
    let mut came = Vec::new();
    while came.len() < 7 {
        came.push((client.message().unwrap(), Instant::now()));
    }
    assert_eq!(came.iter().map(|(kind, _)| *kind).collect::<Vec<_>>(), b"2DC2DCZ");
    assert!(came[5].1 - came[2].1 > Duration::from_millis(200));
}

#[test]
fn after_sigterm_a_pipeline_that_has_begun_still_ends_with_its_sync() {
    let primary = Host::start(|query| match query {
        "SHOW load" => well(true, query),
        _ => Do::SayLater(Duration::from_millis(700), served("primary")),
    });
    let replica = Host::well(false);
    let mut gateway = Gateway::with_edge(&pair(&primary, &replica), EDGE);
    let mut client = prepared(&gateway);
    // What it asks for with Flush comes at once, though an Execute is out.
    client.write(&[order("1"), frame(b'H', b""), execute("", 0)].concat());
    let start = Instant::now();
    assert_eq!(client.message(), Some(b'2'));
    assert!(start.elapsed() < Duration::from_millis(500));
    gateway.terminate();
    assert_eq!([client.message(), client.message()], [Some(b'D'), Some(b'C')]);
    client.stream.write_all(&sync()).unwrap();
    assert_eq!(client.answer(), b"Z");
    assert!(gateway.wait().success(), "{}", gateway.log());
}
