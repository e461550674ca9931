package rushwood.cli;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/** Runs the command line in this process and captures its standard output. */
final class CommandRunner {
  private String output = "";

  /** Runs a command and returns its exit code; captures its output also if it throws. */
  int run(String... args) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    PrintStream original = System.out;
    System.setOut(new PrintStream(bytes, false, StandardCharsets.UTF_8));
    try {
      return Rushwood.run(args);
    } finally {
      System.setOut(original);
      output = bytes.toString(StandardCharsets.UTF_8);
    }
  }

  /** Returns the standard output of the last command; empty before the first. */
  String output() {
    return output;
  }
}
