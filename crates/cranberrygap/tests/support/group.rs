//! The control processes of a fleet: who leads, who joins, the command line.

use std::fs;
use std::process::{Command, Output};

use cranberrygap_model::address;
use cranberrygap_standin::loopback;
use cranberrygap_wire::{method, operator};

use crate::support::{fleet, process};

/// Name of the leader and its position, from 0.
pub async fn leader(fleet: &fleet::Fleet) -> (String, usize) {
    let group = list(fleet).await;
    let name = group.leader.unwrap().to_string();
    let number = name.rsplit_once('-').unwrap().1;
    let position = number.parse::<usize>().unwrap() - 1;
    (name, position)
}

/// The members of the fleet and its group.
pub async fn list(fleet: &fleet::Fleet) -> operator::Group {
    fleet.ask_leader(method::MEMBER_LIST, &()).await
}

/// Starts a further control process, which waits to be added, as the next number.
pub fn start_joining(fleet: &mut fleet::Fleet) -> address::Peer {
    let name = format!("control-{}", fleet.controls.len() + 1);
    let control = fleet::Control {
        peers: loopback::unique(),
        admin: loopback::unique(),
    };
    let voters = (1..).zip(&fleet.controls);
    let voters = voters.map(|(number, known)| format!("control-{number}@{}", known.peers));
    let voters: Vec<String> = voters.collect();
    let text = format!(
        "[control]\ninstance = {name}\ndomain = oslo-1\n\
         [listen]\npeers = {}\nadmin = {}\n\
         [group]\ndata = data-{name}\nvoters = {}\njoin = true\n\
         [secrets]\nfleet = fleet.secret\noperator = operator.token\n",
        control.peers,
        control.admin,
        voters.join(", "),
    );
    fs::write(fleet.folder().join(format!("{name}.ini")), text).unwrap();
    let binary = env!("CARGO_BIN_EXE_cranberrygap-control");
    let process = process::Process::start(&name, binary, fleet.folder());
    fleet.processes.insert(name.clone(), process);
    fleet.controls.push(control);
    format!("{name}@{}", control.peers).parse().unwrap()
}

/// Operators' addresses of all control processes.
pub fn addresses(fleet: &fleet::Fleet) -> String {
    let controls = fleet.controls.iter();
    let addresses: Vec<String> = controls.map(|control| control.admin.to_string()).collect();
    addresses.join(",")
}

/// The command line, asking `control` and showing the token in a file.
pub fn command(fleet: &fleet::Fleet, control: &str, token: &str, arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cranberrygap"));
    command
        .current_dir(fleet.folder())
        .args(["--token", token, "--control", control])
        .args(arguments);
    command
}

/// Runs the command line to its end.
pub async fn run(fleet: &fleet::Fleet, arguments: &[&str]) -> Output {
    let mut command = command(fleet, &addresses(fleet), "operator.token", arguments);
    let ran = tokio::task::spawn_blocking(move || command.output());
    ran.await.unwrap().unwrap()
}

/// What a command wrote to standard output.
pub fn text(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}
