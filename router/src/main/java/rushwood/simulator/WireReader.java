package rushwood.simulator;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;

/** Reads lines of the simulator protocol and numbers them from 1. */
final class WireReader {
  private static final int BUFFER_SIZE = 1 << 16;
  private static final String BATCH_END = "eof_batch";

  private final BufferedReader input;
  private long lineNumber;

  WireReader(InputStream in) {
    input = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), BUFFER_SIZE);
  }

  /** Returns the next line that is not empty, or null at the end of the input. */
  @Nullable WireLine readNonEmptyLine() throws IOException {
    WireLine line = readLine();
    while (line != null && line.messageType().isEmpty()) {
      line = readLine();
    }
    return line;
  }

  /**
   * Returns the next line of a batch that has started.
   *
   * @throws MalformedMessageException at the end of the input
   */
  WireLine readLineOfBatch() throws IOException {
    WireLine line = readLine();
    if (line == null) {
      throw new MalformedMessageException("line " + lineNumber + ": the input ends within a batch");
    }
    return line;
  }

  /** Skips all lines up to and including the end of the batch, or to the end of the input. */
  void skipBatch() throws IOException {
    WireLine line = readLine();
    while (line != null && !isBatchEnd(line)) {
      line = readLine();
    }
  }

  static boolean isBatchEnd(WireLine line) {
    return line.messageType().equals(BATCH_END);
  }

  private @Nullable WireLine readLine() throws IOException {
    String text = input.readLine();
    lineNumber++;
    return text == null ? null : new WireLine(text, lineNumber);
  }
}
