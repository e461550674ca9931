package rushwood.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IExecutionExceptionHandler;

/**
 * The command line's entry point. Exit codes: 0 done, 1 failed, 2 an argument or a file is invalid.
 * A failure is one line on standard error.
 */
@Command(
    name = "rushwood",
    mixinStandardHelpOptions = true,
    version = "rushwood 0.1.0",
    description = "Routes requests to a replicated store, and measures how well.",
    subcommands = {
      Rushwood.ServeCommand.class,
      Rushwood.AdapterCommand.class,
      CheckCommand.class,
      TestbedCommand.class,
      CommandLine.HelpCommand.class
    })
public final class Rushwood implements Runnable {
  /** What {@link #run} returns for a command that goes on and will end the process itself. */
  static final int STILL_RUNNING = -1;

  static final int EXIT_DONE = 0;
  static final int EXIT_INVALID_INPUT = 2;
  private static final int EXIT_FAILED = 1;

  @SuppressWarnings("NullAway.Init") // set by picocli
  @CommandLine.Spec
  private CommandLine.Model.CommandSpec spec;

  /** Runs the command that the arguments name, and exits unless it goes on in the background. */
  public static void main(String[] args) {
    int exitCode = run(args);
    if (exitCode != STILL_RUNNING) {
      System.exit(exitCode);
    }
  }

  /** Runs the command that the arguments name and returns its exit code. */
  static int run(String... args) {
    IExecutionExceptionHandler printOneLine =
        (exception, commandLine, parseResult) -> {
          commandLine.getErr().println("rushwood: " + exception.getMessage());
          return exception instanceof InvalidInputException ? EXIT_INVALID_INPUT : EXIT_FAILED;
        };
    return new CommandLine(new Rushwood()).setExecutionExceptionHandler(printOneLine).execute(args);
  }

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "a sub-command is missing");
  }

  /** {@code serve}: one router, configured by the file that {@code NODE_CONFIG} names. */
  @Command(
      name = "serve",
      mixinStandardHelpOptions = true,
      description =
          "Runs one router, configured by NODE_CONFIG; bin/rushwood starts it with the operator's flags.")
  static final class ServeCommand implements Callable<Integer> {
    @Override
    public Integer call() throws Exception {
      rushwood.Main.main(new String[] {"serve"});
      return STILL_RUNNING;
    }
  }

  /** {@code adapter}: the routing policy behind the simulator's line protocol. */
  @Command(
      name = "adapter",
      mixinStandardHelpOptions = true,
      description = "The routing policy on the simulator's wire, on standard input and output.")
  static final class AdapterCommand implements Callable<Integer> {
    @Override
    public Integer call() throws Exception {
      rushwood.Main.main(new String[] {"adapter"});
      return STILL_RUNNING;
    }
  }
}
