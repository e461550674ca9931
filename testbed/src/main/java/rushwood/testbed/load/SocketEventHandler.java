package rushwood.testbed.load;

import rushwood.testbed.standin.RouterProcess;
import rushwood.testbed.standin.StandinDiscovery;

/** Carries out the events of an experiment on sockets; called on the experiment's event loop. */
final class SocketEventHandler implements ScheduledEvent.Handler {
  private final ExperimentHosts hosts;
  private final StandinDiscovery discovery;
  private final RouterProcess router;

  SocketEventHandler(ExperimentHosts hosts, StandinDiscovery discovery, RouterProcess router) {
    this.hosts = hosts;
    this.discovery = discovery;
    this.router = router;
  }

  @Override
  public void crash(String host) {
    hosts.get(host).crash();
  }

  @Override
  public void restart(String host) {
    hosts.get(host).restart();
  }

  @Override
  public void promote(String host) {
    hosts.promote(host);
  }

  @Override
  public void demote(String host) {
    hosts.get(host).model().setPrimary(false);
  }

  @Override
  public void setHung(String host, boolean hung) {
    hosts.get(host).model().setHung(hung);
  }

  @Override
  public void silenceDiscovery() {
    discovery.setSilent(true);
  }

  @Override
  public void publishEndpoints() {
    discovery.setSilent(false);
    hosts.publish();
  }

  @Override
  public void terminateRouter() {
    router.terminate();
  }
}
