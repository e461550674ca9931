package rushwood.api;

import java.util.List;
import java.util.Optional;

/**
 * A class of requests with the same requirements, as the settings define it.
 *
 * @param index the position of the class in the settings, from 0
 * @param latencyObjectiveNanos the time within which an answer has its full value
 * @param idempotency whether hosts may run a request of this class more than once
 * @param keyScope the hosts among which an idempotency key is recognised
 * @param idempotencyWindowNanos how long an idempotency key is recognised; used only with {@link
 *     Idempotency#IDEMPOTENCY_KEY}
 * @param isWrite whether requests of this class change data, so that only a primary takes them
 * @param consistency how fresh the data of a read has to be; {@link Consistency#EVENTUAL} for
 *     writes
 * @param maxStalenessNanos how old the data may be; used only with {@link
 *     Consistency#BOUNDED_STALENESS}
 * @param lateValue the share of its full value that an answer has after the latency objective, 0 if
 *     it is worthless then
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

  /** Returns the class with the given name, if there is one. */
  public static Optional<RequestClass> findByName(List<RequestClass> requestClasses, String name) {
    return requestClasses.stream()
        .filter(requestClass -> requestClass.name().equals(name))
        .findFirst();
  }

  /** Whether hosts may run a request more than once. */
  public enum Idempotency {
    /** The request may run any number of times. */
    IDEMPOTENT,
    /** The request may be repeated on hosts that still recognise its idempotency key. */
    IDEMPOTENCY_KEY,
    /** The request must not run twice. */
    NON_IDEMPOTENT
  }

  /** The hosts among which an idempotency key is recognised. */
  public enum KeyScope {
    /** All hosts. */
    GLOBAL,
    /** The hosts of one zone. */
    ZONE,
    /** The hosts of one group. */
    GROUP;

    /** Returns whether each of the two hosts recognises a key that the other one has seen. */
    public boolean includesBoth(Endpoint first, Endpoint second) {
      return this == GLOBAL
          || (this == GROUP && first.group().equals(second.group()))
          || (this == ZONE && first.zone().equals(second.zone()));
    }
  }

  /** How fresh the data that answers a read has to be. */
  public enum Consistency {
    /** At least as fresh as when the request arrived. */
    STRONG,
    /** At least as fresh as the last write of the same session. */
    READ_YOUR_WRITES,
    /** Not older than {@link RequestClass#maxStalenessNanos()}. */
    BOUNDED_STALENESS,
    /** Of any age. */
    EVENTUAL
  }
}
