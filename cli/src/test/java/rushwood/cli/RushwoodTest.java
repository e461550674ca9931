package rushwood.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class RushwoodTest {
  @TempDir Path folder;

  private String out;

  private int run(String... line) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    PrintStream old = System.out;
    System.setOut(new PrintStream(bytes));
    try {
      return Rushwood.run(line);
    } finally {
      System.setOut(old);
      out = bytes.toString();
    }
  }

  @Test
  void usage() {
    assertEquals(0, run("--help"));
    assertEquals(0, run("--version"));
    assertEquals(2, run());
    assertEquals(2, run("nonsense"));
    assertEquals(2, run("lab"));
    assertEquals(2, run("lab", "virtual", "missing.json"));
  }

  @Test
  void check() throws Exception {
    assertEquals(
        0, run("check", "../deploy/rushwood.json", "--schema", "../deploy/rushwood.schema.json"));
    Path bad = Files.writeString(folder.resolve("bad.json"), "{\"storm\":{\"repeats\":-1}}");
    assertEquals(
        2, run("check", bad.toString(), "--schema", "../deploy/rushwood.schema.json", "--json"));
    assertTrue(out.contains("storm.repeats"), out);
    Path json = Files.writeString(folder.resolve("json.json"), "{\"log\":{\"format\":\"json\"}}");
    assertEquals(
        2, run("check", json.toString(), "--schema", "../deploy/rushwood.schema.json", "--json"));
  }

  @Test
  void virtualRunAsJson() {
    assertEquals(0, run("lab", "virtual", "../testbed/experiments/honest-peak.json", "--json", "-"));
    assertTrue(
        out.contains("\"share_fulfilled\" : 1.0"), out.substring(0, Math.min(500, out.length())));
  }
}
