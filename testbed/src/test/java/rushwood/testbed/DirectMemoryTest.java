package rushwood.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rushwood.api.Endpoint;
import rushwood.testbed.load.ClusterMember;
import rushwood.testbed.load.RouterCluster;
import rushwood.testbed.standin.MessageEncoder;

/**
 * Everything that peers can make a router hold in direct memory is held at the same time: clients
 * that stop in the middle, do not read or send ahead, idle clients, a host that sends parts of
 * responses, and a list of 3,200 endpoints. Usual clients must not notice.
 *
 * <p>The system properties {@code rushwood.directMemory.seconds} and {@code
 * rushwood.directMemory.seed} set the duration of the load and the seed.
 */
class DirectMemoryTest {
  private static final int DURATION_SECONDS =
      Integer.getInteger("rushwood.directMemory.seconds", 8);
  private static final long SEED = Long.getLong("rushwood.directMemory.seed", 1);

  /** The sum of the bounds in {@code docs/capacity.md}; the process may have 40 MiB. */
  private static final long MAX_DIRECT_MEMORY_BYTES = 36 << 20;

  private static final long MAX_TURN_MILLIS = 250; // on a quiet machine

  private static final int REQUESTS_PER_SECOND = 100;
  private static final int REQUEST_TIMEOUT_MILLIS = 2000;
  private static final int HOSTS = 4;
  private static final int ENDPOINTS = 3200;
  private static final String SLOW_HOST = "h3";
  private static final int PARTIAL_RESPONSE_BYTES = 600_000;
  private static final int CLIENTS_THAT_STOP = 100;
  private static final int CLIENTS_THAT_DO_NOT_READ = 8;
  private static final int CLIENTS_THAT_SEND_AHEAD = 20;
  private static final int IDLE_CLIENTS = 60;

  private final List<HostileClient> hostileClients = new ArrayList<>();
  private final List<Thread> threads = new ArrayList<>();
  private final List<Socket> idleClients = new ArrayList<>();
  private final SplittableRandom random = new SplittableRandom(SEED);
  private RouterCluster cluster;
  private ClusterMember member;
  private long endNanos;

  @BeforeEach
  void start() throws Exception {
    cluster = new RouterCluster(ExperimentRuns.routerJar(), 1, HOSTS, 2.0);
    member = cluster.members().get(0);
    cluster.runOnLoop(() -> IntStream.range(HOSTS, ENDPOINTS).forEach(this::publishEndpoint));
    cluster.startAll();
    cluster.startLoad(REQUESTS_PER_SECOND);
    Await.untilRequestsSentToEachRouter(cluster, REQUESTS_PER_SECOND);
  }

  /** Publishes an endpoint; a quarter of them have the address of the host that is slow later. */
  private void publishEndpoint(int i) {
    String host = "h" + i % HOSTS;
    boolean isSlow = host.equals(SLOW_HOST);
    member
        .discovery()
        .publish(cluster.endpointEntry("x" + i, isSlow ? SLOW_HOST : "h1", Endpoint.State.READY));
  }

  @AfterEach
  void stop() throws Exception {
    for (Socket client : idleClients) {
      client.close();
    }
    cluster.close();
  }

  @Test
  void allHoldersAtOnce() throws Exception {
    endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(DURATION_SECONDS);
    cluster.runOnLoop(() -> cluster.sendPartialResponses(SLOW_HOST, PARTIAL_RESPONSE_BYTES));
    openIdleClients();
    startHostileClients(HostileClient.Kind.STOPS_IN_THE_MIDDLE, CLIENTS_THAT_STOP);
    startHostileClients(HostileClient.Kind.DOES_NOT_READ, CLIENTS_THAT_DO_NOT_READ);
    startHostileClients(HostileClient.Kind.SENDS_AHEAD, CLIENTS_THAT_SEND_AHEAD);
    Map<String, Long> counters = watchMemoryUntilEnd();
    assertUsualRequestsWereAnswered();
    assertHostileClientsEndedInTime();
    assertTrue(
        isMachineBusy() || counters.get("longest_turn_millis") <= MAX_TURN_MILLIS,
        () -> "the event loop stalled: " + counters);
  }

  private void openIdleClients() throws IOException {
    for (int i = 0; i < IDLE_CLIENTS; i++) {
      idleClients.add(connect());
    }
  }

