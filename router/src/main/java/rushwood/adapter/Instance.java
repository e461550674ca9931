package rushwood.adapter;

import java.util.SplittableRandom;
import rushwood.api.HostId;
import rushwood.api.PolicyActions;
import rushwood.api.RequestId;
import rushwood.api.RoutingPolicy;
import rushwood.api.RoutingSettings;
import rushwood.policy.DefaultRoutingPolicy;

/** One router behind the wire: its decisions, and the lines of its part of the reply. */
final class Instance implements PolicyActions {
  final StringBuilder lines = new StringBuilder();
  final RoutingSettings settings;
  final long positionZero;
  final RoutingPolicy decisions;

  Instance(Conf conf, long seed) {
    settings = conf.settings();
    positionZero = conf.positionZero();
    decisions = new DefaultRoutingPolicy(settings, new SplittableRandom(seed), this);
  }

  @Override
  public void send(RequestId access, HostId host, long timeOut, long beginWithin) {
    lines.append("route\tid=").append(access.value()).append("\thost=").append(host.value());
    lines.append("\tcap=");
    Decimal.write(lines, timeOut);
    lines.append('\n');
  }

  @Override
  public void cancel(RequestId access, int shot) {
    lines.append("retract\tid=").append(access.value()).append("\ttry=").append(shot).append('\n');
  }

  @Override
  public void reject(RequestId access, long advice) {
    lines.append("bounce\tid=").append(access.value());
    if (advice > 0) {
      lines.append("\tretry_in=");
      Decimal.write(lines, advice);
    }
    lines.append('\n');
  }

  @Override
  public void fail(RequestId access) {
    lines.append("end_failed\tid=").append(access.value()).append('\n');
  }

  @Override
  public void probe(HostId host) {
    lines.append("ping\thost=").append(host.value()).append('\n');
  }

  @Override
  public void wakeAt(long at) {
    lines.append("set_timer\twhen=");
    Decimal.write(lines, at);
    lines.append("\thandle=0\n");
  }

  @Override
  public void subscribeToEndpoints() {
    lines.append("listen\twant=1\n");
  }

  @Override
  public void log(String line) {
    lines.append("write_log\tmessage=").append(line).append('\n');
  }
}
