package rushwood.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;

/**
 * Serves the simulator's wire: reads batches of events, hands each event to the policy of its
 * router and replies with what the policies decided.
 *
 * <p>A batch begins with {@code mark}, which gives the time, and ends with {@code eof_batch}. In
 * between, {@code target_instance} names the router that the following events are for.
 */
public final class SimulatorAdapter {
  private static final int EXIT_OK = 0;
  private static final int EXIT_MALFORMED_INPUT = 1;

  private static final String BATCH_START = "mark";
  private static final String REPLY_END = "ok\n";

  private final WireReader reader;
  private final EventHandler eventHandler;

  private SimulatorAdapter(InputStream in) {
    reader = new WireReader(in);
    eventHandler = new EventHandler(reader);
  }

  /**
   * Serves the wire until the end of input.
   *
   * @param errors gets one line if the input is malformed where no router can be told
   * @return the exit code: 0 at the end of input, 1 after malformed input
   * @throws IOException if the streams cannot be read or written
   */
  public static int run(InputStream in, OutputStream out, PrintStream errors) throws IOException {
    SimulatorAdapter adapter = new SimulatorAdapter(in);
    try {
      for (String reply = adapter.processBatch(); reply != null; reply = adapter.processBatch()) {
        out.write(reply.getBytes(StandardCharsets.UTF_8));
        out.flush();
      }
      return EXIT_OK;
    } catch (MalformedMessageException e) {
      errors.println("rushwood: " + e.getMessage());
      return EXIT_MALFORMED_INPUT;
    }
  }

  /** Processes the next batch and returns the reply; null at the end of input. */
  private @Nullable String processBatch() throws IOException {
    WireLine start = reader.readNonEmptyLine();
    if (start == null) {
      return null;
    }
    if (!start.messageType().equals(BATCH_START)) {
      throw start.malformed("message", "stands where mark is due");
    }
    eventHandler.startBatch(start.requiredNanos("clock"));
    WireLine line = start;
    try {
      for (line = reader.readLineOfBatch();
          !WireReader.isBatchEnd(line);
          line = reader.readLineOfBatch()) {
        eventHandler.handle(line);
      }
    } catch (MalformedMessageException e) {
      return failureReply(e.getMessage(), e);
    } catch (RuntimeException e) { // a fault of the policy: the simulator is to show it
      MalformedMessageException cause = new MalformedMessageException(e.toString());
      return failureReply(line.malformed("message", "met " + e).getMessage(), cause);
    }
    return eventHandler.takeOutput() + REPLY_END;
  }

  /**
   * Skips the rest of the batch and returns the reply that ends the simulation with a message.
   * Without a router to send it for, throws {@code cause} instead, which ends the process.
   */
  private String failureReply(String message, MalformedMessageException cause) throws IOException {
    if (eventHandler.targetId().isEmpty()) {
      throw cause;
    }
    reader.skipBatch();
    String routerLine = EventHandler.routerLine(eventHandler.targetId().getAsInt());
    String singleLine = message.replaceAll("\\s+", " ");
    return routerLine + "die\tmessage=" + singleLine + "\n" + REPLY_END;
  }
}
