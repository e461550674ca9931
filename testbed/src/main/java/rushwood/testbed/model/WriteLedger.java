package rushwood.testbed.model;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * What became of each write: how often it ran, and what its client was told. A write is known by
 * what the client means (its own number), not by the id of a try, since a try that is repeated has
 * a new one.
 */
public final class WriteLedger {
  private static final class Entry {
    final Map<String, Integer> executionsByTry = new LinkedHashMap<>();
    int successes;
    int answers;
  }

  private final Map<Integer, Entry> entries = new TreeMap<>();

  private Entry entry(int client) {
    return entries.computeIfAbsent(client, each -> new Entry());
  }

  /** A host ran that try of that client's write. */
  public void recordExecution(int client, String tryId) {
    entry(client).executionsByTry.merge(tryId, 1, Integer::sum);
  }

  /** The client had a final answer for a try. */
  public void recordAnswer(int client, boolean success) {
    Entry entry = entry(client);
    entry.answers++;
    entry.successes += success ? 1 : 0;
  }

  /** Tries that ran more than once: nobody but a router can have done that. */
  public long duplicatedTries() {
    return entries.values().stream()
        .flatMap(each -> each.executionsByTry.values().stream())
        .filter(runs -> runs > 1)
        .count();
  }

  /**
   * Writes that ran more than once over all tries of their client: the client repeated what may
   * have run.
   */
  public long duplicatedWrites() {
    return entries.values().stream()
        .filter(
            each -> each.executionsByTry.values().stream().mapToInt(Integer::intValue).sum() > 1)
        .count();
  }

  /** Clients that were told that it ran, though no host ran it. */
  public long falseSuccesses() {
    return entries.values().stream()
        .filter(each -> each.successes > 0 && each.executionsByTry.isEmpty())
        .count();
  }
}
