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
import rushwood.api.Endpoint;
import rushwood.api.HostId;
import rushwood.api.RequestId;
import rushwood.config.InvalidConfigException;
import rushwood.config.SettingsDecoder;

/**
 * Serves the simulator's wire: reads batches of events, hands each event to the policy of its
 * router and replies with what the policies decided.
 *
 * <p>A batch begins with {@code mark}, which gives the time, and ends with {@code eof_batch}. In
 * between, {@code target_instance} names the router that the following events are for.
 */
public final class SimulatorAdapter {
  private static final int EXIT_OK = 0;
  private static final int EXIT_MALFORMED_INPUT = 1;
  private static final int BUFFER_SIZE = 1 << 16;

  private static final String BATCH_START = "mark";
  private static final String BATCH_END = "eof_batch";

  private final BufferedReader input;
  private final Map<Integer, SimulatedRouter> routers = new LinkedHashMap<>();
  private final Map<Integer, List<Endpoint>> endpointLists = new LinkedHashMap<>();
  private final Map<Integer, SimulatedRouter> routersOfBatch = new LinkedHashMap<>();
  private long lineNumber;
  private long now;
  private Integer targetId; // null until the batch names a router

  private SimulatorAdapter(InputStream in) {
    input = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), BUFFER_SIZE);
  }

  /**
   * Serves the wire until the end of input.
   *
   * @param errors gets one line if the input is malformed where no router can be told
   * @return the exit code: 0 at the end of input, 1 after malformed input
   * @throws IOException if the streams cannot be read or written
   */
  public static int run(InputStream in, OutputStream out, PrintStream errors) throws IOException {
    SimulatorAdapter adapter = new SimulatorAdapter(in);
    try {
      for (String reply = adapter.processBatch(); reply != null; reply = adapter.processBatch()) {
        out.write(reply.getBytes(StandardCharsets.UTF_8));
        out.flush();
      }
      return EXIT_OK;
    } catch (MalformedMessageException e) {
      errors.println("rushwood: " + e.getMessage());
      return EXIT_MALFORMED_INPUT;
    }
  }

  /** Processes the next batch; returns the reply, or null at the end of input. */
  private String processBatch() throws IOException {
    WireLine line = readLine();
    while (line != null && line.messageType().isEmpty()) {
      line = readLine();
    }
    if (line == null) {
      return null;
    }
    if (!line.messageType().equals(BATCH_START)) {
      throw line.malformed("message", "stands where mark is due");
    }
    now = line.requiredNanos("clock");
    targetId = null;
    routersOfBatch.clear();
    try {
      for (line = readLineOfBatch(); !isBatchEnd(line); line = readLineOfBatch()) {
        handleEvent(line);
      }
    } catch (MalformedMessageException e) {
      return failureReply(e.getMessage(), e);
    } catch (RuntimeException e) {
      MalformedMessageException cause = new MalformedMessageException(e.toString());
      return failureReply(line.malformed("message", "met " + e).getMessage(), cause);
    }
    return batchReply();
  }

  private WireLine readLine() throws IOException {
    String text = input.readLine();
    lineNumber++;
    return text == null ? null : new WireLine(text, lineNumber);
  }

  private WireLine readLineOfBatch() throws IOException {
    WireLine line = readLine();
    if (line == null) {
      throw new MalformedMessageException("line " + lineNumber + ": the input ends within a batch");
    }
    return line;
  }

  private static boolean isBatchEnd(WireLine line) {
    return line.messageType().equals(BATCH_END);
  }

  private String batchReply() {
    StringBuilder reply = new StringBuilder();
    routersOfBatch.forEach(
        (id, router) -> {
          String output = router.takeOutput();
          if (!output.isEmpty()) {
            reply.append("as\trouter=").append(id).append('\n').append(output);
          }
        });
    return reply.append("ok\n").toString();
  }

  /**
   * Skips the rest of the batch and returns the reply that ends the simulation with a message.
   * Without a router to send it for, throws {@code cause} instead, which ends the process.
   */
  private String failureReply(String message, MalformedMessageException cause) throws IOException {
    if (targetId == null) {
      throw cause;
    }
    WireLine line = readLine();
    while (line != null && !isBatchEnd(line)) {
      line = readLine();
    }
    String singleLine = message.replaceAll("\\s+", " ");
    return "as\trouter=" + targetId + "\ndie\tmessage=" + singleLine + "\nok\n";
  }

  private void handleEvent(WireLine line) throws IOException {
    switch (line.messageType()) {
      case "target_instance" -> targetId = line.requiredInt("router");
      case "manifest" -> readEndpointList(line);
      case "power_on" -> startRouter(line);
      case "detach" -> removeRouter(line);
      case "topology" -> updateEndpoints(line);
      case "work_item" -> receiveRequest(line);
      case "report_back" -> finishAttempt(line);
      case "lapsed" ->
          targetRouter(line)
              .policy()
              .clientDisconnected(now, new RequestId(line.requiredText("id")));
      case "status_back" -> finishProbe(line);
      case "due" -> targetRouter(line).policy().timerFired(now);
      case "accepted", "from_peer" -> targetRouter(line);
      default -> throw line.malformed("message", "is unknown");
    }
  }

  /** Returns the router that the batch has named; its output becomes part of the reply. */
  private SimulatedRouter targetRouter(WireLine line) {
    SimulatedRouter router = targetId == null ? null : routers.get(targetId);
    if (router == null) {
      throw line.malformed("router", targetId == null ? "is not named" : targetId + " is unknown");
    }
    routersOfBatch.put(targetId, router);
    return router;
  }

  private void startRouter(WireLine line) {
    if (targetId == null) {
      throw line.malformed("router", "is not named");
    }
    SimulatedRouter router = createRouter(line);
    routers.put(targetId, router);
    routersOfBatch.put(targetId, router);
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
    routers.remove(targetId);
    routersOfBatch.remove(targetId);
  }

  /** Reads the rows of an endpoint list, to which later events refer by its number. */
  private void readEndpointList(WireLine line) throws IOException {
    int listNumber = line.requiredInt("page");
    int rowCount = line.requiredInt("rows_in");
    List<Endpoint> endpoints = new ArrayList<>();
    for (int i = 0; i < rowCount; i++) {
      WireLine row = readLineOfBatch();
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

  private void finishAttempt(WireLine line) {
    SimulatedRouter router = targetRouter(line);
    router.policy().attemptFinished(now, EventDecoder.decodeAttemptResult(line, router));
  }

  private void finishProbe(WireLine line) {
    SimulatedRouter router = targetRouter(line);
    HostId host = new HostId(line.requiredText("host"));
    boolean hasAnswered = EventDecoder.decodeOutcome(line) == AttemptOutcome.SUCCESS;
    router
        .policy()
        .probeFinished(now, host, hasAnswered, EventDecoder.decodeLoadReport(line, router));
  }
}
