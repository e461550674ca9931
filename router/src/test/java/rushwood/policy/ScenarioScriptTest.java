package rushwood.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rushwood.policy.ScenarioScript.Command;

class ScenarioScriptTest {
  @TempDir Path folder;

  private List<Command> read(String... lines) throws IOException {
    return ScenarioScript.read(Files.write(folder.resolve("scenario.txt"), List.of(lines)));
  }

  @Test
  void skipsCommentsAndRecordsSourceLine() throws IOException {
    Command command = read("# comment", "", "request x read deadline 300").get(0);
    assertEquals("scenario.txt:3", command.source());
    assertEquals("300", command.operand("deadline", "none"));
    assertEquals("none", command.operand("session", "none"));
  }

  @Test
  void repeatShiftsTimesAndSubstitutesVariable() throws IOException {
    List<Command> commands =
        read("repeat 2 100 i", "repeat 2 1 j", "at 10", "request r$i-$j read", "end", "end");
    assertEquals(
        List.of(
            "at 10.0",
            "request r0-0 read",
            "at 11.0",
            "request r0-1 read",
            "at 110.0",
            "request r1-0 read",
            "at 111.0",
            "request r1-1 read"),
        commands.stream().map(Command::toString).toList());
  }

  @Test
  void rejectsRepeatWithoutEnd() {
    assertThrows(IllegalArgumentException.class, () -> read("repeat 2 100 i", "at 10"));
  }
}
