package rushwood.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rushwood.protocol.TestMessages.concat;
import static rushwood.protocol.TestMessages.query;
import static rushwood.protocol.TestMessages.readyForQuery;
import static rushwood.protocol.TestMessages.rowResponse;
import static rushwood.protocol.TestMessages.startupResponse;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.DataInputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rushwood.dispatch.BackendConnection;
import rushwood.dispatch.BackendResponse;
import rushwood.dispatch.Counters;
import rushwood.protocol.TestMessages;

/** Tests a connection to a host on a real socket, within one turn of the event loop. */
class BackendChannelTest {
  private static final int TIMEOUT_SECONDS = 20;
  private static final long MAX_ARRIVAL_NANOS = 2_000_000_000L; // of bytes on loopback
  private static final byte[] ANSWER = concat(rowResponse("v"), readyForQuery());

  private final MultiThreadIoEventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
  private ServerSocket server;
  private Socket host;
  private BackendConnection connection;

  /** Records the events of the connection. */
  private final class RecordingListener implements BackendConnection.Listener {
    @Override
    public void connected() {
      events.add("connected");
    }

    @Override
    public void responseReceived(BackendResponse response, boolean reusable) {
      response.release();
      events.add(response.outcome() + (reusable ? " reusable" : ""));
    }

    @Override
    public void connectionLost(boolean accepted) {
      events.add("lost");
    }
  }

  @BeforeEach
  void connectAndGetOneAnswer() throws Exception {
    server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    BackendConnector connector =
        new BackendConnector(eventLoops.next(), ByteBufAllocator.DEFAULT, new Counters());
    InetSocketAddress address = (InetSocketAddress) server.getLocalSocketAddress();
    connection = onEventLoop(() -> connector.connect(address, new RecordingListener()));
    host = server.accept();
    DataInputStream in = new DataInputStream(host.getInputStream());
    in.readNBytes(in.readInt() - Integer.BYTES);
    host.getOutputStream().write(startupResponse());
    expect("connected");
    byte[] statement = query("SELECT 1");
    runOnEventLoop(() -> connection.send(TestMessages.buffer(statement), false));
    in.readNBytes(statement.length);
    host.getOutputStream().write(ANSWER);
    expect("SUCCESS reusable");
  }

  @AfterEach
  void close() throws Exception {
    runOnEventLoop(connection::close);
    host.close();
    server.close();
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    assertTrue(events.isEmpty(), () -> "further events " + events);
    TestMessages.assertAllReleased();
  }

  private <T> T onEventLoop(Callable<T> task) throws Exception {
    return eventLoops.next().submit(task).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private void runOnEventLoop(Runnable task) throws Exception {
    eventLoops.next().submit(task).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private void expect(String event) throws InterruptedException {
    assertEquals(event, events.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
  }

  /** Asks within one turn of the event loop until the answer is no, or the time is up. */
  private boolean isReusableOnceInputArrived() {
    long deadline = System.nanoTime() + MAX_ARRIVAL_NANOS;
    boolean isReusable = connection.isReusable();
    while (isReusable && System.nanoTime() < deadline) {
      Thread.onSpinWait();
      isReusable = connection.isReusable();
    }
    return isReusable;
  }

  @Test
  void isReusableIfNothingHasArrived() throws Exception {
    assertTrue(onEventLoop(connection::isReusable));
    assertTrue(onEventLoop(connection::isReusable));
  }

  /** A second copy of an answer, unread since the turn began, gave another client's value. */
  @Test
  void isNotReusableIfACopyOfTheAnswerIsUnread() throws Exception {
    assertFalse(
        onEventLoop(
            () -> {
              host.getOutputStream().write(ANSWER);
              return isReusableOnceInputArrived();
            }));
    expect("lost");
  }

  @Test
  void isNotReusableIfAPartOfAMessageIsUnread() throws Exception {
    assertFalse(
        onEventLoop(
            () -> {
              host.getOutputStream().write(ANSWER, 0, 3);
              return isReusableOnceInputArrived();
            }));
  }

  @Test
  void isNotReusableIfTheHostHasClosed() throws Exception {
    assertFalse(
        onEventLoop(
            () -> {
              host.close();
              return isReusableOnceInputArrived();
            }));
    expect("lost");
  }
}
