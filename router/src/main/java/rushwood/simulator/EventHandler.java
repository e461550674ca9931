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
 * Delivers each event to the policy of its target router, and collects the actions of the policies
 * during a batch.
 */
final class EventHandler {
  private final WireReader reader;
  private final Map<Integer, SimulatedRouter> routers = new LinkedHashMap<>();
  private final Map<Integer, List<Endpoint>> endpointLists = new LinkedHashMap<>();
  private final Map<Integer, SimulatedRouter> batchRouters = new LinkedHashMap<>();
  private long now;
  private OptionalInt targetRouterId = OptionalInt.empty();

  /**
   * Creates a handler without any routers.
   *
   * @param reader the source of the rows that follow a {@code manifest} line
   */
  EventHandler(WireReader reader) {
    this.reader = reader;
  }

  /**
   * Starts a batch, which has no target router yet.
   *
   * @param batchTime the time of all events of the batch, in nanoseconds of the simulator's clock
   */
  void startBatch(long batchTime) {
    now = batchTime;
    targetRouterId = OptionalInt.empty();
    batchRouters.clear();
  }

  /** Returns the id of the target router; empty if the batch has not named one yet. */
  OptionalInt targetRouterId() {
    return targetRouterId;
  }

  /** Returns the output of this batch: for each router with output, its id and its actions. */
  String takeOutput() {
    StringBuilder output = new StringBuilder();
    batchRouters.forEach(
        (id, router) -> {
          String lines = router.takeOutput();
          if (!lines.isEmpty()) {
            output.append(routerLine(id)).append(lines);
          }
        });
    return output.toString();
  }

  /** Returns the reply line that names the router whose actions follow. */
  static String routerLine(int id) {
    return "as\trouter=" + id + "\n";
  }

  /**
   * Handles one event.
   *
   * @throws MalformedMessageException if the event is malformed or its router is missing or unknown
   */
  void handle(WireLine line) throws IOException {
    switch (line.messageType()) {
      case "target_instance" -> targetRouterId = OptionalInt.of(line.requiredInt("router"));
      case "manifest" -> readEndpointList(line);
      case "power_on" -> startRouter(line);
      case "detach" -> removeRouter(line);
      case "topology" -> updateEndpoints(line);
      case "work_item" -> receiveRequest(line);
      case "report_back" -> finishAttempt(line);
      case "lapsed" -> disconnectClient(line);
      case "status_back" -> finishHealthCheck(line);
      case "due" -> targetRouter(line).policy().timerFired(now);
      case "accepted", "from_peer" -> targetRouter(line); // not used by the policy
      default -> throw line.malformed("message type", "is unknown");
    }
  }

  /** Returns the target router, and includes its output in the reply. */
  private SimulatedRouter targetRouter(WireLine line) {
    int id = requiredTargetRouterId(line);
    SimulatedRouter router = routers.get(id);
    if (router == null) {
      throw line.malformed("router", id + " is unknown");
    }
    batchRouters.put(id, router);
    return router;
  }

  private int requiredTargetRouterId(WireLine line) {
    return targetRouterId.orElseThrow(
        () -> line.malformed("router", "is not named by an earlier target_instance"));
  }

  private void startRouter(WireLine line) {
    int id = requiredTargetRouterId(line);
    SimulatedRouter router = createRouter(line);
    routers.put(id, router);
    batchRouters.put(id, router);
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
    int id = requiredTargetRouterId(line);
    routers.remove(id);
    batchRouters.remove(id);
  }

  /** Reads the rows of an endpoint list, which later events refer to by its number. */
  private void readEndpointList(WireLine line) throws IOException {
    int listNumber = line.requiredInt("page");
    int rowCount = line.requiredInt("rows_in");
    List<Endpoint> endpoints = new ArrayList<>();
    for (int i = 0; i < rowCount; i++) {
      WireLine row = reader.readLineOfBatch();
      if (!row.messageType().equals("row")) {
        throw row.malformed("message type", "must be row");
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
      throw line.malformed("page", "is unknown");
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
    boolean answered = EventDecoder.decodeOutcome(line) == AttemptOutcome.SUCCESS;
    router
        .policy()
        .healthCheckFinished(now, host, answered, EventDecoder.decodeLoadReport(line, router));
  }
}