  /** Connects a client and reads the response to its startup message. */
  private Socket connect() throws IOException {
    Socket socket = new Socket(member.address().getAddress(), member.address().getPort());
    socket.setSoTimeout(REQUEST_TIMEOUT_MILLIS);
    ByteBuf out = Unpooled.buffer();
    MessageEncoder.writeStartup(out);
    socket.getOutputStream().write(ByteBufUtil.getBytes(out));
    readRows(socket);
    return socket;
  }

  private void startHostileClients(HostileClient.Kind kind, int count) {
    for (int i = 0; i < count; i++) {
      HostileClient client =
          new HostileClient(
              kind, member.address(), "r0-" + kind + i + "-", random.split(), endNanos);
      hostileClients.add(client);
      Thread thread = new Thread(client, kind + "-" + i);
      threads.add(thread);
      thread.start();
    }
  }

  /** Returns the router's counters at the end of the load. */
  private Map<String, Long> watchMemoryUntilEnd() throws Exception {
    Map<String, Long> counters = new HashMap<>();
    while (System.nanoTime() < endNanos) {
      try (Socket observer = connect()) {
        counters = readCounters(observer);
      } catch (EOFException | SocketException closed) {
        // The router may refuse a connection, or close an idle one, when descriptors are short.
      }
      long used = counters.getOrDefault("direct_memory_bytes", 0L);
      assertTrue(used < MAX_DIRECT_MEMORY_BYTES, counters::toString);
      Thread.sleep(100); // the interval of the observations
    }
    assertTrue(counters.containsKey("direct_memory_bytes"), "no observation succeeded");
    return counters;
  }

  private static Map<String, Long> readCounters(Socket observer) throws IOException {
    ByteBuf out = Unpooled.buffer();
    MessageEncoder.writeQuery(out, "SHOW counters");
    observer.getOutputStream().write(ByteBufUtil.getBytes(out));
    Map<String, Long> counters = new HashMap<>();
    for (List<String> row : readRows(observer)) {
      counters.put(row.get(0), Long.parseLong(row.get(1)));
    }
    return counters;
  }

  /** Reads messages up to the next ReadyForQuery, and returns the values of the rows. */
  private static List<List<String>> readRows(Socket socket) throws IOException {
    DataInputStream in = new DataInputStream(socket.getInputStream());
    List<List<String>> rows = new ArrayList<>();
    for (char type = 0; type != 'Z'; ) {
      type = (char) in.readUnsignedByte();
      byte[] body = in.readNBytes(in.readInt() - 4);
      if (type == 'D') {
        rows.add(valuesOf(Unpooled.wrappedBuffer(body)));
      }
    }
    return rows;
  }

  private static List<String> valuesOf(ByteBuf row) {
    List<String> values = new ArrayList<>();
    for (int columns = row.readShort(); columns > 0; columns--) {
      values.add(row.readCharSequence(row.readInt(), StandardCharsets.UTF_8).toString());
    }
    return values;
  }

  private void assertUsualRequestsWereAnswered() throws Exception {
    cluster.pauseLoad();
    Thread.sleep(REQUEST_TIMEOUT_MILLIS); // until the last ones have been answered
    long sent = cluster.computeOnLoop(() -> member.load().requestsSent());
    long answered = cluster.computeOnLoop(() -> member.load().requestsAnswered());
    long served = cluster.computeOnLoop(() -> member.load().requestsServed());
    assertEquals(
        sent,
        answered,
        () -> "requests of usual clients; " + served + " were served; the router's log: " + log());
  }

  private void assertHostileClientsEndedInTime() throws InterruptedException {
    for (Thread thread : threads) {
      thread.join();
    }
    List<String> failures =
        hostileClients.stream()
            .map(HostileClient::firstFailure)
            .filter(failure -> !failure.isEmpty())
            .toList();
    assertEquals(List.of(), failures);
    assertTrue(
        hostileClients.stream().allMatch(client -> client.connections() > 0),
        hostileClients::toString);
  }

  private static boolean isMachineBusy() {
    var machine = ManagementFactory.getOperatingSystemMXBean();
    return machine.getSystemLoadAverage() > machine.getAvailableProcessors();
  }

  private String log() {
    try {
      return member.process().log();
    } catch (IOException e) {
      return e.toString();
    }
  }
}
