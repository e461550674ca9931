package rushwood;

import static org.junit.jupiter.api.Assertions.fail;

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
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import rushwood.api.Access;
import rushwood.api.AccessId;
import rushwood.api.Answer;
import rushwood.api.Decisions;
import rushwood.api.GroupId;
import rushwood.api.HostId;
import rushwood.api.ListedHost;
import rushwood.api.LoadReport;
import rushwood.api.Outlet;
import rushwood.api.Product;
import rushwood.api.SessionId;
import rushwood.api.Settings;
import rushwood.api.ShotEnd;
import rushwood.api.ZoneId;
import rushwood.decision.Choice;

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
                      Play play = new Play();
                      int number = 0;
                      for (String line : Files.readAllLines(file)) {
                        number++;
                        if (!line.isBlank() && !line.startsWith("#")) {
                          play.line(line.trim().split("\\s+"), file.getFileName() + ":" + number);
                        }
                      }
                    }));
  }

  private static final class Play implements Outlet {
    private static final long MS = 1_000_000L;
    private static final long START = 1_000_000 * MS;

    private final Map<String, String> set =
        new HashMap<>(
            Map.of(
                "routers",
                "1",
                "behind",
                "TURNS_AWAY",
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
    private final Map<String, Product> products = new LinkedHashMap<>();
    private final Map<String, String> outer = new HashMap<>();
    private final Map<String, ListedHost> hosts = new LinkedHashMap<>();
    private final Map<String, Access> accesses = new HashMap<>();
    private final Map<String, List<String>> shots = new HashMap<>();
    private final List<String> done = new ArrayList<>();
    private final TreeSet<Long> wakes = new TreeSet<>();
    private Decisions decisions;
    private long now = START;
    private int seen;
    private int mark;

    void line(String[] w, String place) {
      switch (w[0]) {
        case "set" -> set.put(w[1], w[2]);
        case "product" -> product(w);
        case "host" -> host(w);
        case "list" -> decisions().listed(now, named(w), now == START);
        case "change" -> decisions().listChanged(now, named(w));
        case "fail-list" -> decisions().listFailed(now);
        case "at" -> advance(START + ms(w[1]));
        case "access" -> access(w);
        case "answer" -> answer(w);
        case "probed" ->
            decisions().probed(now, new HostId(w[1]), w[2].equals("yes"), report(w, 3));
        case "closing" -> decisions().closing(now, START + ms(w[1]));
        case "left" -> decisions().left(now, new AccessId(w[1]));
        case "mark" -> mark = done.size();
        case "expect" -> expect(w, place);
        case "never" -> {
          if (done.subList(seen, done.size()).stream().anyMatch(line -> matches(w, 1, line))) {
            fail(place + ": " + String.join(" ", w) + " in " + done.subList(seen, done.size()));
          }
        }
        case "count" -> {
          long found = done.stream().skip(mark).filter(line -> matches(w, 2, line)).count();
          if (found != Long.parseLong(w[1])) {
            fail(place + ": " + found + " of " + String.join(" ", w) + " in " + done);
          }
        }
        default -> fail(place + ": unknown word " + w[0]);
      }
    }

    private static long ms(String word) {
      return Math.round(Double.parseDouble(word) * MS);
    }

    private static String after(String[] words, String key, String absent) {
      for (int i = 1; i < words.length - 1; i++) {
        if (words[i].equals(key)) {
          return words[i + 1];
        }
      }
      return absent;
    }

    private Decisions decisions() {
      if (decisions == null) {
        decisions =
            new Choice(
                new Settings(
                    Integer.parseInt(set.get("routers")),
                    List.copyOf(products.values()),
                    Boolean.parseBoolean(set.get("ask")),
                    Settings.Behind.valueOf(set.get("behind")),
                    true,
                    Boolean.parseBoolean(set.get("remembers")),
                    true,
                    true,
                    true,
                    500 * MS,
                    Integer.parseInt(set.get("most-shots")),
                    5 * MS,
                    Boolean.parseBoolean(set.get("gone-binds")),
                    Double.parseDouble(set.get("cold-from")),
                    ms(set.get("cold-for")),
                    2,
                    1000 * MS,
                    10_000 * MS),
                new SplittableRandom(1),
                this);
      }
      return decisions;
    }

    /**
     * product NAME EFFECT NEED [bound MS] [quoted MS] [outer MS] [window MS] [scope SCOPE] [late
     * SHARE]
     */
    private void product(String[] w) {
      outer.put(w[1], after(w, "outer", "1500"));
      products.put(
          w[1],
          new Product(
              w[1],
              products.size(),
              ms(after(w, "quoted", "400")),
              Product.Effect.valueOf(w[2]),
              Product.Scope.valueOf(after(w, "scope", "GROUP")),
              ms(after(w, "window", "3000")),
              Product.Need.valueOf(w[3]),
              ms(after(w, "bound", "500")),
              Double.parseDouble(after(w, "late", "0"))));
    }

    /** host NAME [primary yes] [state STATE] [started MS] [group N] [zone Z] */
    private void host(String[] w) {
      String started = after(w, "started", null);
      hosts.put(
          w[1],
          new ListedHost(
              new HostId(w[1]),
              new GroupId(Integer.parseInt(after(w, "group", "1"))),
              new ZoneId(after(w, "zone", "z")),
              1,
              started == null ? 0 : START + ms(started),
              after(w, "primary", "no").equals("yes"),
              ListedHost.State.valueOf(after(w, "state", "IN_SERVICE"))));
    }

    private List<ListedHost> named(String[] w) {
      return Stream.of(w).skip(1).map(hosts::get).toList();
    }

    /** access NAME PRODUCT [due MS from now] [session S] [group N] */
    private void access(String[] w) {
      Product product = products.get(w[2]);
      String session = after(w, "session", null);
      Access access =
          new Access(
              new AccessId(w[1]),
              product,
              session == null ? null : new SessionId(session),
              new GroupId(Integer.parseInt(after(w, "group", "1"))),
              now + ms(after(w, "due", outer.get(w[2]))),
              0);
      accesses.put(w[1], access);
      decisions().arrived(now, access);
    }

    /** answer NAME END [role primary|replica] [took MS] [position MS], for the last shot. */
    private void answer(String[] w) {
      List<String> sent = shots.get(w[1]);
      ShotEnd end = ShotEnd.valueOf(w[2]);
      String role = after(w, "role", null);
      String host = after(w, "from", sent.get(sent.size() - 1));
      decisions()
          .answered(
              now,
              new Answer(
                  new AccessId(w[1]),
                  sent.lastIndexOf(host),
                  new HostId(host),
                  end,
                  ms(after(w, "took", "50")),
                  end == ShotEnd.FULFILLED,
                  role == null ? null : role.equals("primary"),
                  -1,
                  report(w, 3)));
    }

    private LoadReport report(String[] w, int from) {
      String position = after(w, "position", null);
      String role = after(w, "reports", null);
      return position == null
          ? LoadReport.NONE
          : new LoadReport(START + ms(position), role == null ? null : role.equals("primary"));
    }

    private void advance(long to) {
      while (!wakes.isEmpty() && wakes.first() <= to) {
        now = Math.max(now, wakes.pollFirst());
        decisions().woken(now);
      }
      now = to;
    }

    private void expect(String[] w, String place) {
      for (int i = seen; i < done.size(); i++) {
        if (matches(w, 1, done.get(i))) {
          seen = i + 1;
          return;
        }
      }
      fail(place + ": no " + String.join(" ", w) + " in " + done.subList(seen, done.size()));
    }

    private static boolean matches(String[] w, int from, String line) {
      String[] words = line.split(" ");
      for (int i = from; i < w.length; i++) {
        if (i - from >= words.length || !w[i].equals("*") && !w[i].equals(words[i - from])) {
          return false;
        }
      }
      return true;
    }

    @Override
    public void send(AccessId access, HostId host, long timeOut, long beginWithin) {
      shots.computeIfAbsent(access.value(), each -> new ArrayList<>()).add(host.value());
      done.add("send " + access + " " + host);
    }

    @Override
    public void withdraw(AccessId access, int shot) {
      done.add("withdraw " + access + " " + shot);
    }

    @Override
    public void turnBack(AccessId access, long advice) {
      done.add("turn-back " + access + " " + advice / MS);
    }

    @Override
    public void giveUp(AccessId access) {
      done.add("give-up " + access);
    }

    @Override
    public void probe(HostId host) {
      done.add("probe " + host);
    }

    @Override
    public void wake(long at) {
      wakes.add(Math.max(at, now + 1));
    }

    @Override
    public void subscribe() {
      done.add("subscribe");
    }

    @Override
    public void log(String line) {
      done.add("log " + line);
    }
  }
}
