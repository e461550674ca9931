package rushwood.testbed;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import rushwood.testbed.model.TestbedRequestClass;
import rushwood.testbed.standin.MessageEncoder;
import rushwood.testbed.standin.Statement;

/**
 * A client that makes the router hold memory for it, over and over. Runs on a thread of its own.
 */
final class HostileClient implements Runnable {
  /** What the client does on a connection. */
  enum Kind {
    /** Sends a part of a long statement and no more. */
    STOPS_IN_THE_MIDDLE,
    /** Sends statements with long answers and reads none of them. */
    DOES_NOT_READ,
    /** Sends long statements ahead of their answers, and reads these. */
    SENDS_AHEAD
  }

  /** The time within which the router has to answer such a client or to close its connection. */
  private static final int MAX_END_MILLIS = 3000;

  /**
   * Time for the router to fill the buffers of the kernel once the load has ended. Until they are
   * full, it makes progress, which the client cannot observe.
   */
  private static final int MAX_FILL_MILLIS = 3000;

  /** For the test's own threads and sockets. */
  private static final int TOLERANCE_MILLIS = 500;

  private static final int TIMEOUT_MILLIS = 10_000;
  private static final int LONG_VALUE_BYTES = 128 << 10;
  private static final int SMALL_BUFFER_BYTES = 4 << 10;
  private static final int UNREAD_STATEMENTS = 2000; // some ten megabytes of answers
  private static final int STATEMENTS_AHEAD = 12;
  private static final int GROUP = 0;

  private final Kind kind;
  private final InetSocketAddress router;
  private final String idPrefix;
  private final SplittableRandom random;
  private final long endNanos;
  private int connections;
  private String firstFailure = "";

  /**
   * Creates a client.
   *
   * @param idPrefix the beginning of the ids of its statements
   * @param endNanos the value of {@link System#nanoTime} from which on it opens no connection
   */
  HostileClient(
      Kind kind,
      InetSocketAddress router,
      String idPrefix,
      SplittableRandom random,
      long endNanos) {
    this.kind = kind;
    this.router = router;
    this.idPrefix = idPrefix;
    this.random = random;
    this.endNanos = endNanos;
  }

  /** Returns the number of connections that were used. */
  int connections() {
    return connections;
  }

  /** Returns on which connection the router first failed, and how; empty if it never did. */
  String firstFailure() {
    return firstFailure;
  }

  @Override
  public void run() {
    while (System.nanoTime() < endNanos) {
      connections++;
      try (Socket socket = new Socket()) {
        connect(socket);
        useConnection(socket);
      } catch (SocketTimeoutException e) {
        recordFailure("neither an answer nor a close within " + MAX_END_MILLIS + " ms");
      } catch (IOException closed) {
        // The router may close or reset the connection of such a client at any time.
      }
    }
  }

  private void recordFailure(String failure) {
    if (firstFailure.isEmpty()) {
      firstFailure = kind + " " + idPrefix + connections + ": " + failure;
    }
  }

  private void connect(Socket socket) throws IOException {
    socket.setSoTimeout(TIMEOUT_MILLIS);
    if (kind == Kind.DOES_NOT_READ) {
      socket.setReceiveBufferSize(SMALL_BUFFER_BYTES);
    }
    socket.connect(router, TIMEOUT_MILLIS);
    ByteBuf startup = Unpooled.buffer();
    MessageEncoder.writeStartup(startup);
    send(socket, startup);
  }

  private void useConnection(Socket socket) throws IOException {
    switch (kind) {
      case STOPS_IN_THE_MIDDLE -> stopInTheMiddle(socket);
      case DOES_NOT_READ -> sendWithoutReading(socket);
      case SENDS_AHEAD -> sendAhead(socket);
    }
  }

  private void stopInTheMiddle(Socket socket) throws IOException {
    byte[] statement = longWrite(0);
    socket.getOutputStream().write(statement, 0, 1 + random.nextInt(statement.length - 1));
    long stoppedAt = System.nanoTime();
    socket.setSoTimeout(MAX_END_MILLIS + TOLERANCE_MILLIS);
    readMessages(socket, 'Z', 1); // of the startup
    readMessages(socket, 'E', 1);
    checkTime(stoppedAt);
  }

  private void checkTime(long since) {
    long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - since);
    if (millis > MAX_END_MILLIS + TOLERANCE_MILLIS) {
      recordFailure("ended after " + millis + " ms");
    }
  }

  /** The router has to close the connection although the client reads nothing. */
  private void sendWithoutReading(Socket socket) throws IOException {
    ByteBuf out = Unpooled.buffer();
    for (int i = 0; i < UNREAD_STATEMENTS; i++) {
      MessageEncoder.writeQuery(out, "SHOW counters");
    }
    send(socket, out);
    long loadMillis = TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime());
    pause(Math.max(0, loadMillis) + MAX_FILL_MILLIS + MAX_END_MILLIS);
    socket.setSoTimeout(TOLERANCE_MILLIS);
    readMessages(socket, 'Z', UNREAD_STATEMENTS + 1);
    recordFailure("all answers were sent although nothing was read");
  }

  private void sendAhead(Socket socket) throws IOException {
    ByteBuf out = Unpooled.buffer();
    for (int i = 0; i < STATEMENTS_AHEAD; i++) {
      out.writeBytes(longWrite(i));
    }
    send(socket, out);
    long sentAt = System.nanoTime();
    readMessages(socket, 'Z', STATEMENTS_AHEAD + 1);
    checkTime(sentAt);
    pause(random.nextInt(200));
  }

  private byte[] longWrite(int index) {
    String id = idPrefix + connections + "-" + index;
    String statement =
        Statement.format(
            TestbedRequestClass.NON_IDEMPOTENT_WRITE, "k" + index, id, MAX_END_MILLIS, GROUP);
    ByteBuf out = Unpooled.buffer();
    MessageEncoder.writeQuery(out, statement.replace("\\x01", "\\x" + "01".repeat(valueBytes())));
    return ByteBufUtil.getBytes(out);
  }

  private int valueBytes() {
    return LONG_VALUE_BYTES / 4 + random.nextInt(LONG_VALUE_BYTES / 4);
  }

  private static void send(Socket socket, ByteBuf out) throws IOException {
    socket.getOutputStream().write(ByteBufUtil.getBytes(out));
  }

  /** Reads messages until {@code count} of a type were read. */
  private static void readMessages(Socket socket, char type, int count) throws IOException {
    DataInputStream in = new DataInputStream(socket.getInputStream());
    for (int found = 0; found < count; ) {
      char next = (char) in.readUnsignedByte();
      in.skipNBytes(in.readInt() - 4);
      found += next == type ? 1 : 0;
    }
  }

  private static void pause(long millis) throws IOException {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
  }

  @Override
  public String toString() {
    return kind + " " + idPrefix + ": " + connections + " connections";
  }
}
