package rushwood.simulator;

import java.util.SplittableRandom;
import rushwood.api.HostId;
import rushwood.api.PolicyActions;
import rushwood.api.RequestId;
import rushwood.api.RoutingPolicy;
import rushwood.api.RoutingSettings;
import rushwood.config.DecimalSeconds;
import rushwood.config.SettingsDecoder;
import rushwood.policy.DefaultRoutingPolicy;

/** One router behind the wire: its decisions, and the lines of its part of the reply. */
final class SimulatedRouter implements PolicyActions {
  final StringBuilder output = new StringBuilder();
  final RoutingSettings settings;
  final long positionZeroNanos;
  final RoutingPolicy policy;

  SimulatedRouter(SettingsDecoder decoder, long seed) {
    settings = decoder.decodeSettings();
    positionZeroNanos = decoder.positionZeroNanos();
    policy = new DefaultRoutingPolicy(settings, new SplittableRandom(seed), this);
  }

  @Override
  public void send(RequestId request, HostId endpoint, long timeoutNanos, long beginWithin) {
    output.append("route\tid=").append(request.value()).append("\thost=").append(endpoint.value());
    output.append("\tcap=");
    DecimalSeconds.appendSeconds(output, timeoutNanos);
    output.append('\n');
  }

  @Override
  public void cancel(RequestId request, int attempt) {
    output
        .append("retract\tid=")
        .append(request.value())
        .append("\ttry=")
        .append(attempt)
        .append('\n');
  }

  @Override
  public void reject(RequestId request, long retryAfter) {
    output.append("bounce\tid=").append(request.value());
    if (retryAfter > 0) {
      output.append("\tretry_in=");
      DecimalSeconds.appendSeconds(output, retryAfter);
    }
    output.append('\n');
  }

  @Override
  public void fail(RequestId request) {
    output.append("end_failed\tid=").append(request.value()).append('\n');
  }

  @Override
  public void probe(HostId endpoint) {
    output.append("ping\thost=").append(endpoint.value()).append('\n');
  }

  @Override
  public void wakeAt(long at) {
    output.append("set_timer\twhen=");
    DecimalSeconds.appendSeconds(output, at);
    output.append("\thandle=0\n");
  }

  @Override
  public void subscribeToEndpoints() {
    output.append("listen\twant=1\n");
  }

  @Override
  public void log(String line) {
    output.append("write_log\tmessage=").append(line).append('\n');
  }
}
