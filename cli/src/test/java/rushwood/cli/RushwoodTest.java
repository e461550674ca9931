package rushwood.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class RushwoodTest {
  private final CommandRunner command = new CommandRunner();

  @Test
  void exitCodesOfHelpAndOfInvalidArguments() {
    assertEquals(0, command.run("--help"));
    assertEquals(0, command.run("--version"));
    assertEquals(2, command.run());
    assertEquals(2, command.run("nonsense"));
    assertEquals(2, command.run("testbed"));
    assertEquals(2, command.run("testbed", "virtual", "missing.json"));
    assertEquals(2, command.run("lab"));
    assertEquals(2, command.run("lab", "virtual", "missing.json"));
  }
}
