import java.util.Locale;

/** The configuration of one router of portal-kumasi, with the figures of its site file. */
final class Site {
  private static final String SETTINGS =
      """
      {"n_instances": 3, "me": 0, "resolution": 0.005, "stage": 0, "family": "replicas",
       "discovery": "automatic", "tiers": ["portal-db"], "zone": "adum",
       "zones": ["adum", "suame", "ahodwo"], "kinds": ["quad-fast", "quad-std"],
       "weight_source": "off", "worth_by": "request", "over_share_worth": 0.05,
       "clients": {"marks_retry": true},
       "classes": [
         {"name": "bundle-menu", "aim": 0.4, "deadline": 1.0, "semantics": "repeatable",
          "key_scope": "all", "window": 5.0, "late_value": 0.2, "streaming": false, "value": 3.0},
         {"name": "my-recent", "aim": 0.4, "deadline": 1.0, "semantics": "repeatable",
          "key_scope": "all", "window": 5.0, "late_value": 0.0, "streaming": false, "value": 1.0},
         {"name": "usage-history", "aim": 0.3, "deadline": 1.0, "semantics": "repeatable",
          "key_scope": "all", "window": 5.0, "late_value": 0.2, "streaming": false, "value": 2.0},
         {"name": "balance-check", "aim": 0.3, "deadline": 1.0, "semantics": "repeatable",
          "key_scope": "all", "window": 5.0, "late_value": 0.0, "streaming": false, "value": 1.0},
         {"name": "top-up", "aim": 0.3, "deadline": 5.0, "semantics": "once",
          "key_scope": "all", "window": 5.0, "late_value": 0.3, "streaming": false, "value": 3.0}],
       "domain": {"behind": "hold", "lag_allowed": [1.5, 0.0, 0.0, 0.0, 0.0],
                  "needs_by_class": ["recent", "own_writes", "loose", "latest", "update"],
                  "patience": 0.02, "position_zero": 0.0, "role_listed": "delayed",
                  "synchronous": true, "tells_position": true, "token_mode": "router"},
       "limits": {"conn_idle": 30.0, "cpu_us_per_request": 0.0, "cpu_us_per_s": 80000,
                  "dial_timeout": 0.25, "max_open": 20000, "max_retry_after": 2.0,
                  "may_cancel": true, "may_tell": true, "most_tries": 10, "parallel_tries": false,
                  "probes": true, "retry_after": true, "streams_per_conn": 1},
       "load_report": {"how": "on_probe", "names": ["x0", "x1"]},
       "rules": {"ask_within": 10.0, "cold": 16.0, "cold_from": 0.16, "drain_grace": 0.25,
                 "fall": 3.0, "grace_to_answer": 0.02, "tip_multiple": 2.5}}
      """;

  private Site() {}

  static String config(int listenPort, int discoveryPort, String known) {
    return String.format(
        Locale.ROOT,
        "{\"name\": \"n1\", \"listen\": \"127.0.0.1:%d\", \"discovery\": \"127.0.0.1:%d\","
            + " \"seed\": \"%016x\", \"limits\": {\"cores\": 1.0, \"memory_mb\": 192,"
            + " \"sockets\": 1024}, \"known\": %s, \"settings\": %s}",
        listenPort,
        discoveryPort,
        System.nanoTime(),
        known,
        SETTINGS);
  }
}
