package rushwood.server;

import java.util.List;
import rushwood.api.LogLevel;
import rushwood.discovery.DiscoveryClient;
import rushwood.discovery.EndpointList;
import rushwood.dispatch.Counter;
import rushwood.dispatch.Counters;
import rushwood.dispatch.PartialEndpoint;
import rushwood.dispatch.RequestDispatcher;

/**
 * Passes endpoint lists from discovery to the dispatcher, counts them, and logs problems. Used on
 * the event loop only.
 */
final class EndpointListHandler implements DiscoveryClient.Listener {
  private final RequestDispatcher dispatcher;
  private final Counters counters;
  private final RateLimitedLogger logger;
  private final Runnable onCompleteList;
  private String currentProblem = ""; // last one logged; empty while discovery works

  EndpointListHandler(
      RequestDispatcher dispatcher,
      Counters counters,
      RateLimitedLogger logger,
      Runnable onCompleteList) {
    this.dispatcher = dispatcher;
    this.counters = counters;
    this.logger = logger;
    this.onCompleteList = onCompleteList;
  }

  @Override
  public void listReceived(EndpointList list) {
    if (list.complete()) {
      counters.increment(Counter.ENDPOINT_LISTS_REPLACED);
      dispatcher.endpointsReplaced(list.endpoints(), list.partialEndpoints(), false);
      onCompleteList.run();
    } else {
      counters.increment(Counter.ENDPOINT_LISTS_UPDATED);
      dispatcher.endpointsUpdated(list.endpoints(), list.partialEndpoints());
    }
    if (list.problems().isEmpty()) {
      problemResolved();
    }
  }

  @Override
  public void endpointsLeaving(List<PartialEndpoint> endpoints) {
    counters.increment(Counter.ENDPOINT_LISTS_UPDATED);
    dispatcher.endpointsUpdated(List.of(), endpoints);
  }

  @Override
  public void listUnchanged() {
    counters.increment(Counter.ENDPOINT_LISTS_UNCHANGED);
    problemResolved();
  }

  @Override
  public void requestFailed(String reason) {
    dispatcher.endpointRefreshFailed();
    logProblem("discovery " + reason);
  }

  @Override
  public void problemFound(String problem) {
    counters.increment(Counter.ENDPOINT_LISTS_MALFORMED);
    logProblem(
        "discovery sent an endpoint list with an error; using its other entries: " + problem);
  }

  /** Logs a problem once until a different one occurs or discovery works again. */
  private void logProblem(String problem) {
    if (!problem.equals(currentProblem)) {
      currentProblem = problem;
      logger.log(LogLevel.WARN, problem);
    }
  }

  private void problemResolved() {
    if (!currentProblem.isEmpty()) {
      currentProblem = "";
      logger.log(LogLevel.INFO, "discovery answers again");
    }
  }
}
