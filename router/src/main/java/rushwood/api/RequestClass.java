package rushwood.api;

import java.util.List;
import java.util.Optional;

/**
 * The kind of a request, as the settings define it.
 *
 * @param index the place of the class in the settings, from 0
 * @param latencyObjectiveNanos the time within which an answer has its full value
 * @param idempotencyWindowNanos how long an idempotency key is recognised; counts only for {@link
 *     Idempotency#IDEMPOTENCY_KEY}
 * @param isWrite whether its requests change data; only the primary takes them
 * @param consistency how fresh the data of a read has to be; {@link Consistency#EVENTUAL} for
 *     writes
 * @param maxStalenessNanos how old the data may be; counts only for {@link
 *     Consistency#BOUNDED_STALENESS}
 * @param lateValue the share of its value that an answer after the latency objective still has
 */
public record RequestClass(
    String name,
    int index,
    long latencyObjectiveNanos,
    Idempotency idempotency,
    KeyScope keyScope,
    long idempotencyWindowNanos,
    boolean isWrite,
    Consistency consistency,
    long maxStalenessNanos,
    double lateValue) {

  /** The class of that name, if there is one. */
  public static Optional<RequestClass> findByName(List<RequestClass> requestClasses, String name) {
    return requestClasses.stream()
        .filter(requestClass -> requestClass.name().equals(name))
        .findFirst();
  }

  /** Whether a request may run more than once. */
  public enum Idempotency {
    /** It may run any number of times. */
    IDEMPOTENT,
    /** It may be repeated within the scope and the window of its key. */
    IDEMPOTENCY_KEY,
    /** It must not run twice. */
    NON_IDEMPOTENT
  }

  /** Among which hosts an idempotency key is recognised. */
  public enum KeyScope {
    GLOBAL,
    ZONE,
    GROUP;

    /** Returns whether each of the two hosts recognizes the idempotency keys of the other. */
    public boolean includesBoth(Endpoint first, Endpoint second) {
      return this == GLOBAL
          || (this == GROUP && first.group().equals(second.group()))
          || (this == ZONE && first.zone().equals(second.zone()));
    }
  }

  /** How fresh the data that answers a read has to be. */
  public enum Consistency {
    /** As of the arrival of the request. */
    STRONG,
    /** Not older than the last write of the same session. */
    READ_YOUR_WRITES,
    /** Not older than a bound. */
    BOUNDED_STALENESS,
    /** Of any age. */
    EVENTUAL
  }
}
