//! Authenticated connections between the processes over jsonrpsee.
