package rushwood.api;

import java.util.List;

/**
 * The kind an access belongs to. Times in nanoseconds; {@code bound} counts only for a BOUNDED
 * need. {@code lateEarnings} is the share of its earnings that an answer after the quoted time
 * still has.
 */
public record RequestClass(
    String name,
    int index,
    long latencyObjectiveNanos,
    Idempotency idempotency,
    KeyScope keyScope,
    long idempotencyWindowNanos,
    Consistency consistency,
    long maxStalenessNanos,
    double lateValue) {

  /** The one of that name, or null. */
  public static RequestClass findByName(List<RequestClass> requestClasses, String name) {
    return requestClasses.stream()
        .filter(each -> each.name().equals(name))
        .findFirst()
        .orElse(null);
  }

  public enum Idempotency {
    IDEMPOTENT,
    IDEMPOTENCY_KEY,
    NON_IDEMPOTENT
  }

  /** Within which hosts the label of a labelled access is known. */
  public enum KeyScope {
    GLOBAL,
    ZONE,
    GROUP;

    /** Whether a label that one host has seen is known to the other. */
    public boolean isShared(Endpoint one, Endpoint other) {
      return this == GLOBAL
          || this == GROUP && one.group().equals(other.group())
          || this == ZONE && one.zone().equals(other.zone());
    }
  }

  /** How fresh the data must be that answers it. */
  public enum Consistency {
    WRITE,
    STRONG,
    READ_YOUR_WRITES,
    BOUNDED_STALENESS,
    EVENTUAL
  }
}
