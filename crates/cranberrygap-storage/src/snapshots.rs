//! Snapshot files, written atomically and checked when read.

use std::sync::Arc;

use bytes::Bytes;
use cranberrygap_agreement::{members, position, snapshot};
use cranberrygap_model::number;
use serde::{Deserialize, Serialize};

use crate::{error, files, frame, name};

/// Version of the snapshot file format.
const VERSION: u32 = 1;

#[derive(Debug, Serialize, Deserialize)]
struct Header {
    version: u32,
    position: position::Position,
    members: members::Members,
    length: u64,
    checksum: u32,
}

/// Writes a snapshot atomically: after a crash it is complete or absent.
pub(crate) fn write(
    files: &mut dyn files::Files,
    snapshot: &snapshot::Snapshot,
) -> Result<(), error::Error> {
    let name = name::snapshot(snapshot.position.index);
    let header = Header {
        version: VERSION,
        position: snapshot.position,
        members: snapshot.members.clone(),
        length: snapshot.data.len() as u64,
        checksum: crc32fast::hash(&snapshot.data),
    };
    let header = postcard::to_stdvec(&header).expect("a header is always encodable");
    let mut bytes = frame::encode(&header);
    bytes.extend_from_slice(&snapshot.data);
    replace_file(files, &name, &bytes)
}

/// Writes a file under a temporary name, syncs and renames it, then syncs the folder.
pub(crate) fn replace_file(
    files: &mut dyn files::Files,
    name: &str,
    bytes: &[u8],
) -> Result<(), error::Error> {
    let temporary = format!("{name}{}", name::TEMPORARY_SUFFIX);
    let current_names = files.list().map_err(error::Error::io(name, "list"))?;
    if current_names.contains(&temporary) {
        let wrap = error::Error::io(&temporary, "remove");
        files.remove(&temporary).map_err(wrap)?;
    }
    let wrap = |action| error::Error::io(&temporary, action);
    files.append(&temporary, bytes).map_err(wrap("write"))?;
    files.sync(&temporary).map_err(wrap("sync"))?;
    files.rename(&temporary, name).map_err(wrap("rename"))?;
    files.sync_folder().map_err(wrap("sync the folder of"))
}

/// Index of the latest snapshot in the folder.
pub(crate) fn latest(names: &[String]) -> Option<number::Index> {
    let indices = names.iter().filter_map(|name| name::snapshot_index(name));
    indices.max()
}

/// Reads a snapshot and verifies its checksums.
pub(crate) fn read(
    files: &dyn files::Files,
    index: number::Index,
) -> Result<Arc<snapshot::Snapshot>, error::Error> {
    let name = name::snapshot(index);
    let bytes = files.read(&name).map_err(error::Error::io(&name, "read"))?;
    let damaged = |offset, what| error::Error::damaged(&name, offset, what);
    let payload =
        frame::decode(&bytes, 0).ok_or_else(|| damaged(0, "the header's checksum is wrong"))?;
    let header: Header = postcard::from_bytes(payload)
        .map_err(|_cause| damaged(0, "the header cannot be decoded"))?;
    if header.version != VERSION {
        return Err(damaged(0, "the format version is not supported"));
    }
    let start = frame::HEADER_BYTES + payload.len();
    let data = Bytes::from(bytes).slice(start..);
    if data.len() as u64 != header.length {
        return Err(damaged(start, "the length is wrong"));
    }
    if crc32fast::hash(&data) != header.checksum {
        return Err(damaged(start, "the checksum is wrong"));
    }
    Ok(Arc::new(snapshot::Snapshot {
        position: header.position,
        members: header.members,
        data,
    }))
}
