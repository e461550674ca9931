package rushwood.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IExecutionExceptionHandler;

/**
 * Entry point of the command line. Exit codes: 0 success, 1 failure, 2 invalid argument or file. An
 * exception of a command is reported as one line on standard error.
 */
@Command(
    name = "rushwood",
    mixinStandardHelpOptions = true,
    version = "rushwood 0.1.0",
    description = "Router for a replicated database store, and a testbed to measure it.",
    subcommands = {
      Rushwood.ServeCommand.class,
      Rushwood.AdapterCommand.class,
      CheckCommand.class,
      TestbedCommand.class,
      CommandLine.HelpCommand.class
    })
public final class Rushwood implements Runnable {
  /**
   * Returned by {@link #run} instead of an exit code if the process must not exit, because a router
   * serves on other threads until SIGTERM.
   */
  static final int STILL_RUNNING = -1;

  static final int EXIT_SUCCESS = 0;
  static final int EXIT_INVALID_INPUT = 2;
  private static final int EXIT_FAILURE = 1;

  @SuppressWarnings("NullAway.Init") // set by picocli
  @CommandLine.Spec
  private CommandLine.Model.CommandSpec spec;

  /**
   * Runs the command that the arguments name, and exits with its code unless a router was started.
   */
  public static void main(String[] args) {
    int exitCode = run(args);
    if (exitCode != STILL_RUNNING) {
      System.exit(exitCode);
    }
  }

  /**
   * Runs the command that the arguments name and returns its exit code or {@link #STILL_RUNNING}.
   */
  static int run(String... args) {
    IExecutionExceptionHandler printExceptionAsOneLine =
        (exception, commandLine, parseResult) -> {
          commandLine.getErr().println("rushwood: " + exception.getMessage());
          return exception instanceof InvalidInputException ? EXIT_INVALID_INPUT : EXIT_FAILURE;
        };
    return new CommandLine(new Rushwood())
        .setExecutionExceptionHandler(printExceptionAsOneLine)
        .execute(args);
  }

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "a sub-command is missing");
  }

  /** {@code serve}: runs one router, configured by the file that {@code NODE_CONFIG} names. */
  @Command(
      name = "serve",
      mixinStandardHelpOptions = true,
      description =
          "Runs one router, configured by the file that NODE_CONFIG names."
              + " bin/rushwood starts it with the JVM flags of deploy/balancer.toml.")
  static final class ServeCommand implements Callable<Integer> {
    @Override
    public Integer call() throws Exception {
      rushwood.Main.main(new String[] {"serve"});
      return STILL_RUNNING;
    }
  }

  /** {@code adapter}: runs the routing policy behind the simulator's line protocol. */
  @Command(
      name = "adapter",
      mixinStandardHelpOptions = true,
      description =
          "Runs the routing policy behind the simulator's protocol on standard input and output.")
  static final class AdapterCommand implements Callable<Integer> {
    @Override
    public Integer call() throws Exception {
      rushwood.Main.main(new String[] {"adapter"});
      return STILL_RUNNING;
    }
  }
}
