package rushwood.testbed.load;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Parses the counters that a router logs when it stops. Names used by routers up to version d7da1f9
 * are translated to the current ones, so that builds can be compared.
 */
final class RouterCounters {
  private static final String LOG_PREFIX = "INFO counters ";

  /** The current names of counters by their former names. */
  private static final Map<String, String> FORMER_NAMES =
      Map.ofEntries(
          Map.entry("clients_idled", "clients_evicted"),
          Map.entry("clients_idled_unheard", "clients_evicted_unanswered"),
          Map.entry("accesses_taken", "requests_received"),
          Map.entry("accesses_fulfilled", "requests_succeeded"),
          Map.entry("accesses_turned_back", "requests_rejected"),
          Map.entry("accesses_given_up", "requests_failed"),
          Map.entry("accesses_left", "requests_cancelled"),
          Map.entry("shots_sent", "attempts_started"),
          Map.entry("shots_fulfilled", "attempts_success"),
          Map.entry("shots_error", "attempts_error"),
          Map.entry("shots_spoilt", "attempts_malformed"),
          Map.entry("shots_overfull", "attempts_overloaded"),
          Map.entry("shots_behind", "attempts_replica_lagging"),
          Map.entry("shots_expired", "attempts_timed_out"),
          Map.entry("shots_broken", "attempts_connection_lost"),
          Map.entry("shots_withdrawn", "attempts_cancelled"),
          Map.entry("shots_unreached", "attempts_connect_failed"),
          Map.entry("shots_unsent", "attempts_not_sent"),
          Map.entry("shots_kept_back", "attempts_withheld"),
          Map.entry("shots_deferred", "attempts_deferred"),
          Map.entry("dials_paced", "connects_suppressed"),
          Map.entry("host_faults", "backend_protocol_errors"),
          Map.entry("host_surplus", "backend_excess_data"),
          Map.entry("lists_whole", "endpoint_lists_replaced"),
          Map.entry("lists_changed", "endpoint_lists_updated"),
          Map.entry("lists_checked", "endpoint_lists_unchanged"),
          Map.entry("lists_unread", "endpoint_lists_malformed"),
          Map.entry("lists_failed", "endpoint_lists_failed"),
          Map.entry("configs_taken", "configs_applied"),
          Map.entry("configs_refused", "configs_rejected"),
          Map.entry("invariants_broken", "invariants_violated"),
          Map.entry("storm_repeats", "overload_repeated_requests"),
          Map.entry("storm_returned", "overload_returned_as_advised"),
          Map.entry("storm_booked", "overload_reserved"),
          Map.entry("storm_unbooked", "overload_unreserved"),
          Map.entry("storm_budget_empty", "overload_retries_denied"),
          Map.entry("storm_doubtful", "overload_ambiguous_writes_failed"),
          Map.entry("storm_changes", "overload_state_changes"));

  private RouterCounters() {}

  /** Returns the counters of a log's last counter line by current name; empty if it has none. */
  static Map<String, Long> parse(String log) {
    Map<String, Long> counters = new LinkedHashMap<>();
    int start = log.lastIndexOf(LOG_PREFIX);
    if (start < 0) {
      return counters;
    }
    for (String pair : log.substring(start + LOG_PREFIX.length()).strip().split("\\s+")) {
      int equals = pair.indexOf('=');
      if (equals > 0) {
        String name = pair.substring(0, equals);
        long value = Long.parseLong(pair.substring(equals + 1));
        counters.merge(FORMER_NAMES.getOrDefault(name, name), value, Long::sum);
      }
    }
    return counters;
  }
}
