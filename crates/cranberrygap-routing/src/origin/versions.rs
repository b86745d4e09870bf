//! Software versions that a view shows.

use cranberrygap_model::id;
use cranberrygap_wire::view;

use super::Origin;

/// Returns the origin that all streams of a service have, if one version alone can have begun them.
///
/// Endpoints of another version get no stream before all entries that serve know of the version,
/// and it is not forgotten before the streams that it began are over. So it holds for each stream
/// whose caller has come back by now if the lease of the view holds now.
#[must_use]
pub fn sole_origin(versions: &[view::Versions], service: &id::Service) -> Option<Origin> {
    let known = of_service(versions, service)?;
    (count(known) == 1).then(|| Origin {
        service: service.clone(),
        software: known.named.first().cloned(),
    })
}

fn of_service<'view>(
    versions: &'view [view::Versions],
    service: &id::Service,
) -> Option<&'view view::Versions> {
    let mut versions = versions.iter();
    versions.find(|known| known.service.as_ref() == Some(service))
}

/// Returns the number of versions, among them that of endpoints without a named one.
pub(super) fn count(versions: &view::Versions) -> usize {
    versions.named.len() + usize::from(versions.unnamed)
}
