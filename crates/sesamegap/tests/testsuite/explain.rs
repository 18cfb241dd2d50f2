//! `sesamegap-ctl explain` on small logs of three VMs.

use std::fs;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

/// Logs of three VMs: the seconds of a minute, and what follows the time in a line.
const LOGS: [(&str, &str); 3] = [
    (
        "a",
        r#"30.000 "message":"document in force","event":710,"revision":1,"source":"store"
35.000 "message":"document in force","event":710,"revision":2,"source":"peer"
36.000 "message":"weights named","event":711,"model":"m","version":4,"source":"store"
38.000 "message":"belief about an upstream changed","event":713,"upstream":"e-1","change":"New"
40.000 "message":"sent","event":751,"request":"refused","revision":2,"upstream":"e-1","running":71,"unread":153103
40.100 "message":"not run","event":752,"request":"refused","upstream":"e-1","why":"Refused"
40.900 "message":"the store does not answer","event":720,"table":"Fleet"
41.845 "message":"ended","event":753,"request":"refused","status":503,"runs":0,"took_ms":1857,"why":"not run"
55.000 "message":"document in force","event":710,"revision":3,"source":"store"
"#,
    ),
    (
        "b",
        r#"34.000 "message":"belief about an upstream changed","event":713,"upstream":"e-2","change":"Reloaded"
40.230 "message":"a VM takes an upstream out","event":713,"upstream":"e-1","change":"out"
49.000 "message":"sent","event":751,"request":"cut","revision":2,"upstream":"e-2","running":4,"unread":486
52.500 "message":"stream broke off","event":752,"request":"cut","upstream":"e-2","why":"error reading","passed":81
52.501 "message":"ended","event":753,"request":"cut","status":200,"runs":1,"first_ms":609,"took_ms":3559,"why":"error reading"
"#,
    ),
    (
        "c",
        r#"39.500 "message":"ordered","event":741,"engine":"e-1","version":5
40.200 "message":"a VM takes an upstream out","event":713,"upstream":"e-1","change":"out"
50.000 "message":"others say so","event":713,"upstream":"Some(UpstreamId(\"e-2\"))","change":"silent","by":"b"
56.000 "message":"ordered","event":741,"engine":"e-3","version":5
57.000 "message":"sent","event":751,"request":"late","revision":3,"upstream":"e-3","running":98,"unread":38073,"weights":4,"overtaken_ms":900
58.000 "message":"standing of a request changed","event":757,"fingerprint":"f0","standing":"Quarantined","ended":[7,8,9]
58.500 "message":"a request under which upstreams ended","event":758,"request":"held","fingerprint":"f0","grant":"Refused"
58.501 "message":"ended","event":753,"request":"held","status":503,"runs":0,"took_ms":1,"why":"quarantined"
59.700 "message":"ended","event":753,"request":"late","status":200,"runs":1,"first_ms":2335,"took_ms":2700,"why":""
"#,
    ),
];

const REFUSED: &str = "\
request refused
21:18:39.988  a  taken in
21:18:40.000  a  sent to e-1 with 71 requests and 153103 unread tokens; document revision 2
    believed for 5.000 s: document in force (revision 2, source peer)
    believed for 4.000 s: weights named (model m, source store, version 4)
    believed for 2.000 s: belief about an upstream changed (change New, upstream e-1)
    0.200 s later on c and 1 more: a VM takes an upstream out (change out, upstream e-1)
21:18:40.100  a  not run at e-1: Refused
21:18:41.845  a  ended after 1857 ms with status 503: not run; runs 0
trouble 0.945 s before the end on a: the store does not answer (table Fleet)
outcome: failed after 1857 ms with status 503: not run
";

const HELD: &str = "\
request held
21:18:58.500  c  taken in
21:18:58.500  c  a request under which upstreams ended: Refused
    known for 0.500 s: standing of a request changed (ended [7,8,9], fingerprint f0, standing Quarantined)
21:18:58.501  c  ended after 1 ms with status 503: quarantined; runs 0
outcome: failed after 1 ms with status 503: quarantined
";

const CUT: &str = "\
request cut
21:18:48.942  b  taken in
21:18:49.000  b  sent to e-2 with 4 requests and 486 unread tokens; document revision 2
    believed for 15.000 s: belief about an upstream changed (change Reloaded, upstream e-2)
    not in these logs: when its document came into force there
    1.000 s later on c: others say so (by b, change silent, upstream e-2)
21:18:52.500  b  stream broke off at e-2: error reading; last event passed on 81
21:18:52.501  b  ended after 3559 ms with status 200: error reading; first event after 609 ms; runs 1
outcome: broke off after 3559 ms with status 200: error reading
";

const LATE: &str = "\
request late
21:18:57.000  c  taken in
21:18:57.000  c  sent to e-3 with 98 requests and 38073 unread tokens; weights 4, overtaken 900 ms ago; document revision 3
    believed for 1.000 s: ordered (engine e-3, version 5)
    not in these logs: when its document came into force there
