package rushwood.testbed;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import rushwood.config.InvalidConfigException;
import rushwood.overload.OverloadSettings;
import rushwood.testbed.load.Experiment;
import rushwood.testbed.load.ExperimentResult;
import rushwood.testbed.load.SocketExperiment;
import rushwood.testbed.simulation.Simulation;
import rushwood.testbed.standin.RouterProcess;

/** Reads and runs the experiments in {@code experiments/}. */
final class ExperimentRuns {
  /** The router's jar in the build output, relative to this module's directory. */
  static final Path ROUTER_JAR = Path.of("../router/target/rushwood.jar");

  private static final List<String> JVM_FLAGS = List.of("-XX:+UseSerialGC", "-Xmx64m");

  private ExperimentRuns() {}

  static Experiment read(String name) throws IOException {
    return Experiment.read(Path.of("experiments", name + ".json"));
  }

  static ExperimentResult simulate(Experiment experiment) throws InvalidConfigException {
    return Simulation.withOverloadControl(experiment, OverloadSettings.DEFAULT).run();
  }

  static ExperimentResult simulateWithoutOverloadControl(Experiment experiment)
      throws InvalidConfigException {
    return Simulation.withoutOverloadControl(experiment).run();
  }

  static ExperimentResult runOnSockets(Experiment experiment)
      throws IOException, InterruptedException {
    RouterProcess.LaunchOptions options =
        new RouterProcess.LaunchOptions(ROUTER_JAR, JVM_FLAGS, "", "");
    return new SocketExperiment(experiment, options).run();
  }
}
