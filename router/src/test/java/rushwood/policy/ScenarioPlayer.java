package rushwood.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.junit.jupiter.api.Assertions;
import rushwood.api.AttemptOutcome;
import rushwood.api.AttemptResult;
import rushwood.api.Endpoint;
import rushwood.api.GroupId;
import rushwood.api.HostId;
import rushwood.api.HostRole;
import rushwood.api.LoadReport;
import rushwood.api.LogLevel;
import rushwood.api.PolicyActions;
import rushwood.api.Request;
import rushwood.api.RequestClass;
import rushwood.api.RequestId;
import rushwood.api.RoutingPolicy;
import rushwood.api.RoutingSettings;
import rushwood.api.SessionId;
import rushwood.api.ZoneId;
import rushwood.policy.ScenarioScript.Command;

/**
 * Runs a scenario against a routing policy. Times are milliseconds since the start of the scenario;
 * words in brackets are optional.
 *
 * <pre>
 * set SETTING VALUE                before the first event; see {@link #defaultSettings}
 * class NAME IDEMPOTENCY CONSISTENCY [bound MS] [objective MS] [deadline MS] [window MS]
 *     [scope SCOPE] [late SHARE]   defines a request class; CONSISTENCY may be WRITE
 * host NAME [primary yes] [state STATE] [started MS] [group N] [zone Z]
 *                                  defines or redefines an endpoint
 * at MS                            advances the clock and fires the timers until then
 * endpoints HOST...                the complete endpoint list; at time 0 the cached one
 * update HOST...                   changed endpoints
 * refresh-fails                    a request for the endpoint list failed
 * request NAME CLASS [deadline MS] [session S] [group N]
 *                                  a request arrives; its deadline is relative to its arrival
 * result NAME OUTCOME [from HOST] [role ROLE] [took MS] [position MS] [reports ROLE]
 *                                  ends the last attempt, or the last one at that host
 * health-check-result HOST yes|no [position MS] [reports ROLE]
 * disconnect NAME                  the client of the request disconnects
 * shutdown MS                      the router begins to shut down; answers are due before MS
 * </pre>
 *
 * <p>Each action of the policy is recorded as a line: {@code send REQUEST HOST}, {@code cancel
 * REQUEST ATTEMPT}, {@code reject REQUEST RETRY-AFTER}, {@code fail REQUEST}, {@code check-health
 * HOST}, {@code subscribe} or {@code log TEXT}. {@code expect PATTERN} skips to the next line that
 * matches and fails if there is none; {@code never PATTERN} fails if a line after the last expected
 * one matches; {@code count N PATTERN} fails unless N lines since the last {@code mark} match. A
 * pattern matches the beginning of a line word by word; * matches any word.
 */
final class ScenarioPlayer implements PolicyActions {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long START_TIME = 1_000_000 * NANOS_PER_MILLI;

  private final Map<String, String> settings = defaultSettings();
  private final Map<String, RequestClass> requestClasses = new LinkedHashMap<>();
  private final Map<String, String> defaultDeadlines = new HashMap<>();
  private final Map<String, Endpoint> endpoints = new LinkedHashMap<>();
  private final Map<String, List<String>> attemptHosts = new HashMap<>();
  private final List<String> actions = new ArrayList<>();
  private final TreeSet<Long> timers = new TreeSet<>();
  private RoutingPolicy policy;
  private long now = START_TIME;
  private int firstUnmatchedAction;
  private int markedAction;

  private static Map<String, String> defaultSettings() {
    Map<String, String> settings = new HashMap<>();
    settings.put("routers", "1");
    settings.put("lagging-reads", "REJECTS");
    settings.put("max-attempts", "10");
    settings.put("warmup", "10000");
    settings.put("cold-share", "0.2");
    settings.put("tracks-writes", "false");
    settings.put("subscribes", "false");
    settings.put("removal-binding", "true");
    return settings;
  }