21:18:59.700  c  ended after 2700 ms with status 200; first event after 2335 ms; runs 1
outcome: answered after 2700 ms with status 200, begun after 2335 ms on weights 4, overtaken 3235 ms before
";

/// A log as a process writes it.
fn log(short: &str) -> String {
    let line = |line: &str| {
        let (second, rest) = line.split_once(' ').unwrap();
        format!(r#"{{"timestamp":"2026-03-17T21:18:{second}000Z","level":"INFO",{rest}}}"#) + "\n"
    };
    short.lines().map(line).collect()
}

/// Writes the logs to files that have the VMs' names.
fn files(test: &str) -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    fs::create_dir_all(&folder).unwrap();
    let paths = LOGS.map(|(vm, short)| {
        let path = folder.join(vm.to_owned() + ".log");
        fs::write(&path, log(short)).unwrap();
        path
    });
    paths.to_vec()
}

/// Runs the program with an id, files and standard input.
fn explain(id: &str, files: &[PathBuf], input: &str) -> (i32, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sesamegap-ctl"));
    command.args(["explain", id]).args(files);
    command.stdin(Stdio::piped()).stdout(Stdio::piped());
    let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
    let mut stdin = child.stdin.take().unwrap();
    // A program that reads files only may end before.
    drop(stdin.write_all(input.as_bytes()));
    drop(stdin);
    let Output {
        status,
        stdout,
        stderr,
    } = child.wait_with_output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (status.code().unwrap(), text(stdout), text(stderr))
}

fn found(told: &str) -> (i32, String, String) {
    (0, told.to_owned(), String::new())
}

#[test]
fn explain_tells_of_one_refused_under_load() {
    // The engine that the VM thought open was ordered to load by another VM. The story has what this
    // VM believed and what another said meanwhile, and neither the document of before nor the later
    // one.
    let told = explain("refused", &files("explain-refused"), "");
    assert_eq!(told, found(REFUSED));
}

#[test]
fn explain_tells_why_one_was_quarantined() {
    let told = explain("held", &files("held"), "");
    assert_eq!(told, found(HELD));
}

#[test]
fn explain_tells_of_one_cut_with_its_engine() {
    // Another VM heard that the engine is silent, in a line that wraps the engine's name.
    assert_eq!(explain("cut", &files("explain-cut"), ""), found(CUT));
}

#[test]
fn explain_tells_of_one_begun_late_on_old_weights() {
    // The status is a success; only the age of the weights at the first event tells what went wrong.
    assert_eq!(explain("late", &files("explain-late"), ""), found(LATE));
}

#[test]
fn explain_reads_prefixed_lines_from_standard_input_in_any_order() {
    // A collector puts a time and the VM's name before each line, and the newest lines first. The
    // stories are the same as from files.
    let mut input = String::new();
    for (vm, short) in LOGS.iter().rev() {
        let prefixed = |line| format!("  -9.9878 {vm} | {line}\n");
        input.extend(log(short).lines().rev().map(prefixed));
    }
    for (id, told) in [("refused", REFUSED), ("cut", CUT), ("late", LATE)] {
        assert_eq!(explain(id, &[], &input), found(told));
    }
}

#[test]
fn explain_counts_lines_that_it_cannot_read() {
    // Half a line, a panic's text, a sent line without its upstream, and one that is too long: the
    // story goes on without them and says how many there were. An empty line and one without an
    // event number are none of these.
    let faulty = log("40.000 \"event\":751,\"request\":\"late\"\n40.000 \"message\":\"listening\"");
    let long = "x".repeat(200_000);
    let input = format!("c {{\"time\npanicked\n\n{faulty}{long}\n");
    let input = input + &log(LOGS[2].1).replace("{\"timestamp", "c {\"timestamp");
    let (code, out, err) = explain("late", &[], &input);
    assert_eq!((code, out.as_str()), (0, LATE));
    assert_eq!(err, "lines that cannot be read: 4\n");
}

#[test]
fn explain_tells_by_its_code_what_it_found() {
    // A script must not take half a story, or none, for a whole one.
    let mut files = files("explain-codes");
    let nobody = "no line names request nobody\n".to_owned();
    assert_eq!(explain("nobody", &files, ""), (1, String::new(), nobody));
    files.push("no-such-file.log".into());
    let (code, out, err) = explain("refused", &files, "");
    assert_eq!((code, out.as_str()), (1, REFUSED));
    assert!(err.starts_with("cannot read no-such-file.log: "), "{err}");
    assert_eq!(explain("", &files, "").0, 2);
    // A VM that was killed logs no end, and its request must not look as if it went on well.
    let sent = log(r#"49.000 "message":"sent","event":751,"request":"r","upstream":"e""#);
    let (code, out, _) = explain("r", &[], &sent);
    assert_eq!(code, 0);
    assert!(out.contains("\noutcome: no end is logged"), "{out}");
}
