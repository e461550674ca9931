package rushwood.simulator;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import rushwood.api.AttemptOutcome;
import rushwood.api.AttemptResult;
import rushwood.api.Endpoint;
import rushwood.api.GroupId;
import rushwood.api.HostId;
import rushwood.api.HostRole;
import rushwood.api.LoadReport;
import rushwood.api.Request;
import rushwood.api.RequestClass;
import rushwood.api.RequestId;
import rushwood.api.SessionId;
import rushwood.api.ZoneId;
import rushwood.config.DecimalSeconds;
import rushwood.config.SettingsDecoder;

/** Reads batches, hands each event to its router and writes the reply. */
public final class SimulatorAdapter {
  private static final double NANOS_PER_SECOND = 1e9;

  private final BufferedReader input;
  private final Map<Integer, SimulatedRouter> routers = new LinkedHashMap<>();
  private final Map<Integer, List<Endpoint>> endpointLists = new LinkedHashMap<>();
  private final Map<Integer, SimulatedRouter> touchedRouters = new LinkedHashMap<>();
  private long lineNumber;
  private long now;
  private Integer targetId;

  private SimulatorAdapter(InputStream in) {
    this.input = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
  }

  /** Serves the wire until the end of input; the exit code. */
  public static int run(InputStream in, OutputStream out, PrintStream errors) throws IOException {
    SimulatorAdapter adapter = new SimulatorAdapter(in);
    try {
      for (String reply = adapter.processBatch(); reply != null; reply = adapter.processBatch()) {
        out.write(reply.getBytes(StandardCharsets.UTF_8));
        out.flush();
      }
      return 0;
    } catch (MalformedMessageException e) {
      errors.println("rushwood: " + e.getMessage());
      return 1;
    }
  }

  private WireLine readLine() throws IOException {
    String text = input.readLine();
    lineNumber++;
    return text == null ? null : new WireLine(text, lineNumber);
  }

  /** The reply to the next batch, or null at the end of input. */
  private String processBatch() throws IOException {
    WireLine line = readLine();
    while (line != null && line.messageType().isEmpty()) {
      line = readLine();
    }
    if (line == null) {
      return null;
    }
    if (!line.messageType().equals("mark")) {
      throw line.malformed("message", "stands where mark is due");
    }
    now = line.requiredNanos("clock");
    targetId = null;
    touchedRouters.clear();
    try {
      for (line = readLineOfBatch();
          !line.messageType().equals("eof_batch");
          line = readLineOfBatch()) {
        dispatchEvent(line);
      }
    } catch (MalformedMessageException e) {
      return failureReply(e.getMessage(), e);
    } catch (RuntimeException e) {
      return failureReply(
          line.malformed("message", "met " + e).getMessage(),
          new MalformedMessageException(e.toString()));
    }
    StringBuilder reply = new StringBuilder();
    touchedRouters.forEach(
        (routerId, router) -> {
          if (router.output.length() > 0) {
            reply.append("as\trouter=").append(routerId).append('\n').append(router.output);
            router.output.setLength(0);
          }
        });
    return reply.append("ok\n").toString();
  }

  private WireLine readLineOfBatch() throws IOException {
    WireLine line = readLine();
    if (line == null) {
      throw new MalformedMessageException("line " + lineNumber + ": the input ends within a batch");
    }
    return line;
  }

  /**
   * Ends the day in plain words where an instance can be named; else the caller ends the process.
   */
  private String failureReply(String message, MalformedMessageException cause) throws IOException {
    if (targetId == null) {
      throw cause;
    }
    for (WireLine line = readLine();
        line != null && !line.messageType().equals("eof_batch");
        line = readLine()) {
      continue;
    }
    return "as\trouter="
        + targetId
        + "\ndie\tmessage="
        + message.replaceAll("\\s+", " ")
        + "\nok\n";
  }

  private void dispatchEvent(WireLine line) throws IOException {
    switch (line.messageType()) {
      case "target_instance" -> targetId = line.requiredInt("router");
      case "manifest" ->
          endpointLists.put(line.requiredInt("page"), decodeEndpoints(line.requiredInt("rows_in")));
      case "power_on" -> startRouter(line);
      case "detach" -> {
        targetRouter(line);
        routers.remove(targetId);
        touchedRouters.remove(targetId);
      }
      case "topology" -> deliverEndpointList(line);
      case "work_item" -> targetRouter(line).policy.requestReceived(now, decodeRequest(line));
      case "report_back" -> targetRouter(line).policy.attemptFinished(now, decodeResult(line));
      case "lapsed" ->
          targetRouter(line).policy.clientDisconnected(now, new RequestId(line.requiredText("id")));
      case "status_back" ->
          targetRouter(line)
              .policy
              .probeFinished(
                  now,
                  new HostId(line.requiredText("host")),
                  decodeOutcome(line) == AttemptOutcome.SUCCESS,
                  decodeLoadReport(line));
      case "due" -> targetRouter(line).policy.timerFired(now);
      case "accepted", "from_peer" -> targetRouter(line);
      default -> throw line.malformed("message", "is unknown");
    }
  }

  private SimulatedRouter targetRouter(WireLine line) {
    SimulatedRouter router = targetId == null ? null : routers.get(targetId);
    if (router == null) {
      throw line.malformed("router", targetId == null ? "is not named" : targetId + " is unknown");
    }
    touchedRouters.put(targetId, router);
    return router;
  }

  private void startRouter(WireLine line) {
    if (targetId == null) {
      throw line.malformed("router", "is not named");
    }
    SimulatedRouter router =
        new SimulatedRouter(
            new SettingsDecoder(line.fields(), line::malformed), line.requiredLong("entropy"));
    routers.put(targetId, router);
    touchedRouters.put(targetId, router);
  }