  void execute(Command command) {
    switch (command.name()) {
      case "set" -> settings.put(command.word(1), command.word(2));
      case "class" -> defineRequestClass(command);
      case "host" -> defineEndpoint(command);
      case "at" -> advance(START_TIME + nanos(command.word(1)));
      case "endpoints" -> policy().endpointsReplaced(now, endpointsOf(command), now == START_TIME);
      case "update" -> policy().endpointsUpdated(now, endpointsOf(command));
      case "refresh-fails" -> policy().endpointRefreshFailed(now);
      case "request" -> request(command);
      case "result" -> finishAttempt(command);
      case "health-check-result" -> finishHealthCheck(command);
      case "shutdown" -> policy().shuttingDown(now, START_TIME + nanos(command.word(1)));
      case "disconnect" -> policy().clientDisconnected(now, new RequestId(command.word(1)));
      case "mark" -> markedAction = actions.size();
      case "expect" -> expect(command);
      case "never" -> expectNone(command);
      case "count" -> expectCount(command);
      default -> Assertions.fail(command.source() + ": unknown command " + command.name());
    }
  }

  private static long nanos(String millis) {
    return Math.round(Double.parseDouble(millis) * NANOS_PER_MILLI);
  }

  private RoutingPolicy policy() {
    if (policy == null) {
      policy = new DefaultRoutingPolicy(routingSettings(), new SplittableRandom(1), this);
    }
    return policy;
  }

  private RoutingSettings routingSettings() {
    return RoutingSettings.builder()
        .routerCount(Integer.parseInt(settings.get("routers")))
        .requestClasses(List.copyOf(requestClasses.values()))
        .subscribesToEndpoints(Boolean.parseBoolean(settings.get("subscribes")))
        .laggingReadBehavior(
            RoutingSettings.LaggingReadBehavior.valueOf(settings.get("lagging-reads")))
        .hasLoadReports(true)
        .tracksSessionWrites(Boolean.parseBoolean(settings.get("tracks-writes")))
        .hasHealthChecks(true)
        .canCancel(true)
        .canSendRetryAfter(true)
        .maxRetryAfterNanos(500 * NANOS_PER_MILLI)
        .maxAttempts(Integer.parseInt(settings.get("max-attempts")))
        .clockResolutionNanos(5 * NANOS_PER_MILLI)
        .isRemovalBinding(Boolean.parseBoolean(settings.get("removal-binding")))
        .coldStartShare(Double.parseDouble(settings.get("cold-share")))
        .warmupNanos(nanos(settings.get("warmup")))
        .collapseMultiple(2)
        .collapseWindowNanos(1000 * NANOS_PER_MILLI)
        .refreshWithinNanos(10_000 * NANOS_PER_MILLI)
        .build();
  }

  private void defineRequestClass(Command command) {
    String name = command.word(1);
    boolean isWrite = command.word(3).equals("WRITE");
    defaultDeadlines.put(name, command.operand("deadline", "1500"));
    requestClasses.put(
        name,
        new RequestClass(
            name,
            requestClasses.size(),
            nanos(command.operand("objective", "400")),
            RequestClass.Idempotency.valueOf(command.word(2)),
            RequestClass.KeyScope.valueOf(command.operand("scope", "GROUP")),
            nanos(command.operand("window", "3000")),
            isWrite,
            isWrite
                ? RequestClass.Consistency.EVENTUAL
                : RequestClass.Consistency.valueOf(command.word(3)),
            nanos(command.operand("bound", "500")),
            Double.parseDouble(command.operand("late", "0"))));
  }

  private void defineEndpoint(Command command) {
    String started = command.operand("started", null);
    endpoints.put(
        command.word(1),
        new Endpoint(
            new HostId(command.word(1)),
            new GroupId(Integer.parseInt(command.operand("group", "1"))),
            new ZoneId(command.operand("zone", "z")),
            1,
            started == null ? 0 : START_TIME + nanos(started),
            command.operand("primary", "no").equals("yes"),
            Endpoint.State.valueOf(command.operand("state", "READY"))));
  }

  private List<Endpoint> endpointsOf(Command command) {
    return command.words().stream().skip(1).map(endpoints::get).toList();
  }

  private void request(Command command) {
    RequestClass requestClass = requestClasses.get(command.word(2));
    String session = command.operand("session", null);
    String deadline = command.operand("deadline", defaultDeadlines.get(command.word(2)));
    policy()
        .requestReceived(
            now,
            new Request(
                new RequestId(command.word(1)),
                requestClass,
                session == null ? null : new SessionId(session),
                new GroupId(Integer.parseInt(command.operand("group", "1"))),
                now + nanos(deadline),
                0));
  }

