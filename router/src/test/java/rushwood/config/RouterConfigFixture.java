package rushwood.config;

/** Valid configurations for tests. */
public final class RouterConfigFixture {
  /** Settings with two classes: idempotent reads of bounded staleness and non-idempotent writes. */
  public static final String VALID_SETTINGS =
      """
            {"classes":[{"name":"pass","aim":0.4,"deadline":1.5,"semantics":"repeatable","key_scope":"all","window":5.0},
                        {"name":"pay","aim":0.75,"deadline":5,"semantics":"once","key_scope":"all","window":5.0}],
             "discovery":"automatic","n_instances":1,"resolution":0.005,
             "domain":{"behind":"reject","lag_allowed":[0.5,0.0],"needs_by_class":["recent","update"],
                       "token_mode":"client"},
             "limits":{"conn_idle":30.0,"dial_timeout":0.25,"max_retry_after":0.5,"may_cancel":true,"most_tries":10,
                       "probes":true,"retry_after":true},
             "load_report":{"how":"inline","names":["x0","x1"]},
             "rules":{"ask_within":10.0,"cold":14.0,"cold_from":0.15,"fall":1.0,"tip_multiple":4.0}}""";

  /** A complete configuration file that contains {@link #VALID_SETTINGS}. */
  public static final String VALID_CONFIG =
      "{\"name\":\"n0\",\"listen\":\"127.0.0.1:1\",\"discovery\":\"127.0.0.1:2\","
          + "\"seed\":\"fc1f30d27a5be964\",\"limits\":{\"sockets\":256},"
          + "\"known\":{\"version\":41,\"full\":true,\"servers\":[]},\"settings\":"
          + VALID_SETTINGS
          + "}";

  private RouterConfigFixture() {}
}
