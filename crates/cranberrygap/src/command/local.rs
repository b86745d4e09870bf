//! `cranberrygap local`: a whole fleet in one process, to try it out.

use std::process::ExitCode;

use clap::Args;
use cranberrygap_model::address;
use cranberrygap_wire::settings;

use crate::daemon::log;
use crate::local;

/// Runs a whole fleet in this process on a temporary data folder.
#[derive(Debug, Args)]
pub struct Arguments {
    /// Make the calls that are shown, check the answers, and end.
    #[arg(long)]
    pub once: bool,
    /// Where callers connect; a free address of this machine when left out.
    #[arg(long, value_name = "IP:PORT")]
    pub address: Option<address::Socket>,
}

/// Runs the command.
///
/// # Errors
///
/// When the fleet does not start.
pub fn run(arguments: &Arguments) -> eyre::Result<ExitCode> {
    // Standard output is for the newcomer; standard error tells of trouble only.
    log::install(&settings::Log {
        level: settings::LogLevel::Error,
        ..settings::Log::default()
    })?;
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(serve(arguments))
}

async fn serve(arguments: &Arguments) -> eyre::Result<ExitCode> {
    let wanted = local::Settings::builder();
    let wanted = match arguments.address {
        Some(address) => wanted.callers(address).build(),
        None => wanted.build(),
    };
    let fleet = local::Local::start(wanted).await?;
    print_greeting(&fleet);
    let code = if arguments.once {
        make_calls(&fleet).await
    } else {
        print_calls(&fleet);
        tokio::signal::ctrl_c().await?;
        ExitCode::SUCCESS
    };
    fleet.stop().await;
    Ok(code)
}

fn print_greeting(fleet: &local::Local) {
    println!("callers connect to  http://{}", fleet.callers());
    println!("key of a workspace  {}", fleet.secret());
    println!(
        "operators run       cranberrygap show --control {}",
        fleet.admin()
    );
    println!();
}

fn print_calls(fleet: &local::Local) {
    for checked in local::call::shown(fleet) {
        println!("# {}\n{}\n", checked.call.title, checked.call.curl());
    }
    println!("Ctrl-C ends it; its data folder goes with it.");
}

async fn make_calls(fleet: &local::Local) -> ExitCode {
    let mut code = ExitCode::SUCCESS;
    for checked in local::call::shown(fleet) {
        println!("# {}\n{}", checked.call.title, checked.call.curl());
        let outcome = checked.call.make().await;
        println!("{}\n", outcome.text.trim_end());
        if let Err(shortfall) = checked.check(&outcome) {
            eprintln!("fell short: {}: {shortfall}", checked.call.title);
            code = ExitCode::FAILURE;
        }
    }
    code
}
