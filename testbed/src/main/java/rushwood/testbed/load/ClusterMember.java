package rushwood.testbed.load;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.util.RawValue;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import rushwood.testbed.model.TestbedRequestClass;
import rushwood.testbed.standin.Loopback;
import rushwood.testbed.standin.RouterProcess;
import rushwood.testbed.standin.StandinDiscovery;

/** One router of a {@link RouterCluster}, with its own discovery agent and its own clients. */
public final class ClusterMember implements AutoCloseable {
  private static final int MAX_SOCKETS = 1024;
  private static final List<String> JVM_FLAGS =
      List.of(
          "-XX:+UseSerialGC",
          "-XX:TieredStopAtLevel=1",
          "-Xmx64m",
          "-XX:MaxDirectMemorySize=40m"); // as where it is deployed

  private final int index;
  private final RouterProcess.LaunchOptions launchOptions;
  private final ObjectNode settings;
  private final Path configFile;
  private final InetSocketAddress listen;
  private final StandinDiscovery discovery;
  private final SteadyLoad load;
  private final Map<String, Long> lastRequestNanosByHost = new HashMap<>();
  private final Map<String, Long> requestsByHost = new HashMap<>();
  private @Nullable RouterProcess process;

  /**
   * Creates the member and starts its discovery agent; the router and the clients are started
   * separately.
   *
   * @param index the member's index in its cluster
   * @param directory where the router's configuration file is written
   */
  ClusterMember(int index, EventLoop loop, Path jar, ObjectNode settings, Path directory)
      throws IOException, InterruptedException {
    this.index = index;
    this.settings = settings;
    launchOptions = new RouterProcess.LaunchOptions(jar, JVM_FLAGS, "", "");
    configFile = directory.resolve("r" + index + ".json");
    listen = Loopback.freeAddress();
    discovery = new StandinDiscovery(loop);
    discovery.listen();
    load = new SteadyLoad("r" + index + "-", loop, listen, TestbedRequestClass.EVENTUAL_READ);
  }

  /** Returns the index of the member whose clients sent the request with the given id. */
  static int indexFromRequestId(String requestId) {
    return Integer.parseInt(requestId.substring(1, requestId.indexOf('-')));
  }

  /** Returns the member's discovery agent, which is used on the cluster's event loop. */
  public StandinDiscovery discovery() {
    return discovery;
  }

  /** Returns the address on which the router listens. */
  public InetSocketAddress address() {
    return listen;
  }

  /** Returns the member's clients, which are used on the cluster's event loop. */
  public SteadyLoad load() {
    return load;
  }

  /**
   * Returns the router process that was started last.
   *
   * @throws NullPointerException if none has been started
   */
  public RouterProcess process() {
    return Objects.requireNonNull(process, "the router has not been started");
  }

  /**
   * Starts the router, after killing an earlier one, and returns once it accepts connections.
   *
   * @param knownEndpoints the endpoint list, in JSON, that the router knows from an earlier run
   */
  public void start(String knownEndpoints) throws IOException, InterruptedException {
    ObjectNode configuration = configuration(discovery.address());
    configuration.putRawValue("known", new RawValue(knownEndpoints));
    Files.writeString(configFile, configuration.toString());
    if (process != null) {
      process.close();
    }
    process = new RouterProcess(launchOptions, configFile, listen);
  }

  /**
   * Writes a configuration with the address of another discovery agent; the router reads it on its
   * next SIGHUP.
   */
  public void configureDiscovery(InetSocketAddress discoveryAddress) throws IOException {
    Files.writeString(configFile, configuration(discoveryAddress).toString());
  }

  private ObjectNode configuration(InetSocketAddress discoveryAddress) {
    return RouterSettings.configuration(
        "r" + index, listen, discoveryAddress, index + 1, MAX_SOCKETS, settings);
  }

  /**
   * Records that a host has received a request from the router. Called on the cluster's event loop.
   */
  void recordRequest(String host, long now) {
    lastRequestNanosByHost.put(host, now);
    requestsByHost.merge(host, 1L, Long::sum);
  }

  /**
   * Returns when a host last received a request from the router, on the clock of {@link
   * RouterCluster#now()}; 0 if it never has. Called on the cluster's event loop.
   */
  public long lastRequestNanos(String host) {
    return lastRequestNanosByHost.getOrDefault(host, 0L);
  }

  /**
   * Returns how many requests a host has received from the router. Called on the cluster's event
   * loop.
   */
  public long requestsReceivedBy(String host) {
    return requestsByHost.getOrDefault(host, 0L);
  }

  /** Kills the router, closes the discovery agent and deletes their files. */
  @Override
  public void close() throws IOException {
    if (process != null) {
      process.close();
    }
    discovery.close();
    Files.deleteIfExists(configFile);
  }
}
