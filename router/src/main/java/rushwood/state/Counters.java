package rushwood.state;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** Counts what is taken in, sent and answered. */
public final class Counters {
  public enum Count {
    CLIENTS_ACCEPTED,
    CLIENTS_REFUSED,
    CLIENTS_CLOSED,
    CLIENTS_IDLED,
    CLIENTS_IDLED_UNHEARD,
    CLIENTS_TIMED_OUT,
    STATEMENTS_REJECTED,
    ACCESSES_TAKEN,
    ACCESSES_FULFILLED,
    ACCESSES_TURNED_BACK,
    ACCESSES_GIVEN_UP,
    ACCESSES_LEFT,
    SHOTS_SENT,
    SHOTS_FULFILLED,
    SHOTS_ERROR,
    SHOTS_SPOILT,
    SHOTS_OVERFULL,
    SHOTS_BEHIND,
    SHOTS_EXPIRED,
    SHOTS_BROKEN,
    SHOTS_WITHDRAWN,
    SHOTS_UNREACHED,
    SHOTS_UNSENT,
    SHOTS_KEPT_BACK,
    SHOTS_DEFERRED,
    PROBES_SENT,
    PROBES_ANSWERED,
    CONNECTIONS_OPENED,
    CONNECTIONS_REUSED,
    CONNECTIONS_FAILED,
    CONNECTIONS_CLOSED,
    DIALS_PACED,
    HOST_FAULTS,
    HOST_SURPLUS,
    LISTS_WHOLE,
    LISTS_CHANGED,
    LISTS_CHECKED,
    LISTS_UNREAD,
    LISTS_FAILED,
    CONFIGS_TAKEN,
    CONFIGS_REFUSED,
    INVARIANTS_BROKEN,
    EXCEPTIONS_CAUGHT
  }

  private final Map<Count, long[]> counts = new EnumMap<>(Count.class);

  private final Map<String, LongSupplier> more = new LinkedHashMap<>();
  private Consumer<Throwable> caught = thrown -> {};

  public Counters() {
    for (Count count : Count.values()) {
      counts.put(count, new long[1]);
    }
  }

  public void add(Count count) {
    counts.get(count)[0]++;
  }

  public long get(Count count) {
    return counts.get(count)[0];
  }

  /** What must hold: asserted in debug builds, counted in release. */
  public boolean must(boolean holds, String what) {
    assert holds : what;
    if (!holds) {
      add(Count.INVARIANTS_BROKEN);
    }
    return holds;
  }

  /** Whoever is to hear of what {@link #safely} caught. */
  public void onCaught(Consumer<Throwable> listener) {
    caught = listener;
  }

  /** Runs what must not take others with it: what it throws ends it alone, is counted and told. */
  public boolean safely(Runnable task) {
    try {
      task.run();
      return true;
    } catch (RuntimeException | OutOfMemoryError e) {
      add(Count.EXCEPTIONS_CAUGHT);
      caught.accept(e);
      return false;
    }
  }

  /** A count that another part keeps. */
  public void also(String name, LongSupplier count) {
    more.put(name, count);
  }

  /** Every counter by its name in lower case, in order. */
  public void each(BiConsumer<String, Long> reader) {
    counts.forEach(
        (count, value) -> reader.accept(count.name().toLowerCase(Locale.ROOT), value[0]));
    more.forEach((name, count) -> reader.accept(name, count.getAsLong()));
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder();
    each(
        (name, value) ->
            text.append(text.length() == 0 ? "" : " ").append(name).append('=').append(value));
    return text.toString();
  }
}
