package rushwood.testbed;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rushwood.testbed.load.RouterCluster;
import rushwood.testbed.load.RouterCluster.Member;
import rushwood.testbed.model.HostModel;

/**
 * Five router processes and a host that starts anew under them: the sum that they send it stays
 * within what it bears.
 */
class ColdHostClusterTest {
  private static final int ROUTERS = 5;
  private static final int RATE =
      40; // accesses a second and router: three warm hosts do twice that
  private static final String COLD = "h3";
  private static final HostModel.Parameters KIND =
      new HostModel.Parameters(120, 8, 64, 0.15, 14_000_000_000L, 4, 1_000_000_000L, 0);

  private RouterCluster tier;

  @BeforeEach
  void start() throws Exception {
    tier = new RouterCluster(Path.of("../router/target/rushwood.jar"), ROUTERS, 4, 2, KIND);
    startAll();
  }

  @AfterEach
  void stop() throws Exception {
    tier.close();
  }

  private void startAll() throws Exception {
    for (Member each : tier.members()) {
      each.start(tier.runOnLoop(each.discovery()::fullList));
    }
    begin();
  }

  private void begin() throws Exception {
    tier.runOnLoop(
        () -> {
          tier.members().forEach(each -> each.load().start(RATE));
          return null;
        });
  }

  /** What a window of its first seconds may hold is N accesses and 2 x root of N + 2 of chance. */
  private void bearsIt() throws Exception {
    Thread.sleep(4000);
    double most =
        KIND.overloadMultiple()
            * KIND.coldStartSpeed()
            * KIND.rate()
            * KIND.overloadWindowNanos()
            / 1e9;
    double push = tier.runOnLoop(() -> tier.hostModel(COLD).worstColdOverload());
    assertTrue(push > 0.05, "it is used: " + push);
    assertTrue(push <= 1 + (2 * Math.sqrt(most) + 2) / most, push + " times what it bears");
  }

  @Test
  void aHostStartsAnew() throws Exception {
    Thread.sleep(1500);
    tier.runOnLoop(
        () -> {
          tier.restartHost(COLD);
          return null;
        });
    bearsIt();
  }

  /** Nobody remembers what warm hosts do. */
  @Test
  void allRoutersStartWithIt() throws Exception {
    Thread.sleep(500);
    for (Member each : tier.members()) {
      each.process().signal("KILL");
    }
    tier.runOnLoop(
        () -> {
          tier.members().forEach(each -> each.load().pause());
          tier.restartHost(COLD);
          return null;
        });
    startAll();
    bearsIt();
  }
}
