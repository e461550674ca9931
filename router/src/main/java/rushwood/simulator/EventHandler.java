package rushwood.simulator;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import rushwood.api.AttemptOutcome;
import rushwood.api.Endpoint;
import rushwood.api.HostId;
import rushwood.api.RequestId;
import rushwood.config.InvalidConfigException;
import rushwood.config.SettingsDecoder;

/**
 * Hands each event to the policy of the router that it is for, and collects what the policies
 * decide during a batch.
 */
final class EventHandler {
  private final WireReader reader;
  private final Map<Integer, SimulatedRouter> routers = new LinkedHashMap<>();
  private final Map<Integer, List<Endpoint>> endpointLists = new LinkedHashMap<>();
  private final Map<Integer, SimulatedRouter> routersOfBatch = new LinkedHashMap<>();
  private long now;
  private OptionalInt targetId = OptionalInt.empty();

  /**
   * Creates a handler without routers.
   *
   * @param reader from which the rows of an endpoint list are read
   */
  EventHandler(WireReader reader) {
    this.reader = reader;
  }

  /**
   * Begins a batch, in which no router is named yet.
   *
   * @param batchTime of all its events, in nanoseconds of the simulator's clock
   */
  void startBatch(long batchTime) {
    now = batchTime;
    targetId = OptionalInt.empty();
    routersOfBatch.clear();
  }

  /** Returns the router that the batch has named last; empty until it has named one. */
  OptionalInt targetId() {
    return targetId;
  }

  /** Returns what the policies decided in this batch, by router in the order of their events. */
  String takeOutput() {
    StringBuilder output = new StringBuilder();
    routersOfBatch.forEach(
        (id, router) -> {
          String lines = router.takeOutput();
          if (!lines.isEmpty()) {
            output.append(routerLine(id)).append(lines);
          }
        });
    return output.toString();
  }

  /** Returns the line of a reply that names the router of the lines after it. */
  static String routerLine(int id) {
    return "as\trouter=" + id + "\n";
  }

  /**
   * Handles one event.
   *
   * @throws MalformedMessageException if it cannot be read, or is for an unknown router
   */
  void handle(WireLine line) throws IOException {
    switch (line.messageType()) {
      case "target_instance" -> targetId = OptionalInt.of(line.requiredInt("router"));
      case "manifest" -> readEndpointList(line);
      case "power_on" -> startRouter(line);
      case "detach" -> removeRouter(line);
      case "topology" -> updateEndpoints(line);
      case "work_item" -> receiveRequest(line);
      case "report_back" -> finishAttempt(line);
      case "lapsed" -> disconnectClient(line);
      case "status_back" -> finishHealthCheck(line);
      case "due" -> targetRouter(line).policy().timerFired(now);
      case "accepted", "from_peer" -> targetRouter(line);
      default -> throw line.malformed("message", "is unknown");
    }
  }

  /** Returns the router that the batch has named; its output becomes part of the reply. */
  private SimulatedRouter targetRouter(WireLine line) {
    int id = requiredTargetId(line);
    SimulatedRouter router = routers.get(id);
    if (router == null) {
      throw line.malformed("router", id + " is unknown");
    }
    routersOfBatch.put(id, router);
    return router;
  }

  private int requiredTargetId(WireLine line) {
    return targetId.orElseThrow(() -> line.malformed("router", "is not named"));
  }

  private void startRouter(WireLine line) {
    int id = requiredTargetId(line);
    SimulatedRouter router = createRouter(line);
    routers.put(id, router);
    routersOfBatch.put(id, router);
  }

  private static SimulatedRouter createRouter(WireLine line) {
    long seed = line.requiredLong("entropy");
    try {
      return new SimulatedRouter(new SettingsDecoder(line.fields(), ""), seed);
    } catch (InvalidConfigException e) {
      throw line.malformed(e.field(), e.reason());
    }
  }

  private void removeRouter(WireLine line) {
    targetRouter(line);
    int id = requiredTargetId(line);
    routers.remove(id);
    routersOfBatch.remove(id);
  }

  /** Reads the rows of an endpoint list, to which later events refer by its number. */
  private void readEndpointList(WireLine line) throws IOException {
    int listNumber = line.requiredInt("page");
    int rowCount = line.requiredInt("rows_in");
    List<Endpoint> endpoints = new ArrayList<>();
    for (int i = 0; i < rowCount; i++) {
      WireLine row = reader.readLineOfBatch();
      if (!row.messageType().equals("row")) {
        throw row.malformed("message", "stands where a row is due");
      }
      endpoints.add(EventDecoder.decodeEndpoint(row));
    }
    endpointLists.put(listNumber, endpoints);
  }

  private void updateEndpoints(WireLine line) {
    SimulatedRouter router = targetRouter(line);
    String updateKind = line.requiredText("how");
    if (updateKind.equals("error")) {
      router.policy().endpointRefreshFailed(now);
      return;
    }
    List<Endpoint> endpoints = endpointLists.get(line.requiredInt("page"));
    if (endpoints == null) {
      throw line.malformed("page", "names no list");
    }
    switch (updateKind) {
      case "diff" -> router.policy().endpointsUpdated(now, endpoints);
      case "snapshot" -> router.policy().endpointsReplaced(now, endpoints, false);
      case "disk" -> router.policy().endpointsReplaced(now, endpoints, true);
      default -> throw line.malformed("how", "is unknown");
    }
  }

  private void receiveRequest(WireLine line) {
    SimulatedRouter router = targetRouter(line);
    router.policy().requestReceived(now, EventDecoder.decodeRequest(line, router));
  }

  private void disconnectClient(WireLine line) {
    SimulatedRouter router = targetRouter(line);
    router.policy().clientDisconnected(now, new RequestId(line.requiredText("id")));
  }

  private void finishAttempt(WireLine line) {
    SimulatedRouter router = targetRouter(line);
    router.policy().attemptFinished(now, EventDecoder.decodeAttemptResult(line, router));
  }

  private void finishHealthCheck(WireLine line) {
    SimulatedRouter router = targetRouter(line);
    HostId host = new HostId(line.requiredText("host"));
    boolean hasAnswered = EventDecoder.decodeOutcome(line) == AttemptOutcome.SUCCESS;
    router
        .policy()
        .healthCheckFinished(now, host, hasAnswered, EventDecoder.decodeLoadReport(line, router));
  }
}
