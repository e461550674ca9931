package rushwood.testbed.load;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * Something that happens during an experiment.
 *
 * @param atSeconds when, from the experiment's start
 * @param host the id of the host that it happens to; none for an event without host
 */
public record ScheduledEvent(
    @JsonProperty("at") double atSeconds, @JsonProperty("what") Type type, @Nullable String host) {

  /** What may happen. */
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

  /** What carries out events; one method for each type. */
  public interface Handler {
    /** The host's process ends. */
    void crash(String host);

    /** The host's process starts anew. */
    void restart(String host);

    /** The host becomes its group's primary, the group's others become replicas. */
    void promote(String host);

    /** The host becomes a replica. */
    void demote(String host);

    /** From now on the host answers nothing, or answers again. */
    void setHung(String host, boolean hung);

    /** Discovery tells of no more changes. */
    void silenceDiscovery();

    /** Discovery tells the endpoint list with its present roles. */
    void publishEndpoints();

    /** The router gets SIGTERM. */
    void terminateRouter();
  }

  /** When it happens, in nanoseconds from the experiment's start. */
  public long atNanos() {
    return Experiment.nanos(atSeconds);
  }

  private String requireHost() {
    return Objects.requireNonNull(host, () -> type + " names no host");
  }

  /**
   * Has the handler carry it out.
   *
   * @throws NullPointerException if it happens to a host and names none
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
