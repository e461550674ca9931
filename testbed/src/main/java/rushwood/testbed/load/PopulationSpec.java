package rushwood.testbed.load;

import com.fasterxml.jackson.annotation.JsonProperty;
import rushwood.testbed.model.RetryBehavior;
import rushwood.testbed.model.TestbedRequestClass;

/**
 * Clients of one kind, each with one request, that arrive at even intervals.
 *
 * @param group the group of hosts that has their data
 * @param startSeconds when the first one arrives
 * @param arrivalSeconds within which time all of them arrive
 * @param maxTries tries of a client before it gives up
 * @param tryTimeoutSeconds how long a client waits for the answer to a try
 * @param keepsConnection whether a client keeps its connection between tries and after the last
 */
public record PopulationSpec(
    int count,
    @JsonProperty("product") TestbedRequestClass requestClass,
    int group,
    @JsonProperty("from") double startSeconds,
    @JsonProperty("over") double arrivalSeconds,
    @JsonProperty("tries") int maxTries,
    @JsonProperty("manners") RetryBehavior retryBehavior,
    @JsonProperty("outer") double tryTimeoutSeconds,
    @JsonProperty("stays") boolean keepsConnection) {
  /** Whether their requests are writes. */
  public boolean isWrite() {
    return requestClass.isWrite();
  }

  /** When the client at that index arrives, in nanoseconds from the experiment's start. */
  public long arrivalNanos(int index) {
    return Experiment.nanos(startSeconds + arrivalSeconds * index / count);
  }

  /** How long a client waits for the answer to a try, in nanoseconds. */
  public long tryTimeoutNanos() {
    return Experiment.nanos(tryTimeoutSeconds);
  }

  /** The same with so many times the clients. */
  PopulationSpec scaledBy(int factor) {
    return new PopulationSpec(
        count * factor,
        requestClass,
        group,
        startSeconds,
        arrivalSeconds,
        maxTries,
        retryBehavior,
        tryTimeoutSeconds,
        keepsConnection);
  }
}
