package rushwood.adapter;

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
import rushwood.api.LoadReport;
import rushwood.api.Request;
import rushwood.api.RequestClass;
import rushwood.api.RequestId;
import rushwood.api.SessionId;
import rushwood.api.ZoneId;

/** Reads batches, hands each event to its router and writes the reply. */
public final class Adapter {
  private static final double SECOND = 1e9;

  private final BufferedReader in;
  private final Map<Integer, Instance> instances = new LinkedHashMap<>();
  private final Map<Integer, List<Endpoint>> pages = new LinkedHashMap<>();
  private final Map<Integer, Instance> touched = new LinkedHashMap<>();
  private long number;
  private long now;
  private Integer target;

  private Adapter(InputStream in) {
    this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
  }

  /** Serves the wire until the end of input; the exit code. */
  public static int run(InputStream in, OutputStream out, PrintStream errors) throws IOException {
    Adapter adapter = new Adapter(in);
    try {
      for (String reply = adapter.batch(); reply != null; reply = adapter.batch()) {
        out.write(reply.getBytes(StandardCharsets.UTF_8));
        out.flush();
      }
      return 0;
    } catch (BadLine e) {
      errors.println("rushwood: " + e.getMessage());
      return 1;
    }
  }

  private Line next() throws IOException {
    String text = in.readLine();
    number++;
    return text == null ? null : new Line(text, number);
  }

  /** The reply to the next batch, or null at the end of input. */
  private String batch() throws IOException {
    Line line = next();
    while (line != null && line.message().isEmpty()) {
      line = next();
    }
    if (line == null) {
      return null;
    }
    if (!line.message().equals("mark")) {
      throw line.bad("message", "stands where mark is due");
    }
    now = line.time("clock");
    target = null;
    touched.clear();
    try {
      for (line = more(); !line.message().equals("eof_batch"); line = more()) {
        event(line);
      }
    } catch (BadLine e) {
      return fault(e.getMessage(), e);
    } catch (RuntimeException e) {
      return fault(line.bad("message", "met " + e).getMessage(), new BadLine(e.toString()));
    }
    StringBuilder reply = new StringBuilder();
    touched.forEach(
        (router, instance) -> {
          if (instance.lines.length() > 0) {
            reply.append("as\trouter=").append(router).append('\n').append(instance.lines);
            instance.lines.setLength(0);
          }
        });
    return reply.append("ok\n").toString();
  }

  private Line more() throws IOException {
    Line line = next();
    if (line == null) {
      throw new BadLine("line " + number + ": the input ends within a batch");
    }
    return line;
  }

  /**
   * Ends the day in plain words where an instance can be named; else the caller ends the process.
   */
  private String fault(String message, BadLine cause) throws IOException {
    if (target == null) {
      throw cause;
    }
    for (Line line = next(); line != null && !line.message().equals("eof_batch"); line = next()) {
      continue;
    }
    return "as\trouter=" + target + "\ndie\tmessage=" + message.replaceAll("\\s+", " ") + "\nok\n";
  }

  private void event(Line line) throws IOException {
    switch (line.message()) {
      case "target_instance" -> target = line.whole("router");
      case "manifest" -> pages.put(line.whole("page"), rows(line.whole("rows_in")));
      case "power_on" -> start(line);
      case "detach" -> {
        instance(line);
        instances.remove(target);
        touched.remove(target);
      }
      case "topology" -> list(line);
      case "work_item" -> instance(line).decisions.requestReceived(now, access(line));
      case "report_back" -> instance(line).decisions.attemptFinished(now, answer(line));
      case "lapsed" ->
          instance(line).decisions.clientDisconnected(now, new RequestId(line.need("id")));
      case "status_back" ->
          instance(line)
              .decisions
              .probeFinished(
                  now,
                  new HostId(line.need("host")),
                  end(line) == AttemptOutcome.SUCCESS,
                  report(line));
      case "due" -> instance(line).decisions.timerFired(now);
      case "accepted", "from_peer" -> instance(line);
      default -> throw line.bad("message", "is unknown");
    }
  }

  private Instance instance(Line line) {
    Instance instance = target == null ? null : instances.get(target);
    if (instance == null) {
      throw line.bad("router", target == null ? "is not named" : target + " is unknown");
    }
    touched.put(target, instance);
    return instance;
  }

  private void start(Line line) {
    if (target == null) {
      throw line.bad("router", "is not named");
    }
    Instance instance = new Instance(new Conf(line.pairs(), line::bad), line.big("entropy"));
    instances.put(target, instance);
    touched.put(target, instance);
  }

