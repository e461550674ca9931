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
import rushwood.testbed.standin.RouterJar;
import rushwood.testbed.standin.RouterProcess;

/** Reads and runs the experiments in {@code experiments/}. */
final class ExperimentRuns {
  private static final Path ROUTER_BUILD = Path.of("../router/target"); // from this module
  private static final String JAR_BUILD_COMMAND =
      "mvn -B -Dmaven.test.skip=true -pl router -am package";

  private static final List<String> JVM_FLAGS = List.of("-XX:+UseSerialGC", "-Xmx64m");

  private ExperimentRuns() {}

  /**
   * Returns the router's jar in the build output.
   *
   * @throws IOException if it was not built from the classes that were compiled last
   */
  static Path routerJar() throws IOException {
    Path jar = ROUTER_BUILD.resolve("rushwood.jar");
    RouterJar.requireBuiltFrom(jar, ROUTER_BUILD.resolve("classes"), JAR_BUILD_COMMAND);
    return jar;
  }

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
        new RouterProcess.LaunchOptions(routerJar(), JVM_FLAGS, "", "");
    return new SocketExperiment(experiment, options).run();
  }
}
