package rushwood.discovery;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import rushwood.dispatch.EventLoopClock;
import rushwood.dispatch.PartialEndpoint;
import rushwood.dispatch.TimerQueue;

/**
 * Keeps the router's endpoint list up to date. Makes the polls and watches that {@link
 * EndpointRefreshPolicy} requests, and passes the lists to apply to a {@link Listener}.
 *
 * <p>Not thread-safe: all methods must be called on one event loop, which also calls the listener.
 */
public final class DiscoveryClient {
  /** Receives endpoint lists and failures. */
  public interface Listener {
    /** Called with a list to apply. */
    void listReceived(EndpointList list);

    /** Called with the draining and removed endpoints of a list that is ignored or unreadable. */
    void endpointsLeaving(List<PartialEndpoint> endpoints);

    /** Called if a poll has returned the current list. */
    void listUnchanged();

    /**
     * Called if a request has failed.
     *
     * @param reason rest of a sentence that begins with "discovery", for example "does not respond"
     */
    void requestFailed(String reason);

    /** Called for each invalid part of a list. */
    void problemFound(String problem);
  }

  /**
   * Settings of the client.
   *
   * @param address address of the agent
   * @param drainGraceNanos how long a draining or removed endpoint may still receive new requests
   * @param lastKnownVersion version of the list that an earlier process saved, 0 if there is none
   */
  public record Settings(InetSocketAddress address, long drainGraceNanos, long lastKnownVersion) {}

  private final DiscoveryConnector connector;
  private final EventLoopClock clock;
  private final TimerQueue timers;
  private final Listener listener;
  private final EndpointRefreshPolicy refreshPolicy;
  private final Map<Integer, ListRequest> openRequests = new HashMap<>();
  private InetSocketAddress address;
  private TimerQueue.@Nullable ScheduledTask wakeup;

  /** Creates a client that does nothing until {@link #start}. */
  public DiscoveryClient(
      DiscoveryConnector connector,
      EventLoopClock clock,
      TimerQueue timers,
      Settings settings,
      RandomGenerator random,
      Listener listener) {
    this.connector = connector;
    this.clock = clock;
    this.timers = timers;
    this.listener = listener;
    address = settings.address();
    refreshPolicy =
        new EndpointRefreshPolicy(
            settings.drainGraceNanos(), settings.lastKnownVersion(), random, new ClientTransport());
  }

  /** Polls the agent at once, then keeps the list current until {@link #close}. */
  public void start() {
    refreshPolicy.start(clock.now());
  }

  /**
   * Switches to the agent at another address and polls it at once. Its versions are not compared
   * with those of the previous agent, and the end of a watch of the previous agent causes no poll.
   */
  public void changeAddress(InetSocketAddress newAddress) {
    address = newAddress;
    refreshPolicy.addressChanged(clock.now());
  }

  /** Closes all requests and cancels the timer. */
  public void close() {
    refreshPolicy.stop();
    if (wakeup != null) {
      wakeup.cancel();
    }
  }

  /** Makes the requests of the policy and schedules its timer. */
  private final class ClientTransport implements EndpointRefreshPolicy.Transport {
    @Override
    public void open(int requestNumber, boolean watch, long sinceVersion) {
      ListRequest request =
          new ListRequest(
              requestNumber, watch, createParser(watch), clock, refreshPolicy, listener);
      openRequests.put(requestNumber, request);
      request.connect(
          connector,
          address,
          watch ? DiscoveryProtocol.watchPath(sinceVersion) : DiscoveryProtocol.LIST_PATH);
    }

    private EndpointListParser createParser(boolean watch) {
      return watch
          ? EndpointListParser.forWatch()
          : EndpointListParser.forPoll(
              refreshPolicy.cachedVersion(), refreshPolicy.cachedChecksum());
    }

    @Override
    public void close(int requestNumber, boolean timedOut) {
      ListRequest request = openRequests.remove(requestNumber);
      if (request != null) {
        request.close();
        if (timedOut) {
          listener.requestFailed("does not respond");
        }
      }
    }

    @Override
    public void scheduleWakeup(long at) {
      if (wakeup != null) {
        wakeup.cancel();
      }
      wakeup = timers.schedule(at, () -> refreshPolicy.timerFired(clock.now()));
    }
  }
}