  private void finishAttempt(Command command) {
    List<String> hosts = attemptHosts.get(command.word(1));
    AttemptOutcome outcome = AttemptOutcome.valueOf(command.word(2));
    String host = command.operand("from", hosts.get(hosts.size() - 1));
    policy()
        .attemptFinished(
            now,
            new AttemptResult(
                new RequestId(command.word(1)),
                hosts.lastIndexOf(host),
                new HostId(host),
                outcome,
                nanos(command.operand("took", "50")),
                outcome == AttemptOutcome.SUCCESS,
                role(command.operand("role", null)),
                AttemptResult.NO_POSITION,
                loadReport(command)));
  }

  private void finishHealthCheck(Command command) {
    HostId host = new HostId(command.word(1));
    policy().healthCheckFinished(now, host, command.word(2).equals("yes"), loadReport(command));
  }

  private static LoadReport loadReport(Command command) {
    String position = command.operand("position", null);
    return position == null
        ? LoadReport.NONE
        : new LoadReport(START_TIME + nanos(position), role(command.operand("reports", null)));
  }

  private static HostRole role(String word) {
    return word == null ? HostRole.UNKNOWN : HostRole.of(word.equals("primary"));
  }

  private void advance(long time) {
    while (!timers.isEmpty() && timers.first() <= time) {
      now = Math.max(now, timers.pollFirst());
      policy().timerFired(now);
    }
    now = time;
  }

  private void expect(Command command) {
    for (int i = firstUnmatchedAction; i < actions.size(); i++) {
      if (matches(command, 1, actions.get(i))) {
        firstUnmatchedAction = i + 1;
        return;
      }
    }
    Assertions.fail(command.source() + ": no " + command + " in " + unmatchedActions());
  }

  private void expectNone(Command command) {
    if (unmatchedActions().stream().anyMatch(line -> matches(command, 1, line))) {
      Assertions.fail(command.source() + ": " + command + " in " + unmatchedActions());
    }
  }

  private List<String> unmatchedActions() {
    return actions.subList(firstUnmatchedAction, actions.size());
  }

  private void expectCount(Command command) {
    long found =
        actions.stream().skip(markedAction).filter(line -> matches(command, 2, line)).count();
    if (found != Long.parseLong(command.word(1))) {
      Assertions.fail(command.source() + ": " + found + " of " + command + " in " + actions);
    }
  }

  /**
   * Returns whether the words of the command from {@code patternStart} on match the beginning of
   * the line.
   */
  private static boolean matches(Command command, int patternStart, String line) {
    List<String> pattern = command.words().subList(patternStart, command.words().size());
    String[] words = line.split(" ");
    for (int i = 0; i < pattern.size(); i++) {
      boolean isAny = pattern.get(i).equals("*");
      if (i >= words.length || (!isAny && !pattern.get(i).equals(words[i]))) {
        return false;
      }
    }
    return true;
  }

  @Override
  public void send(RequestId request, HostId host, long timeoutNanos, long startWithinNanos) {
    attemptHosts.computeIfAbsent(request.value(), id -> new ArrayList<>()).add(host.value());
    long startWithinMillis = startWithinNanos / NANOS_PER_MILLI;
    actions.add("send " + request + " " + host + " within " + startWithinMillis);
  }

  @Override
  public void cancel(RequestId request, int attemptNumber) {
    actions.add("cancel " + request + " " + attemptNumber);
  }

  @Override
  public void reject(RequestId request, long retryAfterNanos) {
    actions.add("reject " + request + " " + retryAfterNanos / NANOS_PER_MILLI);
  }

  @Override
  public void fail(RequestId request) {
    actions.add("fail " + request);
  }

  @Override
  public void checkHealth(HostId host) {
    actions.add("check-health " + host);
  }

  @Override
  public void wakeAt(long time) {
    timers.add(Math.max(time, now + 1));
  }

  @Override
  public void subscribeToEndpoints() {
    actions.add("subscribe");
  }

  @Override
  public void log(LogLevel level, String line) {
    actions.add("log " + line);
  }
}
