package rushwood.testbed.model;

/** Which hosts can serve a request: the primary only, sufficiently fresh replicas, or any host. */
public enum RequestKind {
  /** Runs on the primary only. */
  WRITE,
  /** Runs on the primary or a replica that lags by up to {@link HostModel#MAX_STALENESS_NANOS}. */
  BOUNDED_READ,
  /** Runs on any host, however far it lags. */
  EVENTUAL_READ
}