  private List<Endpoint> rows(int count) throws IOException {
    List<Endpoint> hosts = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      Line row = more();
      if (!row.message().equals("row")) {
        throw row.bad("message", "stands where a row is due");
      }
      String started = row.find("up_since");
      String group = row.find("group");
      String weight = row.find("nominal");
      String leads = row.find("leads");
      hosts.add(
          new Endpoint(
              new HostId(row.need("host")),
              new GroupId(group == null ? -1 : row.whole("group")),
              new ZoneId(row.find("hall") == null ? "" : row.find("hall")),
              weight == null ? 1 : row.number("nominal"),
              started == null ? 0 : row.time("up_since"),
              leads != null && row.number("leads") == 1,
              state(row)));
    }
    return hosts;
  }

  private static Endpoint.State state(Line row) {
    return switch (row.need("stage_state")) {
      case "in_service" -> Endpoint.State.READY;
      case "terminating" -> Endpoint.State.DRAINING;
      case "terminated" -> Endpoint.State.REMOVED;
      default -> throw row.bad("stage_state", "is unknown");
    };
  }

  private void list(Line line) {
    Instance instance = instance(line);
    String how = line.need("how");
    if (how.equals("error")) {
      instance.decisions.endpointRefreshFailed(now);
      return;
    }
    List<Endpoint> hosts = pages.get(line.whole("page"));
    if (hosts == null) {
      throw line.bad("page", "names no list");
    }
    switch (how) {
      case "diff" -> instance.decisions.endpointsUpdated(now, hosts);
      case "snapshot" -> instance.decisions.endpointsReplaced(now, hosts, false);
      case "disk" -> instance.decisions.endpointsReplaced(now, hosts, true);
      default -> throw line.bad("how", "is unknown");
    }
  }

  private Request access(Line line) {
    String kind = line.need("kind");
    RequestClass product = RequestClass.findByName(instance(line).settings.requestClasses(), kind);
    if (product == null) {
      throw line.bad("kind", "is unknown: " + kind);
    }
    String session = line.find("sess");
    return new Request(
        new RequestId(line.need("id")),
        product,
        session == null ? null : new SessionId(session),
        new GroupId(line.find("cluster") == null ? -1 : line.whole("cluster")),
        line.time("due"),
        line.find("token_ms") == null ? 0 : Math.round(line.number("token_ms") * 1e6));
  }

  private AttemptResult answer(Line line) {
    Boolean primary = null;
    long position = -1;
    if (line.find("stamp") != null) {
      long stamp = line.big("stamp");
      primary = stamp % 4 == 1 ? Boolean.TRUE : stamp % 4 == 2 ? Boolean.FALSE : null;
      if (stamp / 4 > 0) {
        position = instance(line).positionZero + stamp / 4 * 1_000_000L;
      }
    }
    return new AttemptResult(
        new RequestId(line.need("id")),
        line.whole("try"),
        new HostId(line.need("host")),
        end(line),
        line.time("cost_time"),
        line.flag("ended"),
        primary,
        position,
        report(line));
  }

  private static AttemptOutcome end(Line line) {
    return switch (line.need("rc")) {
      case "delivered" -> AttemptOutcome.SUCCESS;
      case "app_error" -> AttemptOutcome.ERROR;
      case "shed" -> AttemptOutcome.OVERLOADED;
      case "expired" -> AttemptOutcome.TIMED_OUT;
      case "dial_failed" -> AttemptOutcome.CONNECT_FAILED;
      case "dropped" -> AttemptOutcome.CONNECTION_LOST;
      case "revoked" -> AttemptOutcome.CANCELLED;
      case "unused" -> AttemptOutcome.NOT_SENT;
      case "empty" -> AttemptOutcome.REPLICA_LAGGING;
      default -> throw line.bad("rc", "is unknown");
    };
  }

  /**
   * Positions in reports are seconds after the zero of the settings; here they become clock times.
   */
  private LoadReport report(Line line) {
    String pairs = line.find("pressure");
    if (pairs == null || pairs.isEmpty()) {
      return LoadReport.NONE;
    }
    double position = Double.NaN;
    Boolean primary = null;
    for (String pair : pairs.split(",")) {
      int colon = pair.indexOf(':');
      if (colon < 0) {
        throw line.bad("pressure", "is not a list of pairs");
      }
      String text = pair.substring(colon + 1);
      double value = Decimal.number(text, () -> line.bad("pressure", "has no number"));
      switch (pair.substring(0, colon)) {
        case "x0" -> position = value * SECOND + instance(line).positionZero;
        case "x1" -> primary = value == 1;
        default -> {}
      }
    }
    return new LoadReport(position, primary);
  }
}
