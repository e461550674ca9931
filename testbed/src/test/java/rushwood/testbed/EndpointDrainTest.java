package rushwood.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rushwood.testbed.load.RouterCluster;
import rushwood.testbed.load.RouterCluster.Member;
import rushwood.testbed.standin.StandinDiscovery;

/**
 * Hosts announced as leaving get nothing past the grace, whatever becomes of the calls that bring
 * the announcement: three router processes, each with an agent of its own, under steady load.
 */
class EndpointDrainTest {
  private static final long MS = 1_000_000L;
  private static final long GRACE = 500; // ms: a short one, with some room for a busy machine
  private static final int RATE = 150; // accesses a second and router
  private static final int PATIENCE = 10_000; // ms until a test that hangs fails
  private static final String LEAVES = "h2";

  private RouterCluster tier;

  /** What is done to the agents when the host is announced. */
  private interface Fault {
    void happen() throws Exception;
  }

  @BeforeEach
  void start() throws Exception {
    tier = new RouterCluster(Path.of("../router/target/rushwood.jar"), 3, 4, GRACE / 1000.0);
    for (Member each : tier.members()) {
      each.start(tier.runOnLoop(each.discovery()::fullList));
    }
    begin();
    flows();
  }

  @AfterEach
  void stop() throws Exception {
    tier.close();
  }

  private void begin() throws Exception {
    tier.runOnLoop(
        () -> {
          tier.members().forEach(each -> each.load().start(RATE));
          return null;
        });
  }

  /**
   * Each router sends to the host that will leave: else it would prove nothing that none does
   * later.
   */
  private void flows() throws Exception {
    long from = tier.now();
    for (int waited = 0; waited < PATIENCE; waited += 10) {
      if (tier.runOnLoop(
          () -> tier.members().stream().allMatch(each -> each.lastRequestAt(LEAVES) > from))) {
        return;
      }
      Thread.sleep(10);
    }
    throw new AssertionError(LEAVES + " gets nothing: " + tier.members().get(0).process().log());
  }

  private void announce(String state) throws Exception {
    tier.runOnLoop(
        () -> {
          tier.members().forEach(each -> tier.announce(each, LEAVES, state));
          return null;
        });
  }

  private void all(Consumer<StandinDiscovery> change) throws Exception {
    tier.runOnLoop(
        () -> {
          tier.members().forEach(each -> change.accept(each.discovery()));
          return null;
        });
  }

  /** From when the agents had it, nothing goes there past the grace, while the routers serve on. */
  private void kept(Fault announcement) throws Exception {
    long told = tier.now();
    announcement.happen();
    keptSince(told);
  }

  private void keptSince(long told) throws Exception {
    long asked = tier.runOnLoop(() -> tier.members().get(0).load().sent());
    Thread.sleep(GRACE + 300);
    long late =
        tier.runOnLoop(
            () ->
                tier.members().stream()
                    .mapToLong(each -> each.lastRequestAt(LEAVES) - told)
                    .max()
                    .orElseThrow());
    assertTrue(
        late < GRACE * MS,
        late / MS + " ms after it was told: " + tier.members().get(0).process().log());
    assertTrue(tier.runOnLoop(() -> tier.members().get(0).load().sent()) > asked, "it serves on");
  }

  @Test
  void byAWatch() throws Exception {
    kept(() -> announce("Terminating"));
    announce("Ready");
    flows();
    kept(() -> announce("Gone"));
  }

  /** A host that comes back under its id is sent to again, and leaves again. */
  @Test
  void byAWatchThatFellSilent() throws Exception {
    for (int i = 0; i < 2; i++) {
      kept(
          () -> {
            all(StandinDiscovery::muteWatches);
            announce("Terminating");
          });
      announce("Ready");
      flows();
    }
  }

  @Test
  void byAWatchThatIsReset() throws Exception {
    kept(
        () -> {
          all(StandinDiscovery::resetConnections);
          announce("Terminating");
        });
    announce("Ready");
    flows();
    kept(
        () -> {
          all(agent -> agent.setOffline(true));
          announce("Terminating");
          Thread.sleep(100);
          all(agent -> agent.setOffline(false));
        });
  }

  /**
   * It was away for longer than any wait between calls: what it has at its return counts from then
   * on.
   */
  @Test
  void atTheReturnOfDiscovery() throws Exception {
    all(agent -> agent.setUnresponsive(true));
    Thread.sleep(3700);
    announce("Terminating");
    kept(() -> all(agent -> agent.setUnresponsive(false)));
    announce("Ready");
    flows();
    all(agent -> agent.setOffline(true));
    Thread.sleep(2300);
    announce("Terminating");
    kept(() -> all(agent -> agent.setOffline(false)));
  }

  /** Over many lines, whole and in a watch. */
  @Test
  void inAnIndentedList() throws Exception {
    all(agent -> agent.rewriteResponses(StandinDiscovery::indent));
    kept(() -> announce("Terminating"));
    announce("Ready");
    flows();
    kept(
        () -> {
          all(StandinDiscovery::resetConnections);
          announce("Terminating");
        });
  }

