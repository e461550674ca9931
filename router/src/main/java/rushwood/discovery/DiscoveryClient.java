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
 * Keeps the router's endpoint list current: makes the polls and watches that {@link
 * EndpointRefreshPolicy} asks for, when it asks for them, and passes the lists that are to be
 * applied to a {@link Listener}.
 *
 * <p>Runs on one event loop: every method and every listener call, from there.
 */
public final class DiscoveryClient {
  /** Receives the endpoint lists and the failures. */
  public interface Listener {
    /** A list that is to be applied. */
    void listReceived(EndpointList list);

    /** Endpoints that are draining or removed, from a list that is not applied otherwise. */
    void endpointsLeaving(List<PartialEndpoint> endpoints);

    /** A poll brought the list that is in force already. */
    void listUnchanged();

    /** A request failed; {@code reason} goes on after "discovery", as in "does not respond". */
    void requestFailed(String reason);

    /** A part of a list could not be read; the rest is passed on. */
    void problemFound(String problem);
  }

  /**
   * What the client needs to know of the router and its agent.
   *
   * @param address the agent's
   * @param drainGraceNanos time after which a leaving endpoint may get nothing new
   * @param lastKnownVersion version of the list held from an earlier process, 0 for none
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
            settings.drainGraceNanos(),
            settings.lastKnownVersion(),
            random,
            new RequestsAndTimer());
  }

  /** Polls the agent at once, then keeps the list current until {@link #close}. */
  public void start() {
    refreshPolicy.start(clock.now());
  }

  /**
   * Polls the agent at another address at once. Versions of the agent before do not compare with
   * its own, and that requests to the old address end is no failure.
   */
  public void changeAddress(InetSocketAddress newAddress) {
    address = newAddress;
    refreshPolicy.addressChanged(clock.now());
  }

  /** Closes all requests and the timer. */
  public void close() {
    refreshPolicy.stop();
    if (wakeup != null) {
      wakeup.cancel();
    }
  }

  /** Carries out what the policy orders. */
  private final class RequestsAndTimer implements EndpointRefreshPolicy.Transport {
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
