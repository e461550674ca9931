package rushwood.cli;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;

/** Runs the command line in this process and keeps what it printed on standard output. */
final class CommandRunner {
  private String output = "";

  /** Runs a command and returns its exit code. */
  int run(String... args) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    PrintStream original = System.out;
    System.setOut(new PrintStream(bytes));
    try {
      return Rushwood.run(args);
    } finally {
      System.setOut(original);
      output = bytes.toString();
    }
  }

  /** What the last command printed. */
  String output() {
    return output;
  }
}
