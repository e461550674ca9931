package rushwood.simulator;

import java.util.SplittableRandom;
import rushwood.api.HostId;
import rushwood.api.LogLevel;
import rushwood.api.PolicyActions;
import rushwood.api.RequestId;
import rushwood.api.RoutingPolicy;
import rushwood.api.RoutingSettings;
import rushwood.config.DecimalSeconds;
import rushwood.config.InvalidConfigException;
import rushwood.config.SettingsDecoder;
import rushwood.policy.DefaultRoutingPolicy;

/**
 * A router in the simulator: a routing policy whose actions are written as lines of the simulator
 * protocol.
 */
final class SimulatedRouter implements PolicyActions {
  private final StringBuilder output = new StringBuilder();
  private final RoutingSettings settings;
  private final long positionZeroNanos;
  private final RoutingPolicy policy;

  SimulatedRouter(SettingsDecoder decoder, long seed) throws InvalidConfigException {
    settings = decoder.decodeSettings();
    positionZeroNanos = decoder.positionZeroNanos();
    policy = new DefaultRoutingPolicy(settings, new SplittableRandom(seed), this);
  }

  RoutingPolicy policy() {
    return policy;
  }

  RoutingSettings settings() {
    return settings;
  }

  /** Returns the clock time in nanoseconds that is position 0 in the simulator's messages. */
  long positionZeroNanos() {
    return positionZeroNanos;
  }

  /** Returns the lines written since the last call and clears them. */
  String takeOutput() {
    String lines = output.toString();
    output.setLength(0);
    return lines;
  }

  @Override
  public void send(RequestId request, HostId host, long timeoutNanos, long startWithinNanos) {
    output.append("route\tid=").append(request.value()).append("\thost=").append(host.value());
    output.append("\tcap=");
    DecimalSeconds.appendSeconds(output, timeoutNanos);
    output.append('\n');
  }

  @Override
  public void cancel(RequestId request, int attemptNumber) {
    output.append("retract\tid=").append(request.value());
    output.append("\ttry=").append(attemptNumber).append('\n');
  }

  @Override
  public void reject(RequestId request, long retryAfterNanos) {
    output.append("bounce\tid=").append(request.value());
    if (retryAfterNanos > 0) {
      output.append("\tretry_in=");
      DecimalSeconds.appendSeconds(output, retryAfterNanos);
    }
    output.append('\n');
  }

  @Override
  public void fail(RequestId request) {
    output.append("end_failed\tid=").append(request.value()).append('\n');
  }

  @Override
  public void checkHealth(HostId host) {
    output.append("ping\thost=").append(host.value()).append('\n');
  }

  @Override
  public void wakeAt(long time) {
    output.append("set_timer\twhen=");
    DecimalSeconds.appendSeconds(output, time);
    output.append("\thandle=0\n");
  }

  @Override
  public void subscribeToEndpoints() {
    output.append("listen\twant=1\n");
  }

  @Override
  public void log(LogLevel level, String line) {
    output.append("write_log\tmessage=").append(line).append('\n');
  }
}