  private List<Endpoint> decodeEndpoints(int count) throws IOException {
    List<Endpoint> endpoints = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      WireLine row = readLineOfBatch();
      if (!row.messageType().equals("row")) {
        throw row.malformed("message", "stands where a row is due");
      }
      String started = row.optionalText("up_since");
      String group = row.optionalText("group");
      String weight = row.optionalText("nominal");
      String primaryField = row.optionalText("leads");
      endpoints.add(
          new Endpoint(
              new HostId(row.requiredText("host")),
              new GroupId(group == null ? -1 : row.requiredInt("group")),
              new ZoneId(row.optionalText("hall") == null ? "" : row.optionalText("hall")),
              weight == null ? 1 : row.requiredNumber("nominal"),
              started == null ? 0 : row.requiredNanos("up_since"),
              primaryField != null && row.requiredNumber("leads") == 1,
              decodeState(row)));
    }
    return endpoints;
  }

  private static Endpoint.State decodeState(WireLine row) {
    return switch (row.requiredText("stage_state")) {
      case "in_service" -> Endpoint.State.READY;
      case "terminating" -> Endpoint.State.DRAINING;
      case "terminated" -> Endpoint.State.REMOVED;
      default -> throw row.malformed("stage_state", "is unknown");
    };
  }

  private void deliverEndpointList(WireLine line) {
    SimulatedRouter router = targetRouter(line);
    String updateKind = line.requiredText("how");
    if (updateKind.equals("error")) {
      router.policy.endpointRefreshFailed(now);
      return;
    }
    List<Endpoint> endpoints = endpointLists.get(line.requiredInt("page"));
    if (endpoints == null) {
      throw line.malformed("page", "names no list");
    }
    switch (updateKind) {
      case "diff" -> router.policy.endpointsUpdated(now, endpoints);
      case "snapshot" -> router.policy.endpointsReplaced(now, endpoints, false);
      case "disk" -> router.policy.endpointsReplaced(now, endpoints, true);
      default -> throw line.malformed("how", "is unknown");
    }
  }

  private Request decodeRequest(WireLine line) {
    String kind = line.requiredText("kind");
    RequestClass requestClass =
        RequestClass.findByName(targetRouter(line).settings.requestClasses(), kind);
    if (requestClass == null) {
      throw line.malformed("kind", "is unknown: " + kind);
    }
    String session = line.optionalText("sess");
    return new Request(
        new RequestId(line.requiredText("id")),
        requestClass,
        session == null ? null : new SessionId(session),
        new GroupId(line.optionalText("cluster") == null ? -1 : line.requiredInt("cluster")),
        line.requiredNanos("due"),
        line.optionalText("token_ms") == null
            ? 0
            : Math.round(line.requiredNumber("token_ms") * 1e6));
  }

  private AttemptResult decodeResult(WireLine line) {
    HostRole role = HostRole.UNKNOWN;
    long position = -1;
    if (line.optionalText("stamp") != null) {
      long stamp = line.requiredLong("stamp");
      role =
          switch ((int) (stamp % 4)) {
            case 1 -> HostRole.PRIMARY;
            case 2 -> HostRole.REPLICA;
            default -> HostRole.UNKNOWN;
          };
      if (stamp / 4 > 0) {
        position = targetRouter(line).positionZeroNanos + stamp / 4 * 1_000_000L;
      }
    }
    return new AttemptResult(
        new RequestId(line.requiredText("id")),
        line.requiredInt("try"),
        new HostId(line.requiredText("host")),
        decodeOutcome(line),
        line.requiredNanos("cost_time"),
        line.optionalFlag("ended"),
        role,
        position,
        decodeLoadReport(line));
  }

  private static AttemptOutcome decodeOutcome(WireLine line) {
    return switch (line.requiredText("rc")) {
      case "delivered" -> AttemptOutcome.SUCCESS;
      case "app_error" -> AttemptOutcome.ERROR;
      case "shed" -> AttemptOutcome.OVERLOADED;
      case "expired" -> AttemptOutcome.TIMED_OUT;
      case "dial_failed" -> AttemptOutcome.CONNECT_FAILED;
      case "dropped" -> AttemptOutcome.CONNECTION_LOST;
      case "revoked" -> AttemptOutcome.CANCELLED;
      case "unused" -> AttemptOutcome.NOT_SENT;
      case "empty" -> AttemptOutcome.REPLICA_LAGGING;
      default -> throw line.malformed("rc", "is unknown");
    };
  }

  /**
   * Positions in reports are seconds after the zero of the settings; here they become clock times.
   */
  private LoadReport decodeLoadReport(WireLine line) {
    String pairs = line.optionalText("pressure");
    if (pairs == null || pairs.isEmpty()) {
      return LoadReport.NONE;
    }
    double position = Double.NaN;
    HostRole role = HostRole.UNKNOWN;
    for (String pair : pairs.split(",")) {
      int colon = pair.indexOf(':');
      if (colon < 0) {
        throw line.malformed("pressure", "is not a list of pairs");
      }
      String text = pair.substring(colon + 1);
      double value =
          DecimalSeconds.parseNumber(text, () -> line.malformed("pressure", "has no number"));
      switch (pair.substring(0, colon)) {
        case "x0" -> position = value * NANOS_PER_SECOND + targetRouter(line).positionZeroNanos;
        case "x1" -> role = HostRole.of(value == 1);
        default -> {}
      }
    }
    return new LoadReport(position, role);
  }
}
