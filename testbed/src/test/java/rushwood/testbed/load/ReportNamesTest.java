package rushwood.testbed.load;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Guards the names in reports, which saved reports and the scripts that read them use. */
class ReportNamesTest {
  private static final Map<String, String> NAMES =
      Map.ofEntries(
          Map.entry("ROUTER_JAR_CHECKSUM", "router_jar_sha256"),
          Map.entry("TRIES_SERIES", "tries"),
          Map.entry("CLIENT_RETRIES_SERIES", "repeats"),
          Map.entry("GOODPUT_SERIES", "goodput"),
          Map.entry("REJECTED_SERIES", "turned back"),
          Map.entry("OVERLOAD_CHANGES_SERIES", "changes of weather"),
          Map.entry("TIME_SERIES", "lines"),
          Map.entry("CLIENTS", "clients"),
          Map.entry("SUCCEEDED", "fulfilled"),
          Map.entry("SHARE_SUCCEEDED", "share_fulfilled"),
          Map.entry("OUTCOME_UNKNOWN", "in_doubt"),
          Map.entry("TRIES_EXHAUSTED", "out_of_tries"),
          Map.entry("UNFINISHED", "unfinished"),
          Map.entry("TRIES", "tries"),
          Map.entry("REJECTED", "turned_back"),
          Map.entry("REJECTED_WITH_RETRY_AFTER", "turned_back_with_wait"),
          Map.entry("CONNECTS", "connects"),
          Map.entry("CLOSED_DESPITE_RETRY_AFTER", "closed_though_told_to_return"),
          Map.entry("UNANSWERED_TRIES", "tries_without_answer"),
          Map.entry("SURPLUS_ANSWERS", "answers_too_many"),
          Map.entry("ROUTERS", "routers"),
          Map.entry("ATTEMPTS", "shots"),
          Map.entry("CONNECTS_WHILE_DOWN", "dials_at_hosts_down"),
          Map.entry("ROUTER_CPU_SECONDS", "router_cpu_seconds"),
          Map.entry("WORST_COLD_OVERLOAD", "worst_cold_push"),
          Map.entry("OVERLOAD_CRASHES", "falls"),
          Map.entry("RECEIVED_REQUESTS", "offered"),
          Map.entry("ACCEPTED_CONNECTIONS", "accepted"),
          Map.entry("OVERLOADED_REPLIES", "overfull"),
          Map.entry("LAST_SUCCESS_SECONDS", "seconds_until_done"),
          Map.entry("WORK_SECONDS", "seconds_of_work_owed"),
          Map.entry("DUPLICATED_TRIES", "doubled_tries"),
          Map.entry("DUPLICATED_WRITES", "doubled_writes"),
          Map.entry("FALSE_SUCCESSES", "untrue_answers"));

  @Test
  void constantsMatchSavedReports() throws IllegalAccessException {
    Map<String, Object> actual = new TreeMap<>();
    for (Field field : ReportNames.class.getDeclaredFields()) {
      if (Modifier.isPublic(field.getModifiers())) {
        actual.put(field.getName(), field.get(null));
      }
    }
    assertEquals(new TreeMap<>(NAMES), actual);
  }

  @Test
  void namesWithParametersMatchSavedReports() {
    assertEquals("crowd1.clients", ReportNames.ofPopulation(1, ReportNames.CLIENTS));
    assertEquals("h1.falls", ReportNames.ofHost("h1", ReportNames.OVERLOAD_CRASHES));
    assertEquals("turned_back_of_group_2", ReportNames.rejectedOfGroup(2));
    assertEquals("in work at h1", ReportNames.activeRequestsSeries("h1"));
    assertEquals("warmth of h1", ReportNames.relativeSpeedSeries("h1"));
    assertEquals("done_p99", ReportNames.completionPercentile(99));
  }
}
