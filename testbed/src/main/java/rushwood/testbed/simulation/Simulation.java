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
 * Runs an experiment in virtual time with any number of routers, each with a routing policy of its
 * own; they share nothing. The same experiment always gives the same result.
 *
 * <p>Sockets are not modelled, so connection admission is not either: connections cost nothing, and
 * only attempts to connect to hosts that are down are counted. An instance runs once.
 */
public final class Simulation {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long START_TIME = 1_000_000_000L * NANOS_PER_MILLI; // some Unix time
  private static final long SAMPLE_INTERVAL = 100 * NANOS_PER_MILLI;

  private final Experiment experiment;
  private final RoutingSettings settings;
  private final Optional<OverloadSettings> overloadSettings;
  private final EventQueue events = new EventQueue(START_TIME);
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

  /** A simulation of routers with overload control. */
  public static Simulation withOverloadControl(Experiment experiment, OverloadSettings settings)
      throws InvalidConfigException {
    return new Simulation(experiment, Optional.of(settings));
  }

  /** A simulation of routers with the routing policy alone. */
  public static Simulation withoutOverloadControl(Experiment experiment)
      throws InvalidConfigException {
    return new Simulation(experiment, Optional.empty());
  }

  /** Runs until every client is served or has given up, or the experiment's time is over. */
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
    events.scheduleAtElapsed(0, this::sample);
    boolean hasNext = true;
    while (!counts.allClientsFinished() && hasNext) {
      hasNext = events.runNext(experiment.durationNanos());
    }
    reportFigures();
    return result;
  }

  private void scheduleClients() {
    int number = 0;
    for (PopulationSpec spec : experiment.populations()) {
      RequestClass requestClass =
          RequestClass.findByName(settings.requestClasses(), spec.requestClass().wireName())
              .orElseThrow();
      SplittableRandom random = new SplittableRandom(experiment.seed() + number);
      for (int i = 0; i < spec.count(); i++) {
        VirtualRouter router = routers.get(number % routers.size());
        VirtualClient client =
            new VirtualClient(context, router, number, spec, requestClass, random);
        number++;
        counts.clientCreated();
        events.scheduleAtElapsed(spec.arrivalNanos(i), client::startTry);
      }
    }
  }

  private void sample() {
    for (VirtualHost host : store.hosts()) {
      result.addToSeries(
          ReportNames.activeRequestsSeries(host.id().toString()),
          events.elapsed(),
          host.model().activeRequests(events.now()));
    }
    events.scheduleAfter(SAMPLE_INTERVAL, this::sample);
  }

  private void reportFigures() {
    result.recordFigure(ReportNames.ROUTERS, routers.size());
    counts.reportTo(result);
    result.recordFigure(ReportNames.WORST_COLD_OVERLOAD, store.worstColdOverload());
    result.recordFigure(ReportNames.OVERLOAD_CRASHES, store.overloadCrashes());
    result.recordFigure(ReportNames.LAST_SUCCESS_SECONDS, counts.lastSuccessSeconds());
    result.recordFigure(ReportNames.WORK_SECONDS, counts.succeeded() / store.totalRate());
    result.recordDuplicates(ledger);
    result.recordCompletionPercentiles();
  }

  /** Carries out the experiment's events; those that concern sockets or processes are refused. */
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
      throw notSimulated("silence");
    }

    @Override
    public void terminateRouter() {
      throw notSimulated("term");
    }

    private UnsupportedOperationException notSimulated(String event) {
      return new UnsupportedOperationException(event + " is not played in virtual time");
    }
  }
}
