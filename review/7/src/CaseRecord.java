import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes one line for each thing that was sent, answered or run. Times are Unix milliseconds. */
final class CaseRecord implements AutoCloseable {
  private final PrintWriter out;

  CaseRecord(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  synchronized void line(String text) {
    out.println(System.currentTimeMillis() + " " + text);
  }

  void say(String text) {
    line(text);
    System.out.println(text);
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
