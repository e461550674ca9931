package rushwood.simulator;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import org.junit.jupiter.api.Test;

/** Tests how the adapter reports malformed input. */
class SimulatorAdapterTest {
  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

  private int run(String... lines) throws IOException {
    byte[] input = (String.join("\n", lines) + "\n").getBytes(UTF_8);
    return SimulatorAdapter.run(
        new ByteArrayInputStream(input), output, new PrintStream(errors, true, UTF_8));
  }

  @Test
  void endsSimulationIfLineForRouterIsMalformed() throws IOException {
    assertEquals(
        0,
        run(
            "mark\tclock=1.0",
            "target_instance\trouter=4",
            "power_on\tentropy=7\tn_instances=many",
            "eof_batch"));
    assertEquals(
        "as\trouter=4\ndie\tmessage=line 3 (power_on): n_instances is not a number\nok\n",
        output.toString(UTF_8));
  }

  @Test
  void endsProcessIfNoRouterIsNamed() throws IOException {
    assertEquals(1, run("mark\tclock=1.0", "due", "eof_batch"));
    assertEquals(
        "rushwood: line 2 (due): router is not named by an earlier target_instance\n",
        errors.toString(UTF_8));
    assertEquals("", output.toString(UTF_8));
  }

  @Test
  void skipsRestOfBatchAfterUnknownRouter() throws IOException {
    assertEquals(
        0,
        run(
            "mark\tclock=1.0",
            "target_instance\trouter=4",
            "due",
            "target_instance\trouter=5",
            "eof_batch",
            "",
            "mark\tclock=2.0",
            "eof_batch"));
    assertEquals(
        "as\trouter=4\ndie\tmessage=line 3 (due): router 4 is unknown\nok\nok\n",
        output.toString(UTF_8));
  }

  @Test
  void endsProcessIfInputEndsWithinBatch() throws IOException {
    assertEquals(1, run("mark\tclock=1.0"));
    assertEquals("rushwood: line 2: the input ends within a batch\n", errors.toString(UTF_8));
  }
}
