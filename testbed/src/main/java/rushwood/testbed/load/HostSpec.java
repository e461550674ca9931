package rushwood.testbed.load;

import com.fasterxml.jackson.annotation.JsonProperty;
import rushwood.testbed.model.HostModel;

/**
 * A host of an experiment.
 *
 * @param group the number of the group that the host belongs to
 * @param primary whether the host starts as the primary of its group
 * @param rate requests per second that the host serves when warm, over all slots
 * @param slots number of requests that the host processes concurrently
 * @param queue number of requests that may wait for a slot
 * @param coldStartSpeed speed right after a restart, as a share of the warm speed
 * @param warmupSeconds time from a restart until the host is warm
 * @param overloadMultiple load above which a host that warms up is overloaded, as a multiple of its
 *     current speed
 * @param overloadWindowSeconds time window over which that load is measured; 0 to not measure it
 * @param lagSeconds replication lag while the host is a replica
 * @param crashesOnOverload whether the host crashes when it is overloaded while it warms up
 */
public record HostSpec(
    String id,
    int group,
    boolean primary,
    double rate,
    Integer slots,
    Integer queue,
    @JsonProperty("cold_from") Double coldStartSpeed,
    @JsonProperty("cold") Double warmupSeconds,
    @JsonProperty("tip_multiple") Double overloadMultiple,
    @JsonProperty("fall") Double overloadWindowSeconds,
    @JsonProperty("lag") double lagSeconds,
    @JsonProperty("tips") boolean crashesOnOverload) {
  private static final int DEFAULT_SLOTS = 8;
  private static final int DEFAULT_QUEUE = 32;
  private static final double DEFAULT_COLD_START_SPEED = 0.15;
  private static final double DEFAULT_WARMUP_SECONDS = 14;
  private static final double DEFAULT_OVERLOAD_MULTIPLE = 4;
  private static final double DEFAULT_OVERLOAD_WINDOW_SECONDS = 1;

  /** Replaces optional values that are missing by their defaults. */
  public HostSpec {
    slots = slots == null ? DEFAULT_SLOTS : slots;
    queue = queue == null ? DEFAULT_QUEUE : queue;
    coldStartSpeed = coldStartSpeed == null ? DEFAULT_COLD_START_SPEED : coldStartSpeed;
    warmupSeconds = warmupSeconds == null ? DEFAULT_WARMUP_SECONDS : warmupSeconds;
    overloadMultiple = overloadMultiple == null ? DEFAULT_OVERLOAD_MULTIPLE : overloadMultiple;
    overloadWindowSeconds =
        overloadWindowSeconds == null ? DEFAULT_OVERLOAD_WINDOW_SECONDS : overloadWindowSeconds;
  }

  /** Returns the parameters of the host's model. */
  HostModel.Parameters parameters() {
    return new HostModel.Parameters(
        rate,
        slots,
        queue,
        coldStartSpeed,
        Experiment.secondsToNanos(warmupSeconds),
        overloadMultiple,
        Experiment.secondsToNanos(overloadWindowSeconds),
        Experiment.secondsToNanos(lagSeconds));
  }

  /** Returns a copy with rate, slots and queue multiplied by {@code factor}. */
  HostSpec scaledBy(int factor) {
    return new HostSpec(
        id,
        group,
        primary,
        rate * factor,
        slots * factor,
        queue * factor,
        coldStartSpeed,
        warmupSeconds,
        overloadMultiple,
        overloadWindowSeconds,
        lagSeconds,
        crashesOnOverload);
  }
}
