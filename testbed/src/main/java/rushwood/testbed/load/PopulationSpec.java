package rushwood.testbed.load;

import com.fasterxml.jackson.annotation.JsonProperty;
import rushwood.testbed.model.RetryBehavior;
import rushwood.testbed.model.TestbedRequestClass;

/**
 * A population of clients that arrive at even intervals, each with one request.
 *
 * @param count the number of clients
 * @param requestClass the class of the clients' requests
 * @param group the number of the group whose hosts serve the requests
 * @param startSeconds when the first client arrives, from the experiment's start
 * @param arrivalSpanSeconds the time over which the arrivals are spread
 * @param maxTries the number of tries after which a client gives up
 * @param retryBehavior how long a client waits before it retries
 * @param tryTimeoutSeconds how long a client waits for the answer to a try
 * @param keepsConnection whether a client keeps its connection between tries and after the last
 *     one; if not, it keeps the connection only while it waits for the time in a Retry-After
 */
public record PopulationSpec(
    int count,
    @JsonProperty("product") TestbedRequestClass requestClass,
    int group,
    @JsonProperty("from") double startSeconds,
    @JsonProperty("over") double arrivalSpanSeconds,
    @JsonProperty("tries") int maxTries,
    @JsonProperty("manners") RetryBehavior retryBehavior,
    @JsonProperty("outer") double tryTimeoutSeconds,
    @JsonProperty("stays") boolean keepsConnection) {
  /** Returns whether the clients' requests are writes. */
  public boolean isWrite() {
    return requestClass.isWrite();
  }

  /** Returns the arrival of the client at an index, in nanoseconds from the experiment's start. */
  public long arrivalNanos(int index) {
    return Experiment.secondsToNanos(startSeconds + arrivalSpanSeconds * index / count);
  }

  /** Returns how long a client waits for the answer to a try, in nanoseconds. */
  public long tryTimeoutNanos() {
    return Experiment.secondsToNanos(tryTimeoutSeconds);
  }

  /** Returns a copy with {@code factor} times as many clients. */
  PopulationSpec scaledBy(int factor) {
    return new PopulationSpec(
        count * factor,
        requestClass,
        group,
        startSeconds,
        arrivalSpanSeconds,
        maxTries,
        retryBehavior,
        tryTimeoutSeconds,
        keepsConnection);
  }
}
