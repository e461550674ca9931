package rushwood.testbed.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import rushwood.api.HostId;
import rushwood.api.RequestClass;
import rushwood.api.RoutingSettings;
import rushwood.config.InvalidConfigException;
import rushwood.config.RouterConfig;
import rushwood.overload.OverloadSettings;
import rushwood.testbed.load.Experiment;
import rushwood.testbed.load.ExperimentResult;
import rushwood.testbed.load.PopulationSpec;
import rushwood.testbed.load.ReportNames;
import rushwood.testbed.load.RouterSettings;
import rushwood.testbed.load.ScheduledEvent;
import rushwood.testbed.model.WriteLedger;

/**
 * Runs an experiment in virtual time with any number of routers. Each router has a routing policy
 * of its own and shares no state with the others. The same experiment always gives the same result.
 *
 * <p>Sockets and connection admission are not modelled: connections cost nothing, and only attempts
 * to connect to hosts that are down are counted. An instance runs once.
 */
public final class Simulation {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long START_TIME_NANOS = 1_000_000_000L * NANOS_PER_MILLI; // any Unix time
  private static final long SAMPLE_INTERVAL_NANOS = 100 * NANOS_PER_MILLI;

  private final Experiment experiment;
  private final RoutingSettings settings;
  private final Optional<OverloadSettings> overloadSettings;
  private final EventQueue events = new EventQueue(START_TIME_NANOS);
  private final WriteLedger ledger = new WriteLedger();
  private final SimulationCounts counts = new SimulationCounts();
  private final ExperimentResult result;
  private final VirtualStore store;
  private final SimulationContext context;
  private final List<VirtualRouter> routers = new ArrayList<>();

  private Simulation(Experiment experiment, Optional<OverloadSettings> overloadSettings)
      throws InvalidConfigException {
    this.experiment = experiment;
    this.overloadSettings = overloadSettings;
    settings = RouterConfig.decodeSettings(RouterSettings.forExperiment(experiment).toString());
    result = new ExperimentResult(experiment.name());
    store = new VirtualStore(experiment, events, ledger);
    context = new SimulationContext(events, store, counts, result);
  }

  /**
   * Creates a simulation of routers with overload control.
   *
   * @throws InvalidConfigException if the experiment's router settings are invalid
   */
  public static Simulation withOverloadControl(Experiment experiment, OverloadSettings settings)
      throws InvalidConfigException {
    return new Simulation(experiment, Optional.of(settings));
  }

  /**
   * Creates a simulation of routers that have the routing policy alone.
   *
   * @throws InvalidConfigException if the experiment's router settings are invalid
   */
  public static Simulation withoutOverloadControl(Experiment experiment)
      throws InvalidConfigException {
    return new Simulation(experiment, Optional.empty());
  }

  /**
   * Runs the experiment until every client has finished or the experiment's duration has passed.
   *
   * @throws UnsupportedOperationException if an event silences discovery or terminates a router,
   *     neither of which is simulated
   */
  public ExperimentResult run() {
    for (int i = 0; i < experiment.routerCount(); i++) {
      long seed = experiment.seed() * 1_000 + i;
      routers.add(new VirtualRouter(context, settings, overloadSettings, seed));
    }
    scheduleClients();
    EventHandler handler = new EventHandler();
    for (ScheduledEvent event : experiment.events()) {
      events.scheduleAtElapsed(event.atNanos(), () -> event.applyTo(handler));
    }
    events.scheduleAtElapsed(0, this::sampleActiveRequests);
    boolean ranEvent = true;
    while (!counts.allClientsFinished() && ranEvent) {
      ranEvent = events.runNext(experiment.durationNanos());
    }
    recordFigures();
    return result;
  }

  private void scheduleClients() {
    int clientNumber = 0;
    for (PopulationSpec spec : experiment.populations()) {
      RequestClass requestClass =
          RequestClass.findByName(settings.requestClasses(), spec.requestClass().wireName())
              .orElseThrow();
      SplittableRandom random = new SplittableRandom(experiment.seed() + clientNumber);
      for (int i = 0; i < spec.count(); i++) {
        VirtualRouter router = routers.get(clientNumber % routers.size());
        VirtualClient client =
            new VirtualClient(context, router, clientNumber, spec, requestClass, random);
        clientNumber++;
        counts.clientCreated();
        events.scheduleAtElapsed(spec.arrivalNanos(i), client::startTry);
      }
    }
  }

  private void sampleActiveRequests() {
    for (VirtualHost host : store.hosts()) {
      result.addToSeries(
          ReportNames.activeRequestsSeries(host.id().toString()),
          events.elapsed(),
          host.model().activeRequests(events.now()));
    }
    events.scheduleAfter(SAMPLE_INTERVAL_NANOS, this::sampleActiveRequests);
  }

  private void recordFigures() {
    result.recordFigure(ReportNames.ROUTERS, routers.size());
    counts.reportTo(result);
    result.recordFigure(ReportNames.WORST_COLD_OVERLOAD, store.worstColdOverload());
    result.recordFigure(ReportNames.OVERLOAD_CRASHES, store.overloadCrashes());
    result.recordFigure(ReportNames.LAST_SUCCESS_SECONDS, counts.lastSuccessSeconds());
    result.recordFigure(ReportNames.WORK_SECONDS, counts.succeeded() / store.totalRate());
    result.recordDuplicates(ledger);
    result.recordCompletionPercentiles();
  }

  /**
   * Applies the experiment's events; silencing discovery or terminating a router is not supported.
   */
  private final class EventHandler implements ScheduledEvent.Handler {
    private VirtualHost host(String id) {
      return store.host(new HostId(id));
    }

    @Override
    public void crash(String host) {
      host(host).crash();
    }

    @Override
    public void restart(String host) {
      host(host).restart();
    }

    @Override
    public void promote(String host) {
      store.promote(new HostId(host));
    }

    @Override
    public void demote(String host) {
      host(host).model().setPrimary(false);
    }

    @Override
    public void setHung(String host, boolean hung) {
      host(host).model().setHung(hung);
    }

    @Override
    public void publishEndpoints() {
      routers.forEach(VirtualRouter::updateEndpoints);
    }

    @Override
    public void silenceDiscovery() {
      throw unsupportedEvent("silence");
    }

    @Override
    public void terminateRouter() {
      throw unsupportedEvent("term");
    }

    private UnsupportedOperationException unsupportedEvent(String event) {
      return new UnsupportedOperationException(
          "event \"" + event + "\" is not supported in virtual time");
    }
  }
}
