package rushwood.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rushwood.protocol.TestMessages.concat;
import static rushwood.protocol.TestMessages.messageTypes;
import static rushwood.protocol.TestMessages.query;
import static rushwood.protocol.TestMessages.startup;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rushwood.dispatch.FakeEventLoop;
import rushwood.overload.ConnectionAdmission;
import rushwood.overload.DescriptorBudget;

/**
 * Guards against requests that are lost when the listener stops: closing a socket on which
 * connections are pending resets them. Uses real sockets.
 */
class ClientListenerTest {
  private static final int PENDING_CONNECTIONS = 40;
  private static final int TIMEOUT_MILLIS = 10_000;

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final List<Socket> clients = new ArrayList<>();
  private FrontendServer server;
  private ClientListener listener;

  @BeforeEach
  void listen() throws Exception {
    FakeEventLoop loop = new FakeEventLoop();
    DescriptorBudget descriptors = new DescriptorBudget(1000);
    server = FrontendFixture.createServer(loop, descriptors, new ConnectionAdmission(1000, 0), 0);
    listener =
        ClientListener.bind(
            group, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), server);
  }

  @AfterEach
  void close() throws Exception {
    for (Socket client : clients) {
      client.close();
    }
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
  }

  private Socket connect() throws Exception {
    InetSocketAddress address = (InetSocketAddress) listener.localAddress();
    Socket client = new Socket(address.getAddress(), address.getPort());
    client.setSoTimeout(TIMEOUT_MILLIS);
    clients.add(client);
    return client;
  }

  /** The kernel accepted the connections, and their clients sent requests, before the stop. */
  @Test
  void connectionsPendingAtStopAreRefusedWithAnError() throws Exception {
    CountDownLatch draining = new CountDownLatch(1);
    CountDownLatch allSent = new CountDownLatch(1);
    var stopped =
        group
            .next()
            .submit(
                () -> {
                  server.drain();
                  draining.countDown();
                  allSent.await();
                  listener.stop();
                  return null;
                });
    draining.await();
    sendRequests();
    allSent.countDown();
    stopped.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    awaitStopped();
    assertAllRefused();
  }

  /** The kernel accepts connections until the socket is closed, in a later turn than the stop. */
  @Test
  void connectionsOpenedWhileStoppingAreRefusedWithAnError() throws Exception {
    CountDownLatch stopCalled = new CountDownLatch(1);
    CountDownLatch allSent = new CountDownLatch(1);
    var stopped =
        group
            .next()
            .submit(
                () -> {
                  server.drain();
                  listener.stop();
                  stopCalled.countDown();
                  allSent.await();
                  return null;
                });
    stopCalled.await();
    sendRequests();
    allSent.countDown();
    stopped.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    awaitStopped();
    assertAllRefused();
  }

  private void sendRequests() throws Exception {
    for (int i = 0; i < PENDING_CONNECTIONS; i++) {
      connect().getOutputStream().write(concat(startup(), query("SELECT 1")));
    }
  }

  private void assertAllRefused() throws Exception {
    for (Socket client : clients) {
      assertEquals("E(57P03)", messageTypes(client.getInputStream().readAllBytes()));
    }
    assertThrows(ConnectException.class, this::connect);
  }

  @Test
  void secondStopHasNoEffect() throws Exception {
    for (int i = 0; i < 2; i++) {
      group.next().submit(listener::stop).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }
    awaitStopped();
    assertThrows(ConnectException.class, this::connect);
  }

  private void awaitStopped() throws Exception {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
    while (!group.next().submit(listener::isStopped).get()) {
      assertTrue(System.nanoTime() < deadline, "the listener did not stop in time");
    }
  }
}
