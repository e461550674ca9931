package rushwood.cli;

import java.io.IOException;
import java.nio.file.Path;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import rushwood.testbed.load.Experiment;

/** {@code testbed}, formerly {@code lab}: experiments on loopback sockets or in virtual time. */
@Command(
    name = "testbed",
    aliases = "lab",
    mixinStandardHelpOptions = true,
    description = "Experiments against stand-ins on loopback.",
    subcommands = {TestbedRunCommand.class, TestbedVirtualCommand.class})
final class TestbedCommand implements Runnable {
  @SuppressWarnings("NullAway.Init") // set by picocli
  @Spec
  private CommandSpec spec;

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "a sub-command is missing");
  }

  /** Reads an experiment's file; a path of earlier versions is followed to where it is now. */
  static Experiment readExperiment(Path file) throws InvalidInputException {
    try {
      return Experiment.read(FormerPaths.resolve(file));
    } catch (IOException e) {
      throw new InvalidInputException(file + ": " + e.getMessage());
    }
  }
}
