package rushwood.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class TestbedCommandTest {
  private final CommandRunner command = new CommandRunner();

  private void assertAllClientsServed(String... args) {
    assertEquals(0, command.run(args));
    String output = command.output();
    assertTrue(
        output.contains("\"share_fulfilled\" : 1.0"),
        output.substring(0, Math.min(500, output.length())));
  }

  @Test
  void resultsInVirtualTimeAsJson() {
    assertAllClientsServed(
        "testbed", "virtual", "../testbed/experiments/honest-peak.json", "--json", "-");
  }

  @Test
  void aliasAndPathOfEarlierVersionsWork() {
    assertAllClientsServed("lab", "virtual", "../lab/experiments/honest-peak.json", "--json", "-");
  }
}
