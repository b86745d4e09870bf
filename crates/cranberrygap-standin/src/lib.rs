//! Stand-ins for tests: model engine, booking service, weight store, fault-injecting proxy.
