package rushwood;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import rushwood.api.AttemptOutcome;
import rushwood.api.AttemptResult;
import rushwood.api.Endpoint;
import rushwood.api.GroupId;
import rushwood.api.HostId;
import rushwood.api.HostRole;
import rushwood.api.LoadReport;
import rushwood.api.PolicyActions;
import rushwood.api.Request;
import rushwood.api.RequestClass;
import rushwood.api.RequestId;
import rushwood.api.RoutingPolicy;
import rushwood.api.RoutingSettings;
import rushwood.api.SessionId;
import rushwood.api.ZoneId;
import rushwood.policy.DefaultRoutingPolicy;

/**
 * Plays every scenario. A line is a word and its operands, times in milliseconds. What the
 * decisions do is a list of lines; "expect" takes the next that matches, passing over others,
 * "never" fails if one matches since the last expect, "count N" fails unless N match since the last
 * "mark". A * matches any word.
 */
class ScenarioTest {
  private static final Path FOLDER = Path.of("src/test/resources/scenarios");

  @TestFactory
  Stream<DynamicTest> scenarios() throws IOException {
    List<Path> files;
    try (Stream<Path> paths = Files.list(FOLDER)) {
      files = paths.sorted().toList();
    }
    return files.stream()
        .map(
            file ->
                DynamicTest.dynamicTest(
                    file.getFileName().toString(),
                    () -> {
                      ScenarioPlayer player = new ScenarioPlayer();
                      int number = 0;
                      for (String line : Files.readAllLines(file)) {
                        number++;
                        if (!line.isBlank() && !line.startsWith("#")) {
                          player.execute(
                              line.trim().split("\\s+"), file.getFileName() + ":" + number);
                        }
                      }
                    }));
  }

  private static final class ScenarioPlayer implements PolicyActions {
    private static final long MS = 1_000_000L;
    private static final long START = 1_000_000 * MS;

    private final Map<String, String> options =
        new HashMap<>(
            Map.of(
                "routers",
                "1",
                "behind",
                "REJECTS",
                "most-shots",
                "10",
                "cold-for",
                "10000",
                "cold-from",
                "0.2",
                "remembers",
                "false",
                "ask",
                "false",
                "gone-binds",
                "true"));
    private final Map<String, RequestClass> requestClasses = new LinkedHashMap<>();
    private final Map<String, String> defaultDeadlines = new HashMap<>();
    private final Map<String, Endpoint> hosts = new LinkedHashMap<>();
    private final Map<String, Request> requests = new HashMap<>();
    private final Map<String, List<String>> attemptHosts = new HashMap<>();
    private final List<String> performed = new ArrayList<>();
    private final TreeSet<Long> timers = new TreeSet<>();
    private RoutingPolicy policy;
    private long now = START;
    private int matched;
    private int mark;

    void execute(String[] words, String place) {
      switch (words[0]) {
        case "set" -> options.put(words[1], words[2]);
        case "product" -> defineRequestClass(words);
        case "host" -> defineHost(words);
        case "list" -> policy().endpointsReplaced(now, endpointsNamed(words), now == START);
        case "change" -> policy().endpointsUpdated(now, endpointsNamed(words));
        case "fail-list" -> policy().endpointRefreshFailed(now);
        case "at" -> advance(START + nanos(words[1]));
        case "access" -> arrive(words);
        case "answer" -> answerAttempt(words);
        case "probed" ->
            policy()
                .probeFinished(
                    now, new HostId(words[1]), words[2].equals("yes"), loadReport(words));
        case "closing" -> policy().shuttingDown(now, START + nanos(words[1]));
        case "left" -> policy().clientDisconnected(now, new RequestId(words[1]));
        case "mark" -> mark = performed.size();
        case "expect" -> expectAction(words, place);
        case "never" -> {
          if (performed.subList(matched, performed.size()).stream()
              .anyMatch(line -> matchesPattern(words, 1, line))) {
            Assertions.fail(
                place
                    + ": "
                    + String.join(" ", words)
                    + " in "
                    + performed.subList(matched, performed.size()));
          }
        }
        case "count" -> {
          long found =
              performed.stream().skip(mark).filter(line -> matchesPattern(words, 2, line)).count();
          if (found != Long.parseLong(words[1])) {
            Assertions.fail(
                place + ": " + found + " of " + String.join(" ", words) + " in " + performed);
          }
        }
        default -> Assertions.fail(place + ": unknown word " + words[0]);
      }
    }

    private static long nanos(String word) {
      return Math.round(Double.parseDouble(word) * MS);
    }

    private static String operand(String[] words, String key, String absent) {
      for (int i = 1; i < words.length - 1; i++) {
        if (words[i].equals(key)) {
          return words[i + 1];
        }
      }
      return absent;
    }

    private RoutingPolicy policy() {
      if (policy == null) {
        policy =
            new DefaultRoutingPolicy(
                new RoutingSettings(
                    Integer.parseInt(options.get("routers")),
                    List.copyOf(requestClasses.values()),
                    Boolean.parseBoolean(options.get("ask")),
                    RoutingSettings.LaggingReadBehavior.valueOf(options.get("behind")),
                    true,
                    Boolean.parseBoolean(options.get("remembers")),
                    true,
                    true,
                    true,
                    500 * MS,
                    Integer.parseInt(options.get("most-shots")),
                    5 * MS,
                    Boolean.parseBoolean(options.get("gone-binds")),
                    Double.parseDouble(options.get("cold-from")),
                    nanos(options.get("cold-for")),
                    2,
                    1000 * MS,
                    10_000 * MS),
                new SplittableRandom(1),
                this);
      }
      return policy;
    }

