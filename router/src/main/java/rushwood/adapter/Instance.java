package rushwood.adapter;

import java.util.SplittableRandom;
import rushwood.api.AccessId;
import rushwood.api.Decisions;
import rushwood.api.HostId;
import rushwood.api.Outlet;
import rushwood.api.Settings;
import rushwood.decision.Choice;

/** One router behind the wire: its decisions, and the lines of its part of the reply. */
final class Instance implements Outlet {
  final StringBuilder lines = new StringBuilder();
  final Settings settings;
  final long positionZero;
  final Decisions decisions;

  Instance(Conf conf, long seed) {
    settings = conf.settings();
    positionZero = conf.positionZero();
    decisions = new Choice(settings, new SplittableRandom(seed), this);
  }

  @Override
  public void send(AccessId access, HostId host, long timeOut, long beginWithin) {
    lines.append("route\tid=").append(access.value()).append("\thost=").append(host.value());
    lines.append("\tcap=");
    Decimal.write(lines, timeOut);
    lines.append('\n');
  }

  @Override
  public void withdraw(AccessId access, int shot) {
    lines.append("retract\tid=").append(access.value()).append("\ttry=").append(shot).append('\n');
  }

  @Override
  public void turnBack(AccessId access, long advice) {
    lines.append("bounce\tid=").append(access.value());
    if (advice > 0) {
      lines.append("\tretry_in=");
      Decimal.write(lines, advice);
    }
    lines.append('\n');
  }

  @Override
  public void giveUp(AccessId access) {
    lines.append("end_failed\tid=").append(access.value()).append('\n');
  }

  @Override
  public void probe(HostId host) {
    lines.append("ping\thost=").append(host.value()).append('\n');
  }

  @Override
  public void wake(long at) {
    lines.append("set_timer\twhen=");
    Decimal.write(lines, at);
    lines.append("\thandle=0\n");
  }

  @Override
  public void subscribe() {
    lines.append("listen\twant=1\n");
  }

  @Override
  public void log(String line) {
    lines.append("write_log\tmessage=").append(line).append('\n');
  }
}
