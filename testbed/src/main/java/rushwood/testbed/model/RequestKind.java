package rushwood.testbed.model;

/** What a request asks of a host: the primary, data that is fresh enough, or any data. */
public enum RequestKind {
  /** Runs on the primary only. */
  WRITE,
  /**
   * Runs on the primary, or on a replica that lags by {@link HostModel#MAX_STALENESS_NANOS} at
   * most.
   */
  BOUNDED_READ,
  /** Runs on any host, however far it lags. */
  EVENTUAL_READ
}
