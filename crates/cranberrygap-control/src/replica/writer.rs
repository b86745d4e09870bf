//! Thread that writes to the data folder.

use std::sync::mpsc;
use std::thread;

use cranberrygap_agreement::{formation, message, write};
use cranberrygap_storage::{error, folder};
use tokio::sync::mpsc as channel;

use super::Error;

/// Data to make durable.
#[derive(Debug)]
pub(super) enum Job {
    Write(write::Write),
    /// The group that this replica belongs to, and the first entry if it is one of the founders.
    Join(formation::Formed, Option<write::Write>),
}

/// Result of a job.
#[derive(Debug)]
pub(super) enum Done {
    Written {
        ticket: u64,
        send_after: Vec<message::Message>,
    },
    Joined,
    Failed(error::Error),
}

/// Most writes in one sync; bounds the memory of a batch.
const MAX_WRITES_PER_SYNC: usize = 1_024;

/// Starts the thread, which ends when the sender is dropped or a write fails.
pub(super) fn start(
    mut folder: folder::Folder,
) -> Result<(mpsc::Sender<Job>, channel::UnboundedReceiver<Done>), Error> {
    let (jobs, incoming) = mpsc::channel();
    let (done, receiver) = channel::unbounded_channel();
    let run = move || {
        while let Ok(first) = incoming.recv() {
            let mut batch = vec![first];
            batch.extend(incoming.try_iter().take(MAX_WRITES_PER_SYNC));
            if let Err(cause) = write_batch(&mut folder, batch, &done) {
                drop(done.send(Done::Failed(cause)));
                return;
            }
        }
    };
    let thread = thread::Builder::new().name("storage".to_owned());
    thread.spawn(run).map_err(Error::Thread)?;
    Ok((jobs, receiver))
}

fn write_batch(
    folder: &mut folder::Folder,
    batch: Vec<Job>,
    done: &channel::UnboundedSender<Done>,
) -> Result<(), error::Error> {
    let mut writes = Vec::new();
    for job in batch {
        match job {
            Job::Write(write) => writes.push(write),
            Job::Join(formed, first) => {
                folder.write(&first.into_iter().collect::<Vec<_>>())?;
                folder.record_group(formed)?;
                drop(done.send(Done::Joined));
            }
        }
    }
    folder.write(&writes)?;
    for write in writes {
        let ticket = write.ticket;
        let send_after = write.send_after;
        drop(done.send(Done::Written { ticket, send_after }));
    }
    Ok(())
}
