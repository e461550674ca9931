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
  private static final int MAX_SOCKETS = 512;
  private static final List<String> FLAGS =
      List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx64m");

  private final int number;
  private final RouterProcess.Build build;
  private final ObjectNode settings;
  private final Path configFile;
  private final InetSocketAddress listen;
  private final StandinDiscovery discovery;
  private final SteadyLoad load;
  private final Map<String, Long> lastRequestAt = new HashMap<>();
  private final Map<String, Long> requestsSent = new HashMap<>();
  private @Nullable RouterProcess process;

  /** Creates it with a running agent; its router and its clients are started apart. */
  ClusterMember(int number, EventLoop loop, Path jar, ObjectNode settings, Path folder)
      throws IOException, InterruptedException {
    this.number = number;
    this.settings = settings;
    build = new RouterProcess.Build(jar, FLAGS, "", "");
    configFile = folder.resolve("r" + number + ".json");
    listen = Loopback.freeAddress();
    discovery = new StandinDiscovery(loop);
    discovery.listen();
    load = new SteadyLoad("r" + number + "-", loop, listen, TestbedRequestClass.EVENTUAL_READ);
  }

  /** The number of the member whose load made a request, from the request's id. */
  static int numberFromRequestId(String requestId) {
    return Integer.parseInt(requestId.substring(1, requestId.indexOf('-')));
  }

  /** Its agent; used on the cluster's loop. */
  public StandinDiscovery discovery() {
    return discovery;
  }

  /** Its clients; used on the cluster's loop. */
  public SteadyLoad load() {
    return load;
  }

  /**
   * Its router, as last started.
   *
   * @throws NullPointerException if it was never started
   */
  public RouterProcess process() {
    return Objects.requireNonNull(process, "the router has not been started");
  }

  /** Starts its router with that list as the one held from before; returns once it serves. */
  public void start(String knownEndpoints) throws IOException, InterruptedException {
    ObjectNode configuration = configuration(discovery.address());
    configuration.putRawValue("known", new RawValue(knownEndpoints));
    Files.writeString(configFile, configuration.toString());
    if (process != null) {
      process.close();
    }
    process = new RouterProcess(build, configFile, listen);
  }

  /** Writes its configuration with another agent; the router reads it at its next SIGHUP. */
  public void configureDiscovery(InetSocketAddress discoveryAddress) throws IOException {
    Files.writeString(configFile, configuration(discoveryAddress).toString());
  }

  private ObjectNode configuration(InetSocketAddress discoveryAddress) {
    return RouterSettings.configuration(
        "r" + number, listen, discoveryAddress, number + 1, MAX_SOCKETS, settings);
  }

  /** A host has got a request from its router; on the cluster's loop. */
  void recordRequest(String host, long now) {
    lastRequestAt.put(host, now);
    requestsSent.merge(host, 1L, Long::sum);
  }

  /** When its router last sent to a host, on the clock of {@link RouterCluster#now()}; 0: never. */
  public long lastRequestAt(String host) {
    return lastRequestAt.getOrDefault(host, 0L);
  }

  /** How many requests its router sent to a host. */
  public long requestsSent(String host) {
    return requestsSent.getOrDefault(host, 0L);
  }

  /** Kills its router, closes its agent and deletes its files. */
  @Override
  public void close() throws IOException {
    if (process != null) {
      process.close();
    }
    discovery.close();
    Files.deleteIfExists(configFile);
  }
}
