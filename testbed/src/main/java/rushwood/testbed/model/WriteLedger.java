package rushwood.testbed.model;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Records how often each write ran and whether its client was notified that it succeeded, to find
 * writes that ran twice and writes that were confirmed but never ran. A write is identified by the
 * number of its client, because each try has a request id of its own.
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

  /** Records that a host ran a try of a client's write. */
  public void recordExecution(int client, String tryId) {
    entry(client).executionsByTry.merge(tryId, 1, Integer::sum);
  }

  /** Records the answer that a client got to a try. */
  public void recordAnswer(int client, boolean success) {
    entry(client).successes += success ? 1 : 0;
  }

  /** Returns how many tries ran more than once, which only a retry by a router can cause. */
  public long duplicatedTries() {
    return entries.values().stream()
        .flatMap(entry -> entry.executionsByTry.values().stream())
        .filter(executions -> executions > 1)
        .count();
  }

  /**
   * Returns how many writes ran more than once, counting all their tries. The cause is a retry by
   * the router or by the client.
   */
  public long duplicatedWrites() {
    return entries.values().stream().filter(entry -> entry.executions() > 1).count();
  }

  /** Returns how many writes were confirmed to their clients although no host ran them. */
  public long falseSuccesses() {
    return entries.values().stream()
        .filter(entry -> entry.successes > 0 && entry.executionsByTry.isEmpty())
        .count();
  }
}
