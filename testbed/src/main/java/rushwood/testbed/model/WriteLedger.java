package rushwood.testbed.model;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Records how often each write ran and what its client was told, to find writes that ran twice or
 * were confirmed though they never ran. A write is known by its client's number rather than by the
 * request's id, since each try has an id of its own.
 */
public final class WriteLedger {
  private static final class Entry {
    final Map<String, Integer> executionsByTry = new LinkedHashMap<>();
    int successes;

    int executions() {
      return executionsByTry.values().stream().mapToInt(Integer::intValue).sum();
    }
  }

  private final Map<Integer, Entry> entries = new TreeMap<>();

  private Entry entry(int client) {
    return entries.computeIfAbsent(client, newClient -> new Entry());
  }

  /** A host ran the try with that id of that client's write. */
  public void recordExecution(int client, String tryId) {
    entry(client).executionsByTry.merge(tryId, 1, Integer::sum);
  }

  /** The client was told the outcome of a try. */
  public void recordAnswer(int client, boolean success) {
    entry(client).successes += success ? 1 : 0;
  }

  /** Tries that ran more than once, which only a router's retry can have caused. */
  public long duplicatedTries() {
    return entries.values().stream()
        .flatMap(entry -> entry.executionsByTry.values().stream())
        .filter(executions -> executions > 1)
        .count();
  }

  /** Writes that ran more than once over all tries: a client repeated one that may have run. */
  public long duplicatedWrites() {
    return entries.values().stream().filter(entry -> entry.executions() > 1).count();
  }

  /** Writes that were confirmed to their clients though no host ran them. */
  public long falseSuccesses() {
    return entries.values().stream()
        .filter(entry -> entry.successes > 0 && entry.executionsByTry.isEmpty())
        .count();
  }
}
