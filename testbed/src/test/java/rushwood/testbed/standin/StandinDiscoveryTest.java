package rushwood.testbed.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import rushwood.api.Endpoint;

class StandinDiscoveryTest {
  private final MultiThreadIoEventLoopGroup eventLoopGroup =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final StandinDiscovery discovery =
      new StandinDiscovery((EventLoop) eventLoopGroup.next());

  @AfterEach
  void stop() {
    eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  private void publish(String id, Endpoint.State state, long startedMillis, boolean isPrimary) {
    InetSocketAddress address = new InetSocketAddress("127.0.0.1", 5432);
    discovery.publish(new EndpointEntry(id, address, 1, state, startedMillis, isPrimary));
  }

  /** The version starts at 1 and increases by one with each published endpoint. */
  @Test
  void fullListHasTheFormatOfDiscoveryAgents() {
    publish("h0", Endpoint.State.READY, 0, true);
    publish("h1", Endpoint.State.DRAINING, 7, false);
    publish("h2", Endpoint.State.REMOVED, 0, false);
    String common = "\"addr\":\"127.0.0.1:5432\",\"zone\":\"a\",\"cell\":1,\"state\":";
    assertEquals(
        "{\"version\":4,\"full\":true,\"servers\":["
            + ("{\"id\":\"h0\"," + common)
            + "\"Ready\",\"weight\":1.0,\"started_ms\":0,\"part\":\"master\"},"
            + ("{\"id\":\"h1\"," + common)
            + "\"Terminating\",\"weight\":1.0,\"started_ms\":7,\"part\":\"replica\"},"
            + ("{\"id\":\"h2\"," + common)
            + "\"Gone\",\"weight\":1.0,\"started_ms\":0,\"part\":\"replica\"}]}",
        discovery.fullList());
  }
}
