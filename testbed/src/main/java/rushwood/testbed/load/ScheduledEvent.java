package rushwood.testbed.load;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * An event that happens at a set time of an experiment.
 *
 * @param atSeconds the time from the experiment's start
 * @param host the id of the affected host; null for an event that affects no single host
 */
public record ScheduledEvent(
    @JsonProperty("at") double atSeconds, @JsonProperty("what") Type type, @Nullable String host) {

  /** The type of an event. */
  public enum Type {
    @JsonProperty("die")
    CRASH,
    @JsonProperty("start")
    RESTART,
    @JsonProperty("promote")
    PROMOTE,
    @JsonProperty("demote")
    DEMOTE,
    @JsonProperty("hang")
    HANG,
    @JsonProperty("wake")
    RESUME,
    @JsonProperty("silence")
    SILENCE_DISCOVERY,
    @JsonProperty("list")
    PUBLISH_ENDPOINTS,
    @JsonProperty("term")
    TERMINATE_ROUTER
  }

  /** Carries out events. */
  public interface Handler {
    /** Ends the host's process. */
    void crash(String host);

    /** Starts a new process of the host. */
    void restart(String host);

    /** Makes the host the primary of its group, and all other hosts of the group replicas. */
    void promote(String host);

    /** Makes the host a replica. */
    void demote(String host);

    /** Makes the host stop answering, or answer again. */
    void setHung(String host, boolean hung);

    /** Makes discovery send no more changes. */
    void silenceDiscovery();

    /** Ends a silence of discovery, and makes it publish all endpoints with their current roles. */
    void publishEndpoints();

    /** Sends SIGTERM to the router. */
    void terminateRouter();
  }

  /** Returns the time of the event, in nanoseconds from the experiment's start. */
  public long atNanos() {
    return Experiment.secondsToNanos(atSeconds);
  }

  private String requireHost() {
    return Objects.requireNonNull(host, () -> "the event " + type + " has no host");
  }

  /**
   * Carries out the event with the given handler.
   *
   * @throws NullPointerException if the event affects a host and {@link #host} is null
   */
  public void applyTo(Handler handler) {
    switch (type) {
      case CRASH -> handler.crash(requireHost());
      case RESTART -> handler.restart(requireHost());
      case PROMOTE -> handler.promote(requireHost());
      case DEMOTE -> handler.demote(requireHost());
      case HANG -> handler.setHung(requireHost(), true);
      case RESUME -> handler.setHung(requireHost(), false);
      case SILENCE_DISCOVERY -> handler.silenceDiscovery();
      case PUBLISH_ENDPOINTS -> handler.publishEndpoints();
      case TERMINATE_ROUTER -> handler.terminateRouter();
    }
  }
}