  /** Another agent has it, and a new configuration says where that is. */
  @Test
  void afterSighup() throws Exception {
    Member moved = tier.members().get(0);
    StandinDiscovery other = tier.members().get(1).discovery();
    tier.runOnLoop(
        () -> {
          tier.announce(tier.members().get(1), LEAVES, "Terminating");
          tier.announce(tier.members().get(2), LEAVES, "Terminating");
          return null;
        });
    moved.configure(other.address(), null);
    kept(() -> moved.process().signal("HUP"));
    assertTrue(moved.process().log().contains("discovery is at"));
  }

  /**
   * The list that it held calls the host ready; not one access goes there, from its first moment
   * on.
   */
  @Test
  void inANewProcess() throws Exception {
    Member member = tier.members().get(0);
    String known = tier.runOnLoop(member.discovery()::fullList);
    member.process().signal("KILL");
    tier.runOnLoop(
        () -> {
          member.load().pause();
          return null;
        });
    announce("Terminating");
    Thread.sleep(200);
    long before = tier.runOnLoop(() -> member.requestsSent(LEAVES));
    member.start(known);
    begin();
    Thread.sleep(1000);
    assertEquals(before, tier.runOnLoop(() -> member.requestsSent(LEAVES)));
    assertTrue(tier.runOnLoop(() -> member.requestsSent("h1")) > 0);
  }

  /** One entry of hundreds, in an indented list, over a watch that broke. */
  @Test
  void amongHundredsOfHosts() throws Exception {
    all(agent -> agent.rewriteResponses(StandinDiscovery::indent));
    tier.runOnLoop(
        () -> {
          for (Member each : tier.members()) {
            IntStream.range(0, 400)
                .forEach(i -> each.discovery().publish(tier.entry("x" + i, "h3", "Ready")));
          }
          return null;
        });
    flows();
    kept(() -> announce("Terminating"));
    announce("Ready");
    flows();
    kept(
        () -> {
          all(StandinDiscovery::muteWatches);
          announce("Terminating");
        });
  }

  /**
   * The processes stand still while it is announced: the first thing that they do then is to read
   * it.
   */
  @Test
  void whileTheProcessStandsStill() throws Exception {
    tier.runOnLoop(
        () -> {
          tier.members().forEach(each -> each.load().pause());
          return null;
        });
    Thread.sleep(100);
    for (Member each : tier.members()) {
      each.process().signal("STOP");
    }
    long told = tier.now();
    announce("Terminating");
    begin(); // what they ask waits beside the announcement
    Thread.sleep(600);
    for (Member each : tier.members()) {
      each.process().signal("CONT");
    }
    keptSince(told);
  }

  /**
   * Spoilt in any way that leaves the host's name and state to be read, it counts; the routers
   * serve on.
   */
  @Test
  void inWhatCanBeReadOfABadList() throws Exception {
    String leaving = "\"id\":\"" + LEAVES + "\"";
    List<UnaryOperator<String>> spoilt =
        List.of(
            text -> text.replaceAll("(" + leaving + "[^}]*\"cell\":)0", "$1\"none\""),
            text -> text.replaceFirst("\"id\":\"h1\",", ""),
            text -> text.replaceFirst("\"state\":\"Ready\"", "\"state\":\"Dozing\""),
            text ->
                text.contains("Terminating")
                    ? text.substring(0, text.indexOf("Terminating") + 20)
                    : text,
            text -> text.replaceFirst("\"version\":\\d+,", ""),
            text -> text.replaceFirst("\"full\":(true|false),", ""));
    for (UnaryOperator<String> each : spoilt) {
      all(agent -> agent.rewriteResponses(each));
      kept(() -> announce("Terminating"));
      all(agent -> agent.rewriteResponses(null));
      announce("Ready");
      flows();
    }
  }

  /**
   * An empty, a huge, an unreadable list, one that says nothing for long, a version that goes back.
   */
  @Test
  void afterABadList() throws Exception {
    String huge =
        IntStream.range(0, 100_000)
            .mapToObj(i -> "{\"id\":\"y" + i + "\"}")
            .collect(Collectors.joining(",", "{\"version\":1,\"full\":true,\"servers\":[", "]}"));
    for (String bad :
        List.of(
            "",
            "nonsense",
            "{}",
            "[1]",
            "{\"version\":9,\"full\":true,\"servers\":{}}",
            huge,
            "{\"version\":9,\"full\":true,\"servers\":[" + " ".repeat(1 << 20))) {
      all(
          agent -> {
            agent.rewriteResponses(text -> bad);
            agent.resetConnections();
          });
      Thread.sleep(150);
      announce("Terminating");
      kept(() -> all(agent -> agent.rewriteResponses(null)));
      announce("Ready");
      flows();
    }
    all(agent -> agent.setVersion(3));
    kept(() -> announce("Terminating"));
    announce("Ready");
    flows();
    for (Member each : tier.members()) {
      String log = each.process().log();
      assertTrue(
          log.contains("discovery writes what cannot be read") && log.contains("servers"), log);
      assertTrue(!log.contains("caught"), log);
    }
  }
}
