//! The agent binary.

use std::process::ExitCode;

use parsleytally_agent::Agent;
use parsleytally_agent::config::AgentConfig;
use parsleytally_platform::process::command;
use parsleytally_platform::process::{logs, spans};

const USAGE: &str = "parsleytally-agent --config FILE [--check]";

fn main() -> ExitCode {
    let command = match command::parse(USAGE, env!("CARGO_PKG_VERSION"), &[]) {
        Ok(command) => command,
        Err(exit) => return exit,
    };
    let config = match command.load(AgentConfig::parse) {
        Ok(config) => config,
        Err(exit) => return exit,
    };
    run(config)
}

fn run(config: AgentConfig) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(config.threads.get())
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => runtime.block_on(serve(config)),
        Err(error) => {
            eprintln!("threads did not start: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn serve(config: AgentConfig) -> ExitCode {
    logs::start();
    spans::start();
    let stop = command::terminated();
    let agent = match Agent::start(config).await {
        Ok(agent) => agent,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    println!("operators {}", agent.operators());
    stop.await;
    log::info!("agent drains");
    agent.close().await;
    ExitCode::SUCCESS
}
