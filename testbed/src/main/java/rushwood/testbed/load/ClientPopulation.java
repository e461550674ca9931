package rushwood.testbed.load;

import java.util.SplittableRandom;

/**
 * Clients of one kind on sockets, each with one request and as many tries as {@link PopulationSpec}
 * allows. Used on the event loop only, but for {@link #unfinished}.
 */
final class ClientPopulation {
  private final PopulationSpec spec;
  private final int firstClientNumber;
  private final LoadContext context;
  private final PopulationCounts counts;
  private final SplittableRandom random;

  /** Client numbers begin at {@code firstClientNumber}; none is used twice in an experiment. */
  ClientPopulation(PopulationSpec spec, int firstClientNumber, long seed, LoadContext context) {
    this.spec = spec;
    this.firstClientNumber = firstClientNumber;
    this.context = context;
    counts = new PopulationCounts(spec.count());
    random = new SplittableRandom(seed);
  }

  /** Schedules the arrival of every client. */
  void scheduleArrivals() {
    for (int i = 0; i < spec.count(); i++) {
      SocketClient client = new SocketClient(firstClientNumber + i, spec, context, counts, random);
      context.scheduleAtElapsed(spec.arrivalNanos(i), client::start);
    }
  }

  /** Clients that have neither been served nor given up. */
  int unfinished() {
    return counts.unfinished();
  }

  /** Records the figures; the index is that of the population in the experiment's file. */
  void reportFigures(int populationIndex) {
    counts.reportTo(context.result(), populationIndex);
  }
}
