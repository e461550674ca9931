package rushwood.cli;

import java.io.IOException;
import java.nio.file.Path;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import rushwood.testbed.load.Experiment;

/** {@code testbed}, alias {@code lab}: runs experiments on loopback sockets or in virtual time. */
@Command(
    name = "testbed",
    aliases = "lab",
    mixinStandardHelpOptions = true,
    description = "Runs experiments on loopback sockets or in virtual time.",
    subcommands = {TestbedRunCommand.class, TestbedVirtualCommand.class})
final class TestbedCommand implements Runnable {
  @SuppressWarnings("NullAway.Init") // set by picocli
  @Spec
  private CommandSpec spec;

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "a sub-command is missing");
  }

  /**
   * Reads an experiment; the path may be one of earlier versions (see {@link LegacyPaths}).
   *
   * @throws InvalidInputException if the file cannot be read or is no valid experiment
   */
  static Experiment readExperiment(Path file) throws InvalidInputException {
    try {
      return Experiment.read(LegacyPaths.resolve(file));
    } catch (IOException e) {
      throw new InvalidInputException(file + ": " + e.getMessage());
    }
  }
}
