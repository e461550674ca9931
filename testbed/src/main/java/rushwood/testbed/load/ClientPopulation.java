package rushwood.testbed.load;

import java.util.SplittableRandom;

/**
 * The clients of one {@link PopulationSpec} in an experiment on sockets. All methods but {@link
 * #unfinished} are called on the event loop.
 */
final class ClientPopulation {
  private final PopulationSpec spec;
  private final int firstClientNumber;
  private final LoadContext context;
  private final PopulationCounts counts;
  private final SplittableRandom random;

  /**
   * Creates the population.
   *
   * @param firstClientNumber the number of its first client, from which the others are numbered
   *     consecutively; client numbers are unique within an experiment
   * @param seed the seed of the random numbers that its clients share
   */
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

  /** Returns the number of clients that have not finished; may be called by any thread. */
  int unfinished() {
    return counts.unfinished();
  }

  /**
   * Records the population's figures in the experiment's result.
   *
   * @param populationIndex the index of the population in the experiment file
   */
  void reportFigures(int populationIndex) {
    counts.reportTo(context.result(), populationIndex);
  }
}
