package rushwood.testbed.load;

import com.fasterxml.jackson.annotation.JsonProperty;
import rushwood.testbed.model.HostModel;

/**
 * A host of an experiment.
 *
 * @param rate requests a second once it is warm
 * @param slots requests that it works on at once
 * @param queue requests that may wait for a slot
 * @param coldStartSpeed share of its warm speed right after a restart
 * @param warmupSeconds time from a restart until it is warm
 * @param overloadMultiple how many times its present speed it bears while it warms up
 * @param overloadWindowSeconds over which time that is counted
 * @param lagSeconds how far it is behind the primary as a replica
 * @param crashesOnOverload whether it crashes when it gets more than it bears
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

  /** Fills in what the file may leave out. */
  public HostSpec {
    slots = slots == null ? DEFAULT_SLOTS : slots;
    queue = queue == null ? DEFAULT_QUEUE : queue;
    coldStartSpeed = coldStartSpeed == null ? DEFAULT_COLD_START_SPEED : coldStartSpeed;
    warmupSeconds = warmupSeconds == null ? DEFAULT_WARMUP_SECONDS : warmupSeconds;
    overloadMultiple = overloadMultiple == null ? DEFAULT_OVERLOAD_MULTIPLE : overloadMultiple;
    overloadWindowSeconds =
        overloadWindowSeconds == null ? DEFAULT_OVERLOAD_WINDOW_SECONDS : overloadWindowSeconds;
  }

  /** The capacity of its model. */
  HostModel.Parameters parameters() {
    return new HostModel.Parameters(
        rate,
        slots,
        queue,
        coldStartSpeed,
        Experiment.nanos(warmupSeconds),
        overloadMultiple,
        Experiment.nanos(overloadWindowSeconds),
        Experiment.nanos(lagSeconds));
  }

  /** The same, so many times as fast and with so many times the slots and the queue. */
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
