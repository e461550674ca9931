package rushwood.testbed.load;

import com.fasterxml.jackson.annotation.JsonProperty;
import rushwood.testbed.model.HostModel;

/**
 * A host of an experiment.
 *
 * @param id the id of the host, by which events refer to it
 * @param group the number of the group that the host belongs to
 * @param primary whether the host starts as the primary of its group
 * @param rate the requests per second that all slots together complete when the host is warm
 * @param slots the number of requests that the host executes at once
 * @param queue the number of requests that may wait for a slot
 * @param coldStartSpeed the speed right after a restart, as a share of the warm speed
 * @param warmupSeconds the time from a restart until the host is warm
 * @param overloadMultiple the work that the host withstands while it warms up, as a multiple of the
 *     work that it completes at its present speed
 * @param overloadWindowSeconds the window over which arriving work is compared with that limit; 0
 *     if the host withstands any amount
 * @param lagSeconds how far the host lags behind the primary while it is a replica
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