    /**
     * product NAME EFFECT NEED [bound MS] [quoted MS] [outer MS] [window MS] [scope SCOPE] [late
     * SHARE]
     */
    private void defineRequestClass(String[] words) {
      defaultDeadlines.put(words[1], operand(words, "outer", "1500"));
      requestClasses.put(
          words[1],
          new RequestClass(
              words[1],
              requestClasses.size(),
              nanos(operand(words, "quoted", "400")),
              RequestClass.Idempotency.valueOf(words[2]),
              RequestClass.KeyScope.valueOf(operand(words, "scope", "GROUP")),
              nanos(operand(words, "window", "3000")),
              words[3].equals("WRITE"),
              words[3].equals("WRITE")
                  ? RequestClass.Consistency.EVENTUAL
                  : RequestClass.Consistency.valueOf(words[3]),
              nanos(operand(words, "bound", "500")),
              Double.parseDouble(operand(words, "late", "0"))));
    }

    /** host NAME [primary yes] [state STATE] [started MS] [group N] [zone Z] */
    private void defineHost(String[] words) {
      String started = operand(words, "started", null);
      hosts.put(
          words[1],
          new Endpoint(
              new HostId(words[1]),
              new GroupId(Integer.parseInt(operand(words, "group", "1"))),
              new ZoneId(operand(words, "zone", "z")),
              1,
              started == null ? 0 : START + nanos(started),
              operand(words, "primary", "no").equals("yes"),
              Endpoint.State.valueOf(operand(words, "state", "READY"))));
    }

    private List<Endpoint> endpointsNamed(String[] words) {
      return Stream.of(words).skip(1).map(hosts::get).toList();
    }

    /** access NAME PRODUCT [due MS from now] [session S] [group N] */
    private void arrive(String[] words) {
      RequestClass product = requestClasses.get(words[2]);
      String session = operand(words, "session", null);
      Request access =
          new Request(
              new RequestId(words[1]),
              product,
              session == null ? null : new SessionId(session),
              new GroupId(Integer.parseInt(operand(words, "group", "1"))),
              now + nanos(operand(words, "due", defaultDeadlines.get(words[2]))),
              0);
      requests.put(words[1], access);
      policy().requestReceived(now, access);
    }

    /** answer NAME END [role primary|replica] [took MS] [position MS], for the last shot. */
    private void answerAttempt(String[] words) {
      List<String> sent = attemptHosts.get(words[1]);
      AttemptOutcome end = AttemptOutcome.valueOf(words[2]);
      String role = operand(words, "role", null);
      String host = operand(words, "from", sent.get(sent.size() - 1));
      policy()
          .attemptFinished(
              now,
              new AttemptResult(
                  new RequestId(words[1]),
                  sent.lastIndexOf(host),
                  new HostId(host),
                  end,
                  nanos(operand(words, "took", "50")),
                  end == AttemptOutcome.SUCCESS,
                  role(role),
                  -1,
                  loadReport(words)));
    }

    private LoadReport loadReport(String[] words) {
      String position = operand(words, "position", null);
      String role = operand(words, "reports", null);
      return position == null
          ? LoadReport.NONE
          : new LoadReport(START + nanos(position), role(role));
    }

    private static HostRole role(String word) {
      return word == null ? HostRole.UNKNOWN : HostRole.of(word.equals("primary"));
    }

    private void advance(long to) {
      while (!timers.isEmpty() && timers.first() <= to) {
        now = Math.max(now, timers.pollFirst());
        policy().timerFired(now);
      }
      now = to;
    }

    private void expectAction(String[] words, String place) {
      for (int i = matched; i < performed.size(); i++) {
        if (matchesPattern(words, 1, performed.get(i))) {
          matched = i + 1;
          return;
        }
      }
      Assertions.fail(
          place
              + ": no "
              + String.join(" ", words)
              + " in "
              + performed.subList(matched, performed.size()));
    }

    private static boolean matchesPattern(String[] pattern, int from, String line) {
      String[] words = line.split(" ");
      for (int i = from; i < pattern.length; i++) {
        if (i - from >= words.length
            || (!pattern[i].equals("*") && !pattern[i].equals(words[i - from]))) {
          return false;
        }
      }
      return true;
    }

    @Override
    public void send(RequestId access, HostId host, long timeOut, long beginWithin) {
      attemptHosts.computeIfAbsent(access.value(), each -> new ArrayList<>()).add(host.value());
      performed.add("send " + access + " " + host);
    }

    @Override
    public void cancel(RequestId access, int shot) {
      performed.add("withdraw " + access + " " + shot);
    }

    @Override
    public void reject(RequestId access, long advice) {
      performed.add("turn-back " + access + " " + advice / MS);
    }

    @Override
    public void fail(RequestId access) {
      performed.add("give-up " + access);
    }

    @Override
    public void probe(HostId host) {
      performed.add("probe " + host);
    }

    @Override
    public void wakeAt(long at) {
      timers.add(Math.max(at, now + 1));
    }

    @Override
    public void subscribeToEndpoints() {
      performed.add("subscribe");
    }

    @Override
    public void log(String line) {
      performed.add("log " + line);
    }
  }
}
