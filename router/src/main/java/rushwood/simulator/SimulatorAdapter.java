package rushwood.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;

/**
 * Serves the simulator protocol: reads batches of events, delivers each event to the policy of its
 * router and replies to each batch with the actions of the policies.
 *
 * <p>A batch starts with {@code mark}, which contains the time, and ends with {@code eof_batch}. In
 * between, {@code target_instance} names the target router of the events that follow it.
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
   * Serves the protocol until the end of the input.
   *
   * @param errors receives one line if the process ends because of malformed input
   * @return the exit code: 0 at the end of the input, 1 if malformed input could not be reported in
   *     a reply because its batch had not named a router
   * @throws IOException if a stream cannot be read or written
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

  /** Processes the next batch and returns the reply, or null at the end of the input. */
  private @Nullable String processBatch() throws IOException {
    WireLine start = reader.readNonEmptyLine();
    if (start == null) {
      return null;
    }
    if (!start.messageType().equals(BATCH_START)) {
      throw start.malformed("message type", "must be mark");
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
    } catch (RuntimeException e) { // a fault of the policy, which the simulator reports
      MalformedMessageException cause = new MalformedMessageException(e.toString());
      return failureReply(line.malformed("event", "failed with " + e).getMessage(), cause);
    }
    return eventHandler.takeOutput() + REPLY_END;
  }

  /**
   * Skips the rest of the batch and returns a reply that ends the simulation with the message. The
   * reply needs a router: if the batch has not named one, throws {@code cause}, which ends the
   * process.
   */
  private String failureReply(String message, MalformedMessageException cause) throws IOException {
    if (eventHandler.targetRouterId().isEmpty()) {
      throw cause;
    }
    reader.skipBatch();
    String routerLine = EventHandler.routerLine(eventHandler.targetRouterId().getAsInt());
    String singleLine = message.replaceAll("\\s+", " ");
    return routerLine + "die\tmessage=" + singleLine + "\n" + REPLY_END;
  }
}
